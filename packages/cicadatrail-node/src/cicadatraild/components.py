"""Construction of the components of one incarnation."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from typing import Any

from cicadatrail_core.admission.retry_budget import RetryBudget, RetrySettings
from cicadatrail_core.models.fleet import Place, Worker
from cicadatrail_core.models.peer_messages import (
    ControlMessage,
    PartitionHandover,
)
from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.placement.dispatcher import Dispatcher, DispatcherSettings
from cicadatrail_core.rights.timing import RightsTiming
from cicadatraild.interfaces.instance_list_client import HttpInstanceList
from cicadatraild.interfaces.log_client import HttpLogClient
from cicadatraild.interfaces.maintenance_client import HttpMaintenance
from cicadatraild.interfaces.worker_client import HttpWorkerControl
from cicadatraild.network.http_client import Address, ConnectionPool
from cicadatraild.network.peer_client import (
    LinkFault,
    LinkSettings,
    PeerDirectory,
    PeerLink,
)
from cicadatraild.serving.admission import Admission
from cicadatraild.serving.attempt_runner import AttemptRunner
from cicadatraild.serving.dispatch_queue import DispatchQueue
from cicadatraild.serving.id_partitions import IdPartitions
from cicadatraild.serving.leases import LeaseRenewer
from cicadatraild.serving.peer_requests import PeerRequests
from cicadatraild.serving.placed_tasks import GivenUpTasks
from cicadatraild.serving.request_ids import RequestIds
from cicadatraild.serving.retries import RetryRunner
from cicadatraild.serving.router import Router
from cicadatraild.serving.upstream import Upstream
from cicadatraild.sharing.alarms import AlarmWatch
from cicadatraild.sharing.appender import Appender
from cicadatraild.sharing.digests import Digests, make_digest
from cicadatraild.sharing.fleet_maintenance import FleetMaintenance
from cicadatraild.sharing.holdings import Holdings
from cicadatraild.sharing.membership import Identity, Membership
from cicadatraild.sharing.peer_records import PeerRecords
from cicadatraild.sharing.replica import Replica
from cicadatraild.sharing.rights_manager import RightsManager
from cicadatraild.sharing.share_returns import ShareReturns
from cicadatraild.sharing.slot_loans import Demand, SlotLoans
from cicadatraild.sharing.snapshot_writer import SnapshotWriter
from cicadatraild.sharing.worker_watch import WorkerWatch
from cicadatraild.state_updates import StateUpdates
from cicadatraild.utils.identifiers import new_uuid7
from cicadatraild.utils.in_flight_work import InFlightWork
from cicadatraild.utils.settings import Settings
from cicadatraild.utils.tracing import Tracing

HANDOVER_TIMEOUT_S = 2.0
"""Time for handing the request ids of a partition over to its new owner."""


class Components:
    """Hold the components of one incarnation, connected with each other."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        instance = settings.instance
        name = f"{instance.instance_id}.{secrets.token_hex(4)}"
        self.incarnation = IncarnationId(name)
        # Used for jitter only, which must differ between instances.
        random_source = random.Random()
        self.pool = ConnectionPool(settings.workers.connect_timeout_s)
        log = HttpLogClient(
            self.pool,
            Address(settings.log.host, settings.log.port),
            settings.log.timeout_s,
        )
        self.replica = Replica(log, random_source)
        self.appender = Appender(
            log, self.incarnation, settings.log.append_limit_per_s, random_source
        )
        self.directory = PeerDirectory(
            LinkSettings(
                self.incarnation,
                bytes.fromhex(settings.peer.cluster_key_hex),
                settings.peer.message_limit_bytes,
                ControlMessage,
            ),
            self._note_fault,
        )
        list_settings = settings.instance_list
        timing = RightsTiming(
            support_s=settings.rights.support_s, list_lag_s=list_settings.lag_s
        )
        self.holdings = Holdings(self.incarnation)
        self.loans = SlotLoans(
            self.incarnation,
            timing,
            self.holdings,
            self.directory,
            lambda: self.rights_manager.leased_until_s(),
            lambda: self.digests.fresh(),
            self._demand,
            lambda: self.updates.configure_dispatch_queue(),
        )
        self.rights_manager = RightsManager(
            self.incarnation,
            timing,
            settings.rights.pulse_s,
            list_settings.poll_s,
            self.replica,
            self.appender,
            self.directory,
            HttpInstanceList(
                self.pool, Address(list_settings.host, list_settings.port)
            ),
            lambda listed: self.updates.apply_instance_list(listed),
            self.loans.unsettled_lenders,
        )
        self.digests = Digests(
            self.directory,
            lambda: make_digest(
                self.incarnation,
                self.replica.state,
                self.dispatch_queue.dispatcher,
                self.loans.slots(self.replica.state),
            ),
            self._is_near,
        )
        self.dispatch_queue = DispatchQueue(
            Dispatcher(DispatcherSettings()), self.loans
        )
        self._control = HttpWorkerControl(self.pool)
        self.given_up = GivenUpTasks(self.dispatch_queue, self._control)
        self.tracing = Tracing(
            instance.instance_id,
            settings.tracing.sample_ratio,
            _collector(settings),
            self.pool,
        )
        self.admission = Admission(self.rights_manager.may_check_keys, new_uuid7)
        self.partitions = self._make_partitions()
        self.updates = StateUpdates(
            self.incarnation,
            self.replica,
            self.admission,
            self.partitions,
            self.directory,
            self.digests,
            self.rights_manager,
            self.holdings,
            self.loans,
            self.dispatch_queue,
        )
        self.membership = self._make_membership()
        self.in_flight = InFlightWork()
        self.leases = LeaseRenewer(
            self._control, self.rights_manager.may_use_rights, timing.task_lease_s
        )
        self.attempt_runner = self._make_attempt_runner()
        self.retry_runner = RetryRunner(
            self.attempt_runner, RetryBudget(RetrySettings()), random_source, _new_id
        )
        self.router = self._make_router()
        self.watch = WorkerWatch(
            self.incarnation,
            self.replica,
            self.appender,
            self.holdings,
            self.dispatch_queue.dispatcher,
            self._control,
            self.updates.note_leaving,
        )
        self.alarms = AlarmWatch(
            self.replica,
            self.appender,
            self.rights_manager,
            self.digests,
            self.dispatch_queue,
        )
        self.peer_records = PeerRecords(
            self.replica, self.directory, self.digests.fresh
        )
        self.snapshots = SnapshotWriter(self.incarnation, self.replica, self.appender)
        self.share_returns = ShareReturns(
            self.dispatch_queue.dispatcher, self._control, self._find_worker
        )
        self.peer_requests = PeerRequests(
            self.admission,
            self.dispatch_queue,
            self.attempt_runner,
            self.in_flight,
            self.tracing,
        )
        self.maintenance = FleetMaintenance(
            self.incarnation,
            self.replica,
            self.appender,
            self.holdings,
            HttpMaintenance(
                self.pool,
                Address(settings.maintenance.host, settings.maintenance.port),
            ),
            self._running_on,
        )

    def _make_membership(self) -> Membership:
        settings = self.settings
        place = Place(
            settings.instance.region,
            settings.instance.data_centre,
            settings.instance.rack or "",
        )
        identity = Identity(
            self.incarnation,
            settings.instance.instance_id,
            settings.peer.host,
            settings.peer.port,
            place,
        )
        return Membership(
            identity,
            self.replica,
            self.appender,
            self.holdings,
            self._running_on,
            self.loans.spare_own_count,
            self.loans.takeover_records,
            self.loans.all_returned,
            self.updates.configure_dispatch_queue,
        )

    def _make_partitions(self) -> IdPartitions:
        return IdPartitions(
            self.incarnation,
            time.time,
            self._may_answer_for,
            lambda: self.replica.folded_count == self.replica.state.next_offset,
            self._send_handover,
        )

    def _make_attempt_runner(self) -> AttemptRunner:
        upstream = Upstream(
            self.pool,
            self.incarnation,
            self.rights_manager.may_use_rights,
            self.updates.note_leaving,
        )
        return AttemptRunner(
            self.dispatch_queue,
            upstream,
            self.given_up,
            self.leases,
            self._find_worker,
            self._peers_with_capacity,
            self.tracing,
        )

    def _make_router(self) -> Router:
        ids = RequestIds(
            self.incarnation,
            self.partitions,
            lambda: self.replica.state,
            self.directory,
            time.time,
            _new_id,
        )
        return Router(
            self.admission, self.retry_runner, ids, self.in_flight, self.tracing
        )

    def _may_answer_for(self, partition: int) -> bool:
        """Return whether this instance may decide if a request id was seen before."""
        if not self.rights_manager.may_use_rights(asyncio.get_running_loop().time()):
            return False
        return self.holdings.ledger.may_check_ids(self.replica.state, partition)

    def _send_handover(self, taker: IncarnationId, message: PartitionHandover) -> None:
        link = self.directory.link(taker)
        if link is not None:
            self.directory.spawn(_call(link, message))

    def _is_near(self, incarnation: IncarnationId) -> bool:
        """Return whether a member is in the region of this instance."""
        member = self.replica.state.roster.get(incarnation)
        own_region = self.settings.instance.region
        return member is not None and member.place.region == own_region

    def _demand(self) -> Demand:
        dispatcher = self.dispatch_queue.dispatcher
        return Demand(dispatcher.waiting_counts, dispatcher.running_counts)

    def _note_fault(self, name: IncarnationId, fault: LinkFault) -> None:
        self.rights_manager.note_fault(name, fault)

    def _running_on(self, worker_id: str) -> int:
        return self.dispatch_queue.running_on[worker_id]

    def _find_worker(self, worker_id: str) -> Worker | None:
        return self.replica.state.workers.get(worker_id)

    def _peers_with_capacity(self, request: TaskRequest) -> tuple[PeerLink, ...]:
        return self.digests.peers_with_capacity(self.replica.state, request)


def _collector(settings: Settings) -> Address | None:
    host, port = settings.tracing.export_host, settings.tracing.export_port
    return None if host is None or port is None else Address(host, port)


def _new_id() -> str:
    return str(new_uuid7())


async def _call(link: PeerLink, message: Any) -> None:
    """Send a message and ignore its answer."""
    await link.call(message, HANDOVER_TIMEOUT_S)
