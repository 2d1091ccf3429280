"""Admission control: checks a caller's key, queue and team."""

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
"""Verified keys in the cache, which saves hashing a key on each request."""


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A task created from an admitted request, and the id reported to its caller."""

    task: TaskRequest
    caller_id: str


class Admission:
    """Check requests against the current configuration state.

    All requests are refused while ``draining`` is set.
    """

    __slots__ = ("_keys_are_current", "_new_id", "_verified_keys", "draining", "state")

    def __init__(
        self, keys_are_current: Callable[[float], bool], new_id: Callable[[], UUID]
    ) -> None:
        self._keys_are_current = keys_are_current
        self._new_id = new_id
        self._verified_keys: dict[str, str] = {}
        self.state = State()
        self.draining = False

    def admit(self, request: CallerRequest) -> Result[AdmittedRequest, NotRun]:
        """Return the task to run, or the reason for refusing the request."""
        if self.draining:
            return Failure(NotRun(Reason.LEAVING))
        now_s = asyncio.get_running_loop().time()
        if not self._keys_are_current(now_s):
            return Failure(NotRun(Reason.KEY_NOT_CURRENT))
        queue = self.state.queues.get(request.queue_id)
        if queue is None or queue.service_id != request.service_id:
            return Failure(NotRun(Reason.QUEUE_UNKNOWN, 404, None))
        return self._team_of(request, queue).map(
            lambda team_id: self._create_task(request, team_id, now_s)
        )

    def _team_of(self, request: CallerRequest, queue: Queue) -> Result[str, NotRun]:
        """Return the id of the team that is charged for the request."""
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
        """Return the team id of a valid key, or None if it is unknown or withdrawn."""
        key_id = key_id_of(key)
        entry = self.state.keys.get(key_id) if key_id else None
        if entry is None or entry.withdrawn:
            return None
        if self._verified_keys.get(key) != entry.hash_hex:
            if not key_matches(key, entry):
                return None
            self._cache_key(key, entry.hash_hex)
        return entry.team_id

    def _cache_key(self, key: str, hash_hex: str) -> None:
        if len(self._verified_keys) >= KEY_CACHE_LIMIT_COUNT:
            self._verified_keys.clear()
        self._verified_keys[key] = hash_hex

    def _create_task(
        self, request: CallerRequest, team_id: str, now_s: float
    ) -> AdmittedRequest:
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
        return AdmittedRequest(task, str(request.request_id or own_id))
