"""Detects conditions that operators should know of and tracks their duration."""

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
from cicadatraild.sharing.rights_manager import RightsManager

INTERVAL_S = 1.0
"""Time between two checks of all conditions."""

QUEUE_FULL_S = 10.0
"""Time for which an alarm is shown after a full queue refused a request."""

MIN_SHARE_FRACTION = 0.8
"""Fraction of its due share below which a waiting team counts as behind."""

SHARE_ALARM_DELAY_S = 30.0
"""Time that a team must be behind before an alarm is raised."""

_Condition = tuple[AlarmName, str]


@dataclass(frozen=True, slots=True)
class TeamShare:
    """The fractions of the fleet that a team is due and that it uses."""

    due: float
    reached: float


def team_shares(
    state: State, dispatcher: Dispatcher, digests: Digests
) -> Mapping[str, TeamShare]:
    """Return each team's share from the usage of this instance and its peers."""
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
    """Track since when each condition has held."""

    __slots__ = (
        "_appender",
        "_digests",
        "_dispatch_queue",
        "_replica",
        "_rights_manager",
        "_since_s",
    )

    def __init__(
        self,
        replica: Replica,
        appender: Appender,
        rights_manager: RightsManager,
        digests: Digests,
        dispatch_queue: DispatchQueue,
    ) -> None:
        self._replica = replica
        self._appender = appender
        self._rights_manager = rights_manager
        self._digests = digests
        self._dispatch_queue = dispatch_queue
        self._since_s: dict[_Condition, float] = {}

    def current(self, now_s: float) -> tuple[Alarm, ...]:
        """Return the current alarms, longest-lasting first."""
        self._refresh(now_s)
        alarms = [
            Alarm(name, now_s - since_s, detail)
            for (name, detail), since_s in self._since_s.items()
            if now_s - since_s >= _alarm_delay_s(name)
        ]
        return tuple(sorted(alarms, key=lambda alarm: -alarm.since_s))

    async def run(self) -> None:
        """Check every condition each interval, until cancelled."""
        while True:
            self._refresh(asyncio.get_running_loop().time())
            await asyncio.sleep(INTERVAL_S)

    def _refresh(self, now_s: float) -> None:
        found = set(self._iterate_conditions(self._replica.state, now_s))
        for condition in self._since_s.keys() - found:
            del self._since_s[condition]
        for condition in found:
            self._since_s.setdefault(condition, now_s)

    def _iterate_conditions(self, state: State, now_s: float) -> Iterator[_Condition]:
        if self._replica.failing_since_s is not None:
            yield AlarmName.LOG_DOWN, "the log can't be read"
        elif self._appender.failing_since_s is not None:
            yield AlarmName.LOG_SLOW, "the log takes no records"
        for member in self._rights_manager.suspects(now_s):
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
            if share is None or share.reached >= MIN_SHARE_FRACTION * share.due:
                continue
            running_count = dispatcher.running_counts.get(team_id, 0)
            if running_count < state.teams[team_id].upper_limit_tasks:
                yield AlarmName.SHARE_NOT_REACHED, team_id


def _alarm_delay_s(name: AlarmName) -> float:
    return SHARE_ALARM_DELAY_S if name is AlarmName.SHARE_NOT_REACHED else 0.0
