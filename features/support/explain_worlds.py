"""States of a scheduler in which jobs are explained, and what shows a change of it."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace
from enum import Enum
from typing import Any

from cicadatrail_core.models.resources import Resources
from features.support.job_world import JobWorld, configuration, definition

OTHER = "00000000000000b2"
BUSY = "00000000000000c3"


def dump(value: Any, seen: dict[int, int]) -> Any:
    """Return all of an object's state, with the identity of what it refers to."""
    if value is None or isinstance(value, str | int | float | Enum):
        return value
    if id(value) in seen:
        return f"#{seen[id(value)]}"
    seen[id(value)] = len(seen)
    match value:
        case dict():
            return [(dump(k, seen), dump(v, seen)) for k, v in value.items()]
        case list() | tuple():
            return [dump(entry, seen) for entry in value]
        case set() | frozenset():
            return sorted(map(str, value))
    if hasattr(value, "__slots__"):
        names = type(value).__slots__
    else:
        names = getattr(value, "__dict__", ())
    return type(value).__name__, [dump(getattr(value, n), seen) for n in [*names]]


class Lines(logging.Handler):
    """A handler that keeps what is logged."""

    def __init__(self) -> None:
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record)


def run_on_each(world: JobWorld) -> None:
    world.submit(BUSY, definition(3, 3, spread_limit_count=1))
    assert len(world.run_all()) == 3


def block(world: JobWorld) -> None:
    run_on_each(world)
    queues = world.scheduler.queues
    queues["first"] = replace(queues["q"], name="first", priority=-1)
    world.submit(OTHER, replace(definition(1, 8), queue="first"))
    world.run_all()


def reserve(world: JobWorld) -> None:
    block(world)
    world.tick(2.0)
    world.report_all()


def keep_room(world: JobWorld) -> None:
    learn(world)
    block(world)
    # The next pass would log what is kept.
    world.tick(0.6)
    world.report_all()
    assert world.scheduler.kept_starts


def suspect(world: JobWorld) -> None:
    run_on_each(world)
    (subtask,) = world.submit(OTHER, definition(1, 6)).occurrences[0][0].subtasks
    subtask.crashed_runs.update({1: "w0", 2: "w1"})
    world.scheduler.suspects[subtask.name] = subtask


def run_some(world: JobWorld) -> None:
    world.submit(BUSY, definition(1, 3))
    world.run_all()


def limit(world: JobWorld) -> None:
    run_some(world)
    world.scheduler.configuration = configuration(Resources(8000))


def need_advice(world: JobWorld) -> None:
    queues = world.scheduler.queues
    queues["q"] = replace(queues["q"], needs_advice=True)


def learn(world: JobWorld) -> None:
    for queue in ("q", "first"):
        for _ in range(40):
            world.scheduler.durations.learn(queue, 500, 2.0)


def fill(world: JobWorld) -> None:
    learn(world)
    world.submit(BUSY, definition(3, 8))
    assert len(world.run_all()) == 3


STATES: dict[str, Callable[[JobWorld], object]] = {
    "of which some run other work": run_some,
    "where others wait": lambda world: world.submit(OTHER, definition(2, 5)),
    "where a larger step has one reserved": reserve,
    "where room is kept for a larger step": keep_room,
    "where one is kept for a suspect": suspect,
    "whose team is at its limit": limit,
    "whose queue needs advice": need_advice,
    "whose queue has a new pool": lambda w: w.scheduler.queue_pools.unstored.add("q"),
    "where others take all and end in 2 s": fill,
}
