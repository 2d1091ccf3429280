"""Builders of small fleets and requests for admission and placement tests."""

from __future__ import annotations

from collections.abc import Iterable

from cicadatrail_core.models.fleet import (
    DrainPolicy,
    Place,
    Pool,
    Queue,
    Service,
    Team,
    Urgency,
    Worker,
)
from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.models.state import State

NO_DEADLINE_S = 1e9


def worker_id(pool_number: int, number: int) -> str:
    return f"worker-{pool_number}-{number}"


def place_of(number: int) -> Place:
    """Return the place of a worker: four per rack, racks over three data centres."""
    rack = number // 4
    return Place("region", f"dc-{rack % 3}", f"rack-{rack}")


def fleet(
    pool_sizes: Iterable[int],
    weights: Iterable[float],
    capacity: Resources,
    limit_tasks: int = 10_000,
    policy: DrainPolicy = DrainPolicy.CHECKPOINT,
) -> State:
    """Return pools with one service and two queues each, and weighted teams."""
    workers, pool_of = {}, {}
    pools, services, queues = {}, {}, {}
    for pool_number, size in enumerate(pool_sizes):
        pool_id, service_id = f"pool-{pool_number}", f"service-{pool_number}"
        pools[pool_id] = Pool(pool_id)
        services[service_id] = Service(service_id, pool_id, 1)
        for letter in "ab":
            queue_id = f"queue-{pool_number}-{letter}"
            queues[queue_id] = Queue(queue_id, service_id, drain_policy=policy)
        for number in range(size):
            name = worker_id(pool_number, number)
            workers[name] = Worker(name, "127.0.0.1", 1, place_of(number), capacity)
            pool_of[name] = pool_id
    teams = {
        f"team-{number}": Team(f"team-{number}", weight, limit_tasks)
        for number, weight in enumerate(weights)
    }
    return State(
        pools=pools,
        services=services,
        queues=queues,
        teams=teams,
        workers=workers,
        pool_of=pool_of,
    )


def request(
    request_id: str,
    *,
    team: int = 0,
    pool: int = 0,
    queue: str = "a",
    size: Resources = Resources(1000, 1000),  # noqa: B008
    urgency: Urgency = Urgency.NORMAL,
    deadline_s: float = NO_DEADLINE_S,
    repeatable: bool = True,
) -> TaskRequest:
    return TaskRequest(
        request_id=request_id,
        team_id=f"team-{team}",
        service_id=f"service-{pool}",
        queue_id=f"queue-{pool}-{queue}",
        size=size,
        urgency=urgency,
        deadline_s=deadline_s,
        repeatable=repeatable,
    )
