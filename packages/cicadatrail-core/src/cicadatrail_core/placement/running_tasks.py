"""Running tasks, and tasks that ended recently."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from cicadatrail_core.models.fleet import Place
from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.resources import Resources


@dataclass(slots=True)
class RunningTask:
    """Running or recently ended task.

    ``charge`` is what the task is charged to its worker, ``used`` what counts towards
    its team's share. ``peak`` is the largest usage reported, ``observed_at_s`` the time
    at which the newest report was measured, and ``is_learned`` whether the peak has
    been used for estimates.
    """

    request: TaskRequest
    worker_id: str
    pool_id: str
    place: Place
    charge: Resources
    used: Resources
    started_s: float
    peak: Resources | None = None
    observed_at_s: float = 0.0
    ended_s: float | None = None
    is_learned: bool = False


class RunningTasks:
    """Running tasks by id and by pool, with a count per team.

    Ended tasks are kept for ``memory_s`` because reports on them may still arrive.
    """

    __slots__ = (
        "_by_pool",
        "_ended",
        "_ended_limit_count",
        "_memory_s",
        "_tasks",
        "_team_counts",
    )

    def __init__(self, memory_s: float, ended_limit_count: int) -> None:
        self._memory_s = memory_s
        self._ended_limit_count = ended_limit_count
        self._tasks: dict[str, RunningTask] = {}
        self._ended: OrderedDict[str, RunningTask] = OrderedDict()
        self._by_pool: dict[str, dict[str, RunningTask]] = {}
        self._team_counts: dict[str, int] = {}

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._tasks

    def __len__(self) -> int:
        return len(self._tasks)

    @property
    def team_counts(self) -> Mapping[str, int]:
        """Return the number of running tasks of each team that has any."""
        return self._team_counts

    def team_count(self, team_id: str) -> int:
        """Return the number of running tasks of one team."""
        return self._team_counts.get(team_id, 0)

    def get(self, request_id: str) -> RunningTask | None:
        """Return a running task, or None."""
        return self._tasks.get(request_id)

    def ended(self, request_id: str) -> RunningTask | None:
        """Return a task that ended recently, or None."""
        return self._ended.get(request_id)

    def in_pool(self, pool_id: str) -> Iterator[RunningTask]:
        """Yield the running tasks of one pool, oldest first."""
        yield from self._by_pool.get(pool_id, {}).values()

    def add(self, task: RunningTask) -> None:
        """Add a task that starts."""
        request = task.request
        self._ended.pop(request.request_id, None)
        self._tasks[request.request_id] = task
        self._by_pool.setdefault(task.pool_id, {})[request.request_id] = task
        counts = self._team_counts
        counts[request.team_id] = counts.get(request.team_id, 0) + 1

    def end(self, request_id: str, now_s: float) -> RunningTask | None:
        """Move a task to the ended ones; return None if it is not running."""
        task = self._tasks.pop(request_id, None)
        if task is None:
            return None
        task.ended_s = now_s
        self._ended[request_id] = task
        self._forget_old(now_s)
        del self._by_pool[task.pool_id][request_id]
        team_id = task.request.team_id
        self._team_counts[team_id] -= 1
        if not self._team_counts[team_id]:
            del self._team_counts[team_id]
        return task

    def _forget_old(self, now_s: float) -> None:
        while self._ended:
            oldest = next(iter(self._ended.values()))
            ended_s = oldest.ended_s if oldest.ended_s is not None else now_s
            is_old = now_s - ended_s > self._memory_s
            if not is_old and len(self._ended) <= self._ended_limit_count:
                return
            self._ended.popitem(last=False)
