"""Lifecycle of one incarnation of an entry instance."""

from __future__ import annotations

import asyncio
import logging
from contextlib import AsyncExitStack

from cicadatraild.components import Components
from cicadatraild.listeners import listen_to_callers, listen_to_peers
from cicadatraild.sharing.membership import RetiredError
from cicadatraild.utils.background_tasks import BackgroundTasks
from cicadatraild.utils.settings import Settings

logger = logging.getLogger("cicadatrail.instance")

LEAVE_TIMEOUT_S = 120.0
"""Time limit for a graceful leave, after which the incarnation ends regardless."""

DRAIN_S = 1.0
"""Time for sending the last answers before the connections are closed."""


class Instance:
    """Run the components of one incarnation until it ends."""

    def __init__(self, settings: Settings) -> None:
        self.components = Components(settings)
        self.incarnation = self.components.incarnation

    async def run(self, stop: asyncio.Event) -> bool:
        """Serve until ``stop`` is set; return False if removed from the membership.

        A removed incarnation finishes its running work before this returns; the
        caller then starts a new incarnation.
        """
        components = self.components
        async with AsyncExitStack() as stack:
            # Closed last, because peers take a refused connection as proof that this
            # incarnation has ended all its work.
            await listen_to_peers(components, stack)
            await components.pool.open(stack)
            await components.directory.open(stack)
            await components.given_up.open(stack)
            await components.leases.open(stack)
            tasks = await stack.enter_async_context(BackgroundTasks())
            try:
                joined = await self._start_or_stop(tasks, stop)
            except RetiredError:
                logger.warning("instance: removed by peers while joining; restarting.")
                return False
            if not joined:
                return True
            servers = await listen_to_callers(components, stack)
            removed = await self._serve_until(tasks, stop)
            for server in servers:
                server.draining = True
            await self._finish(removed)
            # Requests that came meanwhile have been refused, but not all answers sent.
            await asyncio.gather(*[server.drain(DRAIN_S) for server in servers])
            return not removed

    async def _start_or_stop(self, tasks: BackgroundTasks, stop: asyncio.Event) -> bool:
        """Start; return False if ``stop`` is set before the join has completed.

        Joining takes at least as long as the log is unavailable. Raises the
        exception of a background task that failed.
        """
        loop = asyncio.get_running_loop()
        starting = loop.create_task(self._start(tasks))
        # Yields to the new task, so that the background tasks it starts are known to
        # ``tasks.wait`` and their failures are seen.
        await asyncio.sleep(0)
        stopping = loop.create_task(tasks.wait(stop))
        try:
            await asyncio.wait(
                {starting, stopping}, return_when=asyncio.FIRST_COMPLETED
            )
            if not starting.done():
                await stopping
                return False
            await starting
            return True
        finally:
            starting.cancel()
            stopping.cancel()
            await asyncio.gather(starting, stopping, return_exceptions=True)

    async def _start(self, tasks: BackgroundTasks) -> None:
        """Follow the log, join the membership and start the background tasks."""
        components = self.components
        components.replica.listen(components.updates.apply_state)
        components.replica.listen_to_records(components.updates.apply_record)
        components.replica.listen_to_snapshots(components.loans.note_snapshot)
        tasks.start("replica", components.replica.run())
        tasks.start("appender", components.appender.run())
        tasks.start("list", components.rights_manager.follow_list())
        await components.membership.join()
        tasks.start("pulse", components.rights_manager.pulse())
        tasks.start("reclaim", components.rights_manager.reclaim())
        tasks.start("digests", components.digests.run())
        tasks.start("loans", components.loans.run())
        tasks.start("alarms", components.alarms.run())
        tasks.start("traces", components.tracing.run())
        tasks.start("desk", components.dispatch_queue.run())
        tasks.start("peer records", components.peer_records.run())
        tasks.start("snapshots", components.snapshots.run())
        tasks.start("watch", components.watch.run())
        tasks.start("share", components.share_returns.run())
        tasks.start("waves", components.maintenance.run())
        tasks.start("balance", components.membership.balance())

    async def _serve_until(self, tasks: BackgroundTasks, stop: asyncio.Event) -> bool:
        """Wait for ``stop``; return whether peers have removed this incarnation."""
        try:
            await tasks.wait(stop)
        except RetiredError:
            logger.warning(
                "instance: removed by peers; restarting after running tasks have ended."
            )
            return True
        return False

    async def _finish(self, removed: bool) -> None:
        """Refuse new requests, drain running ones, hand over rights and leave.

        A removed incarnation does not leave, as its peers have freed its rights.
        """
        components = self.components
        open_count = components.in_flight.count
        logger.info("instance: draining; %d requests are in flight.", open_count)
        components.admission.draining = True
        components.loans.leaving = True
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await components.in_flight.ended()
                await components.given_up.settled()
                if not removed:
                    await components.membership.leave()
        except TimeoutError:
            logger.error(
                "instance: did not leave within %s s; ending all the same.",
                LEAVE_TIMEOUT_S,
            )
