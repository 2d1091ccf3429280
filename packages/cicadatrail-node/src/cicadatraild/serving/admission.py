"""Decides whether a caller's request may be taken at all."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from uuid import UUID

from returns.result import Failure, Result, Success

from cicadatrail_core.models.fleet import Queue
from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.state import State
from cicadatrail_core.utils.keys import key_id_of, key_matches
from cicadatraild.serving.caller_request import CallerRequest
from cicadatraild.serving.outcomes import NotRun, Reason

KEY_CACHE_LIMIT_COUNT = 4_096
"""Keys whose hash is remembered, so that each is hashed once."""


@dataclass(frozen=True, slots=True)
class Admitted:
    """Hold a request that was taken, and the id that its caller knows."""

    task: TaskRequest
    caller_id: str


class Admission:
    """Check key, queue and team against the state in force."""

    __slots__ = ("_known_keys", "_may_judge_keys", "_new_id", "draining", "state")

    def __init__(
        self, may_judge_keys: Callable[[float], bool], new_id: Callable[[], UUID]
    ) -> None:
        self._may_judge_keys = may_judge_keys
        self._new_id = new_id
        self._known_keys: dict[str, str] = {}
        self.state = State()
        self.draining = False

    def admit(self, request: CallerRequest) -> Result[Admitted, NotRun]:
        """Return the task to run, or why it is not taken."""
        if self.draining:
            return Failure(NotRun(Reason.LEAVING))
        now_s = asyncio.get_running_loop().time()
        if not self._may_judge_keys(now_s):
            return Failure(NotRun(Reason.KEY_NOT_CURRENT))
        queue = self.state.queues.get(request.queue_id)
        if queue is None or queue.service_id != request.service_id:
            return Failure(NotRun(Reason.QUEUE_UNKNOWN, 404, None))
        return self._team_of(request, queue).map(
            lambda team_id: self._admitted(request, team_id, now_s)
        )

    def _team_of(self, request: CallerRequest, queue: Queue) -> Result[str, NotRun]:
        """Return the team that the request counts for."""
        if not request.key:
            if queue.open_to_all:
                return Success(queue.owner_team_id)
            return Failure(NotRun(Reason.KEY_MISSING, 401, None))
        team_id = self._check_key(request.key)
        if team_id is None:
            return Failure(NotRun(Reason.KEY_REFUSED, 401, None))
        closed = bool(queue.owner_team_id) and not queue.open_to_all
        if closed and team_id != queue.owner_team_id:
            return Failure(NotRun(Reason.QUEUE_CLOSED, 403, None))
        return Success(team_id)

    def _check_key(self, key: str) -> str | None:
        """Return the team of a key that is granted and not withdrawn."""
        key_id = key_id_of(key)
        entry = self.state.keys.get(key_id) if key_id else None
        if entry is None or entry.withdrawn:
            return None
        if self._known_keys.get(key) != entry.hash_hex:
            if not key_matches(key, entry):
                return None
            self._remember(key, entry.hash_hex)
        return entry.team_id

    def _remember(self, key: str, hash_hex: str) -> None:
        if len(self._known_keys) >= KEY_CACHE_LIMIT_COUNT:
            self._known_keys.clear()
        self._known_keys[key] = hash_hex

    def _admitted(self, request: CallerRequest, team_id: str, now_s: float) -> Admitted:
        own_id = self._new_id()
        task = TaskRequest(
            request_id=str(own_id),
            team_id=team_id,
            service_id=request.service_id,
            queue_id=request.queue_id,
            size=request.size,
            urgency=request.urgency,
            deadline_s=now_s + request.deadline_ms / 1000,
            repeatable=request.repeatable,
            caller_named_id=request.request_id is not None,
        )
        return Admitted(task, str(request.request_id or own_id))
