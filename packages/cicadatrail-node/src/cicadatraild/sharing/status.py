"""Assembles the status of this instance and its peers for operators."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import Member, State
from cicadatrail_core.models.status import (
    InstanceStatus,
    LogCondition,
    LogState,
    MemberStatus,
    RightsCounts,
    TeamStatus,
    WaveReport,
)
from cicadatrail_core.placement.dispatcher import Dispatcher
from cicadatraild.sharing.alarms import AlarmWatch, team_shares
from cicadatraild.sharing.appender import Appender
from cicadatraild.sharing.digests import Digests
from cicadatraild.sharing.holdings import Holdings
from cicadatraild.sharing.replica import Replica
from cicadatraild.sharing.rights_manager import RightsManager


@dataclass(frozen=True, slots=True)
class StatusView:
    """Collect the status from the components that hold it."""

    incarnation: IncarnationId
    instance_id: str
    data_centre: str
    replica: Replica
    appender: Appender
    rights_manager: RightsManager
    digests: Digests
    holdings: Holdings
    dispatcher: Dispatcher
    alarms: AlarmWatch
    lent_count: Callable[[], int]

    def read(self) -> InstanceStatus:
        """Return the current status."""
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
            alarms=self.alarms.current(now_s),
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
        peers = self.digests.fresh().values()
        shares = team_shares(state, self.dispatcher, self.digests)
        for team_id, share in sorted(shares.items()):
            uses = [use for d in peers for use in d.teams if use.team_id == team_id]
            running = self.dispatcher.running_counts.get(team_id, 0)
            waiting = self.dispatcher.waiting_counts.get(team_id, 0)
            yield TeamStatus(
                team_id=team_id,
                running_count=running + sum(use.running_count for use in uses),
                waiting_count=waiting + sum(use.waiting_count for use in uses),
                slots_held_count=state.slots.get(team_id, {}).get(self.incarnation, 0),
                share_due=share.due,
                share_reached=share.reached,
            )

    def _rights(self, state: State) -> RightsCounts:
        usable = self.holdings.usable(state)
        return RightsCounts(
            worker_count=len(self.holdings.held_workers(state)),
            slot_count=sum(usable.own_slots.values()),
            partition_count=len(self.holdings.partitions(state)),
            lent_count=self.lent_count(),
        )
