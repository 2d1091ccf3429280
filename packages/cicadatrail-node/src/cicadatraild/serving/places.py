"""Finds a place for a request, here or at a peer, and runs it there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace

from cicadatrail_core.models.fleet import Worker
from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.placement.dispatcher import Placed, Rejected, TaskEnd
from cicadatraild.network.peer_client import PeerLink
from cicadatraild.serving.calls import UpstreamCall
from cicadatraild.serving.desk import Decision, Desk
from cicadatraild.serving.forwarding import Reservation, reserve_at
from cicadatraild.serving.leases import LeaseKeeper
from cicadatraild.serving.outcomes import NotRun, Reason
from cicadatraild.serving.running import GivenUpTasks, RunningTask
from cicadatraild.serving.upstream import Attempt, Upstream
from cicadatraild.utils.tracing import Tracing

SEEK_INTERVAL_S = 0.02
"""Wait before a request that found no place here is offered to peers."""

SEEK_LIMIT_S = 0.5
"""Longest wait between two offers of the same request to peers."""


class Places:
    """Run single attempts of requests."""

    __slots__ = (
        "_desk",
        "_given_up",
        "_leases",
        "_peers_with_room",
        "_tracing",
        "_upstream",
        "_worker",
        "forwarded_count",
    )

    def __init__(
        self,
        desk: Desk,
        upstream: Upstream,
        given_up: GivenUpTasks,
        leases: LeaseKeeper,
        worker: Callable[[str], Worker | None],
        peers_with_room: Callable[[TaskRequest], Sequence[PeerLink]],
        tracing: Tracing,
    ) -> None:
        self._tracing = tracing
        self._desk = desk
        self._upstream = upstream
        self._given_up = given_up
        self._leases = leases
        self._worker = worker
        self._peers_with_room = peers_with_room
        self.forwarded_count = 0

    async def run(self, call: UpstreamCall) -> Attempt:
        """Wait for a place and run there, on an untried worker if there is one."""
        decision = self._desk.submit(call.request, call.mark.workers)
        if isinstance(decision, asyncio.Future):
            found = await self._wait(call, decision)
        else:
            found = decision
        match found:
            case Rejected(reason=reason, again_s=again_s):
                status = 422 if again_s is None else 429
                return NotRun(reason.value, status, again_s)
            case Placed():
                return await self.run_placed(found, call)
            case Reservation():
                self.forwarded_count += 1
                return await found.run()

    async def run_placed(self, placed: Placed, call: UpstreamCall) -> Attempt:
        """Run a request whose place here is taken; account for its end."""
        call.mark.workers.add(placed.worker_id)
        worker = self._worker(placed.worker_id)
        request = placed.request
        if worker is None:
            self._desk.finish(request.request_id, TaskEnd.CANCELLED)
            return NotRun(Reason.NO_ROOM)
        lease = self._leases.lease(worker, request.request_id, request.deadline_s)
        task = RunningTask(self._desk, self._given_up, lease)
        with self._tracing.hop("worker", call.traceparent) as hop:
            hop.set_attribute("worker_id", placed.worker_id)
            traced = replace(call, traceparent=hop.traceparent)
            return await self._upstream.run(worker, traced, task)

    async def _wait(
        self, call: UpstreamCall, decision: asyncio.Future[Decision]
    ) -> Decision | Reservation:
        """Wait for a place here, and meanwhile ask peers that have room."""
        request_id = call.request.request_id
        wait_s = SEEK_INTERVAL_S
        try:
            while not decision.done():
                await asyncio.wait((decision,), timeout=wait_s)
                wait_s = min(SEEK_LIMIT_S, wait_s * 2)
                if decision.done():
                    break
                reservation = await self._seek_until(call, decision)
                if reservation is None:
                    continue
                if not decision.done() and self._desk.withdraw(request_id):
                    return reservation
                await reservation.abandon()
            return decision.result()
        except BaseException:
            self._withdraw(request_id, decision)
            raise

    def _withdraw(self, request_id: str, decision: asyncio.Future[Decision]) -> None:
        """Take back a request nobody waits for, placed or not."""
        if decision.done() and isinstance(decision.result(), Placed):
            self._desk.finish(request_id, TaskEnd.CANCELLED)
            return
        self._desk.withdraw(request_id)

    async def _seek_until(
        self, call: UpstreamCall, decision: asyncio.Future[Decision]
    ) -> Reservation | None:
        """Ask peers, but no longer than until a place here is found.

        A silent peer must not keep the request from a place that is free.
        """
        seeking = asyncio.get_running_loop().create_task(self._seek(call))
        try:
            await asyncio.wait((decision, seeking), return_when=asyncio.FIRST_COMPLETED)
            if not seeking.done():
                return None
            return seeking.result()
        except BaseException:
            reservation = seeking.result() if _succeeded(seeking) else None
            if reservation is not None:
                reservation.drop()
            raise
        finally:
            seeking.cancel()

    async def _seek(self, call: UpstreamCall) -> Reservation | None:
        for link in self._peers_with_room(call.request):
            reservation = await reserve_at(link, call)
            if reservation is None:
                continue
            if reservation.worker_id not in call.mark.workers:
                return reservation
            await reservation.abandon()
        return None


def _succeeded(task: asyncio.Task[Reservation | None]) -> bool:
    return task.done() and not task.cancelled() and task.exception() is None
