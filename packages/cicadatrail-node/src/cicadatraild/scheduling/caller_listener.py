"""Listener for callers, with the limits of the machine and of the configuration."""

from __future__ import annotations

from dataclasses import replace

from cicadatrail_core.jobs.models import FleetConfiguration
from cicadatraild.network.body_budget import BodyBudget
from cicadatraild.network.http_server import Handler, HttpServer
from cicadatraild.network.server_exchange import HttpLimits
from cicadatraild.scheduling.client_limits import ClientLimits

DEFAULT_BODY_LIMIT_BYTES = 262_144
"""Largest body before a configuration has been received."""

LEAST_HEADER_LIMIT_BYTES = 1024
"""Lowest limit of a head; below it no request could be sent."""


class CallerListener:
    """HTTP server for callers and the budget of their bodies."""

    def __init__(self, handler: Handler, limits: ClientLimits) -> None:
        self.budget = BodyBudget(limits.body_bytes)
        http_limits = HttpLimits(
            body_limit_bytes=DEFAULT_BODY_LIMIT_BYTES,
            connection_limit_count=limits.connection_count,
            lingering_limit_count=limits.lingering_count,
        )
        self.server = HttpServer("callers", handler, http_limits, self.budget)

    def configure(self, configuration: FleetConfiguration) -> None:
        """Apply the limits of a configuration to requests from now on."""
        self.server.limits = replace(
            self.server.limits,
            body_limit_bytes=configuration.body_limit_bytes,
            header_limit_bytes=max(
                LEAST_HEADER_LIMIT_BYTES, configuration.header_limit_bytes
            ),
        )
