"""Conditions that an operator should know of, and since when they last."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from cicadatrail_core.models.maintenance import WaveStatus
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.models.state import State
from cicadatrail_core.models.status import Alarm, AlarmName
from cicadatrail_core.placement.dispatcher import Dispatcher
from cicadatraild.serving.dispatch_queue import DispatchQueue
from cicadatraild.sharing.appender import Appender
from cicadatraild.sharing.digests import Digests
from cicadatraild.sharing.replica import Replica
from cicadatraild.sharing.standing import Standing

INTERVAL_S = 1.0
"""Time between two looks at every condition."""

QUEUE_FULL_S = 10.0
"""Time for which a refusal by a full queue is shown."""

SHARE_FRACTION = 0.8
"""Part of its due share below which a waiting team is behind."""

SHARE_PATIENCE_S = 30.0
"""Time that a team must be behind before it is shown."""

_Condition = tuple[AlarmName, str]


@dataclass(frozen=True, slots=True)
class TeamShare:
    """Compare the part of the fleet that a team uses with its due one."""

    due: float
    reached: float


def team_shares(
    state: State, dispatcher: Dispatcher, digests: Digests
) -> Mapping[str, TeamShare]:
    """Return each team's share by own use and that of peers."""
    total = sum((worker.capacity for worker in state.workers.values()), Resources())
    weight_sum = sum(team.share_weight for team in state.teams.values())
    own_usage, peer_usage = dispatcher.own_usage, digests.peer_usage()
    shares = {}
    for team_id, team in state.teams.items():
        used = own_usage.get(team_id, Resources())
        used += peer_usage.get(team_id, Resources())
        due = team.share_weight / weight_sum
        shares[team_id] = TeamShare(due, used.dominant_share(total))
    return shares


class AlarmWatch:
    """Remember since when each condition has lasted."""

    __slots__ = (
        "_appender",
        "_digests",
        "_dispatch_queue",
        "_replica",
        "_since_s",
        "_standing",
    )

    def __init__(
        self,
        replica: Replica,
        appender: Appender,
        standing: Standing,
        digests: Digests,
        dispatch_queue: DispatchQueue,
    ) -> None:
        self._replica = replica
        self._appender = appender
        self._standing = standing
        self._digests = digests
        self._dispatch_queue = dispatch_queue
        self._since_s: dict[_Condition, float] = {}

    def current(self, now_s: float) -> tuple[Alarm, ...]:
        """Return the alarms, those that have lasted longest first."""
        self._look(now_s)
        alarms = [
            Alarm(name, now_s - since_s, detail)
            for (name, detail), since_s in self._since_s.items()
            if now_s - since_s >= _patience_s(name)
        ]
        return tuple(sorted(alarms, key=lambda alarm: -alarm.since_s))

    async def run(self) -> None:
        """Look at every condition each interval, until cancelled."""
        while True:
            self._look(asyncio.get_running_loop().time())
            await asyncio.sleep(INTERVAL_S)

    def _look(self, now_s: float) -> None:
        found = set(self._iterate(self._replica.state, now_s))
        for condition in self._since_s.keys() - found:
            del self._since_s[condition]
        for condition in found:
            self._since_s.setdefault(condition, now_s)

    def _iterate(self, state: State, now_s: float) -> Iterator[_Condition]:
        if self._replica.failing_since_s is not None:
            yield AlarmName.LOG_DOWN, "the log can't be read"
        elif self._appender.failing_since_s is not None:
            yield AlarmName.LOG_SLOW, "the log takes no records"
        for member in self._standing.suspects(now_s):
            yield AlarmName.INSTANCE_SUSPECTED, member.instance_id
        for member in state.roster.values():
            if member.retire_offset is not None:
                yield AlarmName.RIGHTS_RESTING, member.incarnation
        for worker_id in self._dispatch_queue.dispatcher.ejected_workers:
            yield AlarmName.WORKER_EJECTED, worker_id
        for wave_id, progress in state.waves.items():
            if progress.status is WaveStatus.PAUSED:
                yield AlarmName.WAVE_PAUSED, f"{wave_id}: {progress.pause_reason}"
        if now_s - self._dispatch_queue.last_queue_full_s < QUEUE_FULL_S:
            yield AlarmName.QUEUE_FULL, "requests were refused"
        yield from self._teams_behind(state)

    def _teams_behind(self, state: State) -> Iterator[_Condition]:
        dispatcher = self._dispatch_queue.dispatcher
        waiting = [team for team, count in dispatcher.waiting_counts.items() if count]
        if not waiting:
            return
        shares = team_shares(state, dispatcher, self._digests)
        for team_id in waiting:
            share = shares.get(team_id)
            if share is None or share.reached >= SHARE_FRACTION * share.due:
                continue
            running_count = dispatcher.running_counts.get(team_id, 0)
            if running_count < state.teams[team_id].upper_limit_tasks:
                yield AlarmName.SHARE_NOT_REACHED, team_id


def _patience_s(name: AlarmName) -> float:
    return SHARE_PATIENCE_S if name is AlarmName.SHARE_NOT_REACHED else 0.0
