"""One life of an entry instance: puts its parts together and runs them."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from typing import Any

from cicadatrail_core.models.fleet import Place, Worker
from cicadatrail_core.models.peer_messages import (
    Digest,
    Done,
    FetchRecords,
    FetchSnapshot,
    PoolRoom,
    Records,
    Snapshot,
    TeamUse,
)
from cicadatrail_core.models.platform import ListedInstance
from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.resources import NO_RESOURCES
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from cicadatrail_core.models.support import SupportReply, SupportRequest
from cicadatrail_core.placement.dispatcher import Dispatcher, DispatcherSettings
from cicadatrail_core.rights.timing import RightsTiming
from cicadatraild.network.http_client import Address, ConnectionPool
from cicadatraild.network.http_server import HttpLimits, HttpServer
from cicadatraild.network.peer_client import (
    LinkFault,
    LinkSettings,
    PeerDirectory,
    PeerLink,
)
from cicadatraild.network.peer_server import PeerServer
from cicadatraild.platform.instance_list_client import HttpInstanceList
from cicadatraild.platform.log_client import HttpLogClient
from cicadatraild.platform.maintenance_client import HttpMaintenance
from cicadatraild.platform.worker_client import HttpWorkerControl
from cicadatraild.serving.admin import AdminApi
from cicadatraild.serving.admission import Admission
from cicadatraild.serving.desk import Desk
from cicadatraild.serving.router import Router
from cicadatraild.serving.running import GivenUpTasks
from cicadatraild.serving.upstream import Upstream
from cicadatraild.sharing.appender import Appender
from cicadatraild.sharing.digests import Digests
from cicadatraild.sharing.fleet_maintenance import FleetMaintenance
from cicadatraild.sharing.holdings import Holdings
from cicadatraild.sharing.membership import Identity, Membership, StruckOutError
from cicadatraild.sharing.replica import Replica
from cicadatraild.sharing.standing import Standing
from cicadatraild.sharing.status import StatusView
from cicadatraild.utils.identifiers import new_uuid7
from cicadatraild.utils.metrics import InstanceCollector, Metrics
from cicadatraild.utils.settings import Settings

logger = logging.getLogger("cicadatrail.instance")

LEAVE_LIMIT_S = 120.0
"""Longest time that leaving may take before the process ends all the same."""

RECORDS_PER_ANSWER = 500
"""Records that are given to a peer at once."""

ControlMessage = (
    SupportRequest
    | SupportReply
    | Digest
    | Done
    | FetchRecords
    | Records
    | FetchSnapshot
    | Snapshot
)
