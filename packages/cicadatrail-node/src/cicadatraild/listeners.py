"""Listeners of an instance for its peers, callers and operators."""

from __future__ import annotations

import logging
from contextlib import AsyncExitStack

from cicadatrail_core.models.peer_messages import (
    ControlMessage,
)
from cicadatraild.components import Components
from cicadatraild.gauges import read_gauges
from cicadatraild.network.http_server import HttpLimits, HttpServer
from cicadatraild.network.peer_server import PeerServer
from cicadatraild.serving.admin import AdminApi
from cicadatraild.sharing.control_messages import ControlMessageHandler
from cicadatraild.sharing.status import StatusView
from cicadatraild.utils.metrics import InstanceCollector, Metrics

logger = logging.getLogger("cicadatrail.instance")


async def listen_to_peers(components: Components, stack: AsyncExitStack) -> None:
    """Accept messages and forwarded requests of peers."""
    peer = components.settings.peer
    server = PeerServer(
        components.incarnation,
        bytes.fromhex(peer.cluster_key_hex),
        peer.message_limit_bytes,
        ControlMessage,
        ControlMessageHandler(
            components.replica,
            components.rights_manager,
            components.digests,
            components.loans,
            components.partitions,
            components.dispatch_queue.dispatcher,
        ).serve,
        components.peer_requests.serve,
    )
    await server.listen(stack, peer.host, peer.port)


async def listen_to_callers(
    components: Components, stack: AsyncExitStack
) -> list[HttpServer]:
    """Accept requests of callers and operators; return their servers."""
    caller, admin = components.settings.caller, components.settings.admin
    limits = HttpLimits(
        header_limit_bytes=caller.header_limit_bytes,
        body_limit_bytes=caller.body_limit_bytes,
        connection_limit_count=caller.connection_limit_count,
        header_timeout_s=caller.header_timeout_s,
        idle_timeout_s=caller.idle_timeout_s,
    )
    metrics = Metrics(
        InstanceCollector(
            lambda: read_gauges(components), lambda: components.router.outcome_counts
        )
    )
    api = AdminApi(
        components.replica,
        components.appender,
        admin.token_sha256_hex,
        components.rights_manager.may_report,
        _make_status_view(components).read,
        metrics.expose,
    )
    admin_server = HttpServer("admin", api.serve, HttpLimits())
    await admin_server.listen(stack, admin.host, admin.port)
    caller_server = HttpServer("caller", components.router.serve_caller, limits)
    await caller_server.listen(stack, caller.host, caller.port)
    logger.info(
        "instance: %s is serving on port %d.", components.incarnation, caller.port
    )
    return [caller_server, admin_server]


def _make_status_view(components: Components) -> StatusView:
    return StatusView(
        components.incarnation,
        components.settings.instance.instance_id,
        components.settings.instance.data_centre,
        components.replica,
        components.appender,
        components.rights_manager,
        components.digests,
        components.holdings,
        components.dispatch_queue.dispatcher,
        components.alarms,
        components.loans.lent_count,
    )
