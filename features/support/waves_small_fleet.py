"""A small fleet for random histories, and views of it to compare with the reference."""

from __future__ import annotations

from typing import Any

from cicadatrail_core.models.fleet import Place, Pool, Service, Worker
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from features.support.waves_reference import NaiveFleet

REPORTER = IncarnationId("holder")
POOLS = ("a", "b", "c")
WORKER_COUNT = 12
WORKERS = tuple(f"w{index}" for index in range(WORKER_COUNT))
LIMITS = (("a", 2), ("a", 1), ("b", 1), ("c", 3))
"""Budgets of four services; pool a runs two of them, c is the spare pool."""


def small_state() -> State:
    """Return a fleet of twelve workers in three pools and three racks."""
    workers = {
        name: Worker(
            worker_id=name,
            host="127.0.0.1",
            port=9000 + index,
            place=Place("r", f"dc{index % 3 // 2}", f"rack{index % 3}"),
            capacity=Resources(32_000, 65_536),
        )
        for index, name in enumerate(WORKERS)
    }
    services = [Service(f"s{i}", *limit) for i, limit in enumerate(LIMITS)]
    return State(
        pools={name: Pool(name, spare=name == "c") for name in POOLS},
        services={service.service_id: service for service in services},
        workers=workers,
        pool_of={name: POOLS[index // 4] for index, name in enumerate(WORKERS)},
        worker_holders=dict.fromkeys(WORKERS[::2], REPORTER),
    )


def view(state: State) -> Any:
    """Return what the fold and the reference implementation must agree on."""
    return (
        dict(state.pool_of),
        {worker: condition.value for worker, condition in state.conditions.items()},
        {
            wave_id: (
                progress.status.value,
                {worker: step.value for worker, step in progress.steps},
            )
            for wave_id, progress in state.waves.items()
        },
        {move_id: move.status.value for move_id, move in state.moves.items()},
    )


def naive_view(fleet: NaiveFleet) -> Any:
    """Return the same of the reference implementation."""
    return (
        fleet.pool_of,
        fleet.conditions,
        {name: (wave.status, wave.steps) for name, wave in fleet.waves.items()},
        {name: move.status for name, move in fleet.moves.items()},
    )
