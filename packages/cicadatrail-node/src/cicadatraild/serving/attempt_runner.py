"""Single attempts of requests: finds a placement, here or at a peer, and runs them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace

from cicadatrail_core.models.fleet import Worker
from cicadatrail_core.models.requests import TaskRequest
from cicadatrail_core.placement.dispatcher import Placed, Rejected, TaskEnd
from cicadatraild.network.peer_client import PeerLink
from cicadatraild.serving.calls import UpstreamCall
from cicadatraild.serving.dispatch_queue import Decision, DispatchQueue
from cicadatraild.serving.forwarding import Reservation, reserve_at_peer
from cicadatraild.serving.leases import LeaseRenewer
from cicadatraild.serving.outcomes import NotRun, Reason
from cicadatraild.serving.placed_tasks import GivenUpTasks, PlacedTask
from cicadatraild.serving.upstream import Attempt, Upstream
from cicadatraild.utils.tracing import Tracing

PEER_RESERVE_MIN_INTERVAL_S = 0.02
"""First wait before a request that has no placement here is offered to peers."""

PEER_RESERVE_MAX_INTERVAL_S = 0.5
"""Longest wait between offers of the same request to peers; the wait doubles."""


class AttemptRunner:
    """Run single attempts of requests on a worker here or through a peer."""

    __slots__ = (
        "_dispatch_queue",
        "_find_worker",
        "_given_up",
        "_leases",
        "_peers_with_capacity",
        "_tracing",
        "_upstream",
        "forwarded_count",
    )

    def __init__(
        self,
        dispatch_queue: DispatchQueue,
        upstream: Upstream,
        given_up: GivenUpTasks,
        leases: LeaseRenewer,
        find_worker: Callable[[str], Worker | None],
        peers_with_capacity: Callable[[TaskRequest], Sequence[PeerLink]],
        tracing: Tracing,
    ) -> None:
        self._tracing = tracing
        self._dispatch_queue = dispatch_queue
        self._upstream = upstream
        self._given_up = given_up
        self._leases = leases
        self._find_worker = find_worker
        self._peers_with_capacity = peers_with_capacity
        self.forwarded_count = 0

    async def run(self, call: UpstreamCall) -> Attempt:
        """Wait for a placement and run the request, preferably on an untried worker."""
        decision = self._dispatch_queue.submit(
            call.request, call.progress.tried_workers
        )
        if isinstance(decision, asyncio.Future):
            found = await self._wait_for_placement(call, decision)
        else:
            found = decision
        match found:
            case Rejected(reason=reason, retry_delay_s=retry_after_s):
                status = 422 if retry_after_s is None else 429
                return NotRun(reason.value, status, retry_after_s)
            case Placed():
                return await self.run_placed(found, call)
            case Reservation():
                self.forwarded_count += 1
                return await found.run()

    async def run_placed(self, placed: Placed, call: UpstreamCall) -> Attempt:
        """Run a request that was placed here, and release its placement at the end."""
        call.progress.tried_workers.add(placed.worker_id)
        worker = self._find_worker(placed.worker_id)
        request = placed.request
        if worker is None:
            self._dispatch_queue.finish(request.request_id, TaskEnd.CANCELLED)
            return NotRun(Reason.NO_ROOM)
        lease = self._leases.create_lease(
            worker, request.request_id, request.deadline_s
        )
        task = PlacedTask(self._dispatch_queue, self._given_up, lease)
        with self._tracing.hop("worker", call.traceparent) as hop:
            hop.set_attribute("worker_id", placed.worker_id)
            traced = replace(call, traceparent=hop.traceparent)
            return await self._upstream.run(worker, traced, task)

    async def _wait_for_placement(
        self, call: UpstreamCall, decision: asyncio.Future[Decision]
    ) -> Decision | Reservation:
        """Wait for a local placement, and meanwhile ask peers with free capacity."""
        request_id = call.request.request_id
        wait_s = PEER_RESERVE_MIN_INTERVAL_S
        try:
            while not decision.done():
                await asyncio.wait((decision,), timeout=wait_s)
                wait_s = min(PEER_RESERVE_MAX_INTERVAL_S, wait_s * 2)
                if decision.done():
                    break
                reservation = await self._reserve_until_decided(call, decision)
                if reservation is None:
                    continue
                if not decision.done() and self._dispatch_queue.cancel(request_id):
                    return reservation
                await reservation.abandon()
            return decision.result()
        except BaseException:
            self._cancel(request_id, decision)
            raise

    def _cancel(self, request_id: str, decision: asyncio.Future[Decision]) -> None:
        """Cancel a request that was abandoned, whether or not it was placed."""
        if decision.done() and isinstance(decision.result(), Placed):
            self._dispatch_queue.finish(request_id, TaskEnd.CANCELLED)
            return
        self._dispatch_queue.cancel(request_id)

    async def _reserve_until_decided(
        self, call: UpstreamCall, decision: asyncio.Future[Decision]
    ) -> Reservation | None:
        """Ask peers for a reservation until a local placement is decided.

        A peer that doesn't answer must not delay a free local placement.
        """
        reserving = asyncio.get_running_loop().create_task(self._reserve_at_peers(call))
        try:
            await asyncio.wait(
                (decision, reserving), return_when=asyncio.FIRST_COMPLETED
            )
            if not reserving.done():
                return None
            return reserving.result()
        except BaseException:
            reservation = reserving.result() if _succeeded(reserving) else None
            if reservation is not None:
                reservation.drop()
            raise
        finally:
            reserving.cancel()

    async def _reserve_at_peers(self, call: UpstreamCall) -> Reservation | None:
        for link in self._peers_with_capacity(call.request):
            reservation = await reserve_at_peer(link, call)
            if reservation is None:
                continue
            if reservation.worker_id not in call.progress.tried_workers:
                return reservation
            await reservation.abandon()
        return None


def _succeeded(task: asyncio.Task[Reservation | None]) -> bool:
    return task.done() and not task.cancelled() and task.exception() is None
