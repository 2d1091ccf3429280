"""Open connections of a server, and what each of them waits for."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from cicadatraild.network.http_transport import HttpTransport

logger = logging.getLogger("cicadatrail.http")

LOGGED_COUNT = 20
"""Largest number of connections that get a line each when a server closes."""


class Stage(Enum):
    """What a connection waits for."""

    HEAD = "the head of a request"
    ANSWER = "its handler"
    CLOSE = "the caller, after its last answer"


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """A connection and its stage; ``since_s`` is the loop's time at which it began.

    ``is_new`` holds until its first request.
    """

    transport: HttpTransport
    opened_s: float
    stage: Stage
    since_s: float
    is_new: bool


class OpenConnections:
    """The tasks that serve connections, each with its connection's stage.

    ``made_count`` counts all connections that were ever added.
    """

    __slots__ = ("_states", "made_count")

    def __init__(self) -> None:
        self._states: dict[asyncio.Task[None], OpenConnection] = {}
        self.made_count = 0

    def __len__(self) -> int:
        return len(self._states)

    def __iter__(self) -> Iterator[asyncio.Task[None]]:
        return iter(tuple(self._states))

    def add(self, task: asyncio.Task[None], transport: HttpTransport) -> None:
        """Add a connection that is served until its task ends."""
        now_s = asyncio.get_running_loop().time()
        self.made_count += 1
        self._states[task] = OpenConnection(transport, now_s, Stage.HEAD, now_s, True)
        task.add_done_callback(self._states.pop)

    def enter(self, task: asyncio.Task[None], stage: Stage) -> None:
        """Note that a connection has entered a stage."""
        state = self._states[task]
        now_s = asyncio.get_running_loop().time()
        is_new = state.is_new and stage is Stage.HEAD
        self._states[task] = OpenConnection(
            state.transport, state.opened_s, stage, now_s, is_new
        )

    def is_new(self, task: asyncio.Task[None], limit_s: float) -> bool:
        """Return whether a connection waits for its first request, for a short time."""
        state = self._states[task]
        age_s = asyncio.get_running_loop().time() - state.opened_s
        return state.is_new and age_s < limit_s

    def count(self, stage: Stage) -> int:
        """Return the number of connections in a stage."""
        return sum(state.stage is stage for state in self._states.values())

    def log_dropped(self, name: str) -> None:
        """Log the connections that a server drops as it closes."""
        now_s = asyncio.get_running_loop().time()
        for state in tuple(self._states.values())[:LOGGED_COUNT]:
            logger.warning(
                "http: dropping a connection.",
                extra={
                    "server": name,
                    "waits_for": state.stage.value,
                    "stage_age_s": round(now_s - state.since_s, 3),
                    "age_s": round(now_s - state.opened_s, 3),
                    "has_unparsed": state.transport.has_unparsed,
                    "unsent_bytes": state.transport.unsent_bytes,
                },
            )
