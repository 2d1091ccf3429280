"""What this instance tells operators about itself and its peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from cicadatrail_core.models.maintenance import WaveStatus
from cicadatrail_core.models.resources import Resources
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import Member, State
from cicadatrail_core.models.status import (
    Alarm,
    AlarmName,
    InstanceStatus,
    LogCondition,
    LogState,
    MemberStatus,
    RightsCounts,
    TeamStatus,
    WaveReport,
)
from cicadatrail_core.placement.dispatcher import Dispatcher
from cicadatraild.sharing.appender import Appender
from cicadatraild.sharing.digests import Digests
from cicadatraild.sharing.holdings import Holdings
from cicadatraild.sharing.replica import Replica
from cicadatraild.sharing.standing import Standing


@dataclass(frozen=True, slots=True)
class StatusView:
    """Read the status from the parts that know it."""

    incarnation: IncarnationId
    instance_id: str
    data_centre: str
    replica: Replica
    appender: Appender
    standing: Standing
    digests: Digests
    holdings: Holdings
    dispatcher: Dispatcher
    lent_count: Callable[[], int]

    def read(self) -> InstanceStatus:
        """Return the status as it is now."""
        state = self.replica.state
        now_s = asyncio.get_running_loop().time()
        return InstanceStatus(
            instance_id=self.instance_id,
            incarnation=self.incarnation,
            data_centre=self.data_centre,
            version=state.version,
            next_offset=state.next_offset,
            log_state=self._log_state(now_s),
            members=tuple(self._members(state)),
            teams=tuple(self._teams(state)),
            waves=tuple(WaveReport(progress) for progress in state.waves.values()),
            rights=self._rights(state),
            alarms=tuple(self._alarms(state, now_s)),
        )

    def _log_state(self, now_s: float) -> LogState:
        failing_s = self.replica.failing_since_s
        if failing_s is not None:
            return LogState(LogCondition.DOWN, now_s - failing_s)
        slow_s = self.appender.failing_since_s
        if slow_s is not None:
            return LogState(LogCondition.SLOW, now_s - slow_s)
        return LogState(LogCondition.UP, 0.0)

    def _members(self, state: State) -> Iterator[MemberStatus]:
        digests = self.digests.fresh()
        for member in state.roster.values():
            yield self._member(state, member, digests.get(member.incarnation))

    def _member(self, state: State, member: Member, digest: object) -> MemberStatus:
        own = member.incarnation == self.incarnation
        version = state.version if own else getattr(digest, "version", None)
        return MemberStatus(
            instance_id=member.instance_id,
            incarnation=member.incarnation,
            reachable=own or digest is not None,
            version=version,
        )

    def _teams(self, state: State) -> Iterator[TeamStatus]:
        total = sum((w.capacity for w in state.workers.values()), Resources())
        weight_sum = sum(team.share_weight for team in state.teams.values())
        peers = self.digests.fresh().values()
        own_usage = self.dispatcher.own_usage
        peer_usage = self.digests.peer_usage()
        for team_id, team in sorted(state.teams.items()):
            uses = [use for d in peers for use in d.teams if use.team_id == team_id]
            used = own_usage.get(team_id, Resources())
            used += peer_usage.get(team_id, Resources())
            running = self.dispatcher.running_counts.get(team_id, 0)
            waiting = self.dispatcher.waiting_counts.get(team_id, 0)
            yield TeamStatus(
                team_id=team_id,
                running_count=running + sum(use.running_count for use in uses),
                waiting_count=waiting + sum(use.waiting_count for use in uses),
                slots_held_count=state.slots.get(team_id, {}).get(self.incarnation, 0),
                share_due=team.share_weight / weight_sum,
                share_reached=used.dominant_share(total),
            )

    def _rights(self, state: State) -> RightsCounts:
        spendable = self.holdings.spendable(state)
        return RightsCounts(
            worker_count=len(self.holdings.held_workers(state)),
            slot_count=sum(spendable.own_slots.values()),
            partition_count=len(self.holdings.partitions(state)),
            lent_count=self.lent_count(),
        )

    def _alarms(self, state: State, now_s: float) -> Iterator[Alarm]:
        log_state = self._log_state(now_s)
        if log_state.condition is LogCondition.DOWN:
            yield Alarm(AlarmName.LOG_DOWN, log_state.since_s, "the log can't be read")
        if log_state.condition is LogCondition.SLOW:
            yield Alarm(AlarmName.LOG_SLOW, log_state.since_s, "appends fail")
        for member in self.standing.suspects(now_s):
            yield Alarm(AlarmName.INSTANCE_SUSPECTED, 0.0, member.instance_id)
        for member in state.roster.values():
            if member.retire_offset is not None:
                yield Alarm(AlarmName.RIGHTS_RESTING, 0.0, member.instance_id)
        for worker_id in self.dispatcher.ejected_workers:
            yield Alarm(AlarmName.WORKER_EJECTED, 0.0, worker_id)
        for wave_id, progress in state.waves.items():
            if progress.status is WaveStatus.PAUSED:
                detail = f"{wave_id}: {progress.pause_reason}"
                yield Alarm(AlarmName.WAVE_PAUSED, 0.0, detail)
