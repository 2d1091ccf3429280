"""Test oracle that checks each dispatcher decision against a plain model.

The model recomputes everything by scanning plain lists and uses no index. It
checks team limits, worker capacity, order, fair shares and work conservation.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.models.resources import NO_RESOURCES, Resources
from cicadatrail_core.models.state import State
from cicadatrail_core.placement.decisions import Placed

Reserved = Mapping[str, tuple[str, str]]
"""By pool: the blocked request and the worker whose capacity is reserved for it."""


@dataclass
class Judge:
    """Model of a dispatcher that raises AssertionError for a wrong decision."""

    state: State = field(default_factory=State)
    held: Collection[str] = ()
    slots: Mapping[str, int] = field(default_factory=dict)
    peers: Mapping[str, Resources] = field(default_factory=dict)
    waiting: list[TaskRequest] = field(default_factory=list)
    reserved: Reserved = field(default_factory=dict)
    reserved_before: Reserved = field(default_factory=dict)
    running: dict[str, Placed] = field(default_factory=dict)
    reported: dict[str, Resources] = field(default_factory=dict)
    outside: dict[str, Resources] = field(default_factory=dict)

    def see_reservations(self, reserved: Reserved) -> None:
        """Record the current reservations and keep the previous ones."""
        self.reserved_before, self.reserved = self.reserved, reserved

    def pool_of(self, request: TaskRequest) -> str:
        return self.state.services[request.service_id].pool_id

    def free(self, worker_id: str) -> Resources:
        free = self.state.workers[worker_id].capacity
        free -= self.outside.get(worker_id, NO_RESOURCES)
        for placed in self.running.values():
            if placed.worker_id == worker_id:
                free -= self.charge(placed)
        return free

    def charge(self, placed: Placed) -> Resources:
        reported = self.reported.get(placed.request.request_id, NO_RESOURCES)
        return placed.size.at_least(reported)

    def used(self, placed: Placed) -> Resources:
        return self.reported.get(placed.request.request_id, placed.size)

    def team_running(self, team_id: str) -> int:
        teams = [placed.request.team_id for placed in self.running.values()]
        return teams.count(team_id)

    def has_slot(self, team_id: str) -> bool:
        return self.team_running(team_id) < self.slots.get(team_id, 0)

    def share(self, team_id: str) -> float:
        used = self.peers.get(team_id, NO_RESOURCES)
        for placed in self.running.values():
            if placed.request.team_id == team_id:
                used += self.used(placed)
        total = NO_RESOURCES
        for worker in self.state.workers.values():
            total += worker.capacity
        return used.dominant_share(total) / self.state.teams[team_id].share_weight

    def fitting(self, request: TaskRequest) -> set[str]:
        """Return the owned workers on which the request fits now."""
        return {
            worker_id
            for worker_id in self.held
            if self.state.pool_of.get(worker_id) == self.pool_of(request)
            and request.size.fits_in(self.free(worker_id))
        }

    def heads(self) -> list[TaskRequest]:
        """Return the first request of each queue whose team has a free slot.

        A queue here is one combination of pool, urgency, team and queue id.
        """
        seen, found = set(), []
        for one in self.waiting:
            key = (self.pool_of(one), one.urgency, one.team_id, one.queue_id)
            if key not in seen and self.has_slot(one.team_id):
                found.append(one)
            seen.add(key)
        return found

    def check_placed(self, placed: Placed, now_s: float) -> None:
        """Check a placement against all requests that waited, then record it."""
        request = placed.request
        assert request.request_id not in self.running, "runs twice"
        assert request.deadline_s > now_s, "started after its deadline"
        assert placed.worker_id in self.held, "the worker is not owned"
        pool_id = self.state.pool_of[placed.worker_id]
        assert pool_id == self.pool_of(request), "the worker belongs to another pool"
        assert self.has_slot(request.team_id), "over the team's slots"
        free = self.free(placed.worker_id)
        assert placed.size.fits_in(free), f"{placed.size} does not fit in {free}"
        for other in self.heads():
            self._check_order(request, other, now_s)
        self.waiting = [one for one in self.waiting if one != request]
        self.running[request.request_id] = placed

    def _check_order(
        self, placed: TaskRequest, other: TaskRequest, now_s: float
    ) -> None:
        if other == placed or other.deadline_s <= now_s:
            return
        if self.pool_of(other) != self.pool_of(placed):
            # Requests of two pools compete only for the last slot of one team.
            same_team = other.team_id == placed.team_id
            left = self.slots[placed.team_id] - self.team_running(placed.team_id)
            if not same_team or left > 1:
                return
            if other.urgency.rank < placed.urgency.rank:
                assert not self._could_start(other), f"{other} ranks before it"
            return
        if not self._could_start(other):
            return
        if other.urgency.rank != placed.urgency.rank:
            assert placed.urgency.rank < other.urgency.rank, f"{other} is more urgent"
            return
        reserved_id, _ = self.reserved_before.get(self.pool_of(placed), ("", ""))
        if placed.request_id == reserved_id:
            # It ranked first when the reservation was made; the share of its
            # team may have grown since.
            return
        share, other_share = self.share(placed.team_id), self.share(other.team_id)
        assert share <= other_share + 1e-12, (
            f"{placed.team_id} {share} before {other_share}"
        )

    def check_settled(self, now_s: float) -> None:
        """Check that no request waits that fits on an unreserved worker.

        Each pool has at most one reserved worker, for a request that fits nowhere.
        """
        for one in self.heads():
            if one.deadline_s > now_s:
                assert not self._could_start(one), f"{one} waits although it fits"
        for pool_id, (request_id, worker_id) in self.reserved.items():
            blocked = next(one for one in self.heads() if one.request_id == request_id)
            assert self.pool_of(blocked) == pool_id
            assert worker_id in self.held
            assert not self.fitting(blocked), "capacity is reserved for one that fits"

    def _could_start(self, one: TaskRequest) -> bool:
        """Return whether a request fits on a worker that is not reserved."""
        pool_id = self.pool_of(one)
        reserved_workers = {
            reserved[pool_id][1]
            for reserved in (self.reserved, self.reserved_before)
            if pool_id in reserved
        }
        return bool(self.fitting(one) - reserved_workers)
