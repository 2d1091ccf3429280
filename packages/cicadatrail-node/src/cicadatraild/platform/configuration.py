"""Decoding of the operators' configuration."""

from __future__ import annotations

import logging
from typing import Any

from cicadatrail_core.jobs.models import (
    FleetConfiguration,
    Pool,
    Queue,
    Team,
)
from cicadatraild.platform.json_values import (
    DecodeError,
    check_table,
    parse_json,
    read_count,
    read_entries,
    read_flag,
    read_integer,
    read_number,
    read_resources,
    read_text,
)

logger = logging.getLogger("cicadatrail.platform")


def decode_configuration(data: bytes) -> FleetConfiguration | None:
    """Return the operators' configuration, or None if it is invalid."""
    try:
        table = check_table(parse_json(data))
        limits = check_table(table.get("limits", {}))
        return FleetConfiguration(
            version=read_integer(table, "version"),
            queues=tuple(
                _queue(check_table(entry)) for entry in read_entries(table, "routes")
            ),
            pools={
                pool.name: pool
                for pool in (
                    _pool(check_table(e)) for e in read_entries(table, "services")
                )
            },
            teams={
                team.name: team
                for team in (
                    _team(check_table(e)) for e in read_entries(table, "tenants")
                )
            },
            body_limit_bytes=read_integer(limits, "max-body-bytes", 262_144),
            header_limit_bytes=read_integer(limits, "max-header-bytes", 16_384),
        )
    except DecodeError as error:
        logger.warning(
            "platform: configuration is invalid; ignored.", extra={"reason": str(error)}
        )
        return None


def _queue(table: dict[str, Any]) -> Queue:
    return Queue(
        name=read_text(table, "name"),
        host=read_text(table, "host", "").lower(),
        path_prefix=read_text(table, "path-prefix"),
        pool=read_text(table, "service"),
        priority=read_integer(table, "priority", 0),
        attempt_limit_count=read_integer(table, "attempts", 1),
        stretch=read_number(table, "stretch", 1.0),
        target_latency_ms=read_integer(table, "target-latency-ms", 0),
        timeout_ms=read_integer(table, "timeout-ms", 0),
        public=read_flag(table, "public"),
        needs_advice=bool(table.get("advice")),
    )


def _pool(table: dict[str, Any]) -> Pool:
    return Pool(
        name=read_text(table, "name"),
        guards_capacity=read_flag(table, "admission-check"),
        standby=read_flag(table, "standby"),
    )


def _team(table: dict[str, Any]) -> Team:
    keys = read_entries(table, "api-keys")
    return Team(
        name=read_text(table, "name"),
        keys=tuple(key for key in keys if isinstance(key, str)),
        weight=read_count(table, "weight", 1),
        limit=read_resources(check_table(table.get("cap", {}))),
    )
