"""An entry instance on the platform: its listeners, configuration and shutdown.

The instance that is elected leader also runs the fleet.
"""

from __future__ import annotations

import asyncio
import logging
import signal
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from typing import Any

from returns.result import Failure, Success

from cicadatrail_core.jobs.crash_suspicion import withdraw_all_start_notes
from cicadatrail_core.jobs.models import FleetConfiguration
from cicadatraild.network.body_budget import BodyBudget
from cicadatraild.network.http_server import HttpServer
from cicadatraild.network.server_exchange import HttpExchange, HttpLimits
from cicadatraild.platform.callers import CallerInterface
from cicadatraild.platform.configuration import decode_configuration
from cicadatraild.platform.settings import PlatformSettings, read_platform_settings
from cicadatraild.platform.store import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    FencedError,
    KeyedRecord,
    StoreClient,
)
from cicadatraild.scheduling.caller_listener import CallerListener
from cicadatraild.scheduling.client_limits import derive_client_limits
from cicadatraild.scheduling.clocks import loop_now_s
from cicadatraild.scheduling.entry import Entry
from cicadatraild.scheduling.feeds import TopicFeed
from cicadatraild.scheduling.handover import Handover
from cicadatraild.scheduling.leader import Leader
from cicadatraild.scheduling.leadership import Leadership
from cicadatraild.scheduling.messages import CandidateIs
from cicadatraild.scheduling.metrics import InstanceMetrics
from cicadatraild.scheduling.operator_interface import OperatorInterface
from cicadatraild.scheduling.operator_requests import OperatorRequests
from cicadatraild.scheduling.peers import PeerClient, PeerServer
from cicadatraild.scheduling.shutdown_times import ShutdownTimes
from cicadatraild.utils.output import OutputHandler

logger = logging.getLogger("cicadatrail.instance")

WITHDRAW_TIMEOUT_S = 0.2
"""Part of the time of a release for storing which noted starts will not be sent."""

STRONG_CORES = 1.0
"""Cores that make an instance a strong candidate for leader: the leader of 150
workers used up to 0.6 cores (docs/MEASUREMENTS.md)."""

WEAK_CLAIM_DELAY_S = 0.15
"""Delay of the claims of weaker instances, in favour of strong ones; several round
trips to the store."""

CANDIDATE_STORE_AGE_S = 1.5
"""Largest age of the store's last answer at which an instance may become successor;
the store is queried at least twice a second."""

LAG_PROBE_S = 0.1
"""Interval between probes of the event loop's lag."""

CONFIRM_PAUSE_S = 0.1
"""Interval between queries to others while the store does not answer the leader. With
the time that one waits for a silent instance it is well below the time that a
confirmation lasts."""

CONFIRM_AHEAD_S = 0.4
"""Time before the end of the lease from which others are asked; two intervals."""

MEMBER_CHECK_PAUSE_S = 4.0
"""Interval between the leader's checks for lost instances."""

HANDOVER_LAG_S = 0.25
"""Lag of the event loop above which a probe counts as slow."""

HANDOVER_PROBES_COUNT = 5
"""Consecutive slow probes after which a leader hands over."""


class PlatformInstance:
    """Serve callers, and run the fleet while elected leader."""

    def __init__(
        self, settings: PlatformSettings, path: Path, output: OutputHandler
    ) -> None:
        self._settings = settings
        self._path = path
        self._store = StoreClient(settings.store)
        self._configuration: FleetConfiguration | None = None
        self._requests = OperatorRequests(self._evacuate)
        self._leader: Leader | None = None
        self._leader_task: asyncio.Task[None] | None = None
        self._leadership = Leadership(
            self._store,
            settings.node,
            settings.host,
            self._start_leading,
            self._stop_leading,
            0.0 if settings.cores >= STRONG_CORES else WEAK_CLAIM_DELAY_S,
        )
        self._peers = PeerClient(settings.peer_port)
        self._entry = Entry(
            self._leadership,
            self._peers,
            settings.host,
            settings.seed_hosts,
            lambda: self._leader,
            self._describe_candidate,
        )
        self.handover = Handover(
            self._leadership, self._entry, self._withdraw_start_notes
        )
        self._callers = CallerInterface(
            self._entry, lambda: self._configuration, lambda: self._stop.is_set()
        )
        self._limits = derive_client_limits(
            settings.memory_mib, settings.descriptor_count
        )
        self._front = CallerListener(self._callers.handle, self._limits)
        self._peer_server = PeerServer(
            self._entry.answer_peer,
            self._entry.add_peer,
            BodyBudget(self._limits.peer_bytes, self._limits.peer_reserve_bytes),
        )
        self._stop = asyncio.Event()
        self._elected = asyncio.Event()
        self._began_s = loop_now_s()
        self.metrics = InstanceMetrics(
            self._store, self._leadership, lambda: self._leader, self._callers, output
        )
        self.metrics.watch_clients(self._front, self._peer_server)

    async def run(self) -> None:
        """Serve until SIGTERM, then hand over and finish open requests."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        settings = self._settings
        logger.info(
            "instance: started.",
            extra={"node": settings.node, "data_centre": settings.data_centre},
        )
        async with AsyncExitStack() as stack:
            await self._store.pool.open(stack)
            await self._peers.open(stack)
            await self._peer_server.listen(stack, settings.host, settings.peer_port)
            await self._listen(stack)
            tasks: list[asyncio.Task[Any]] = [
                asyncio.create_task(self._follow_configuration()),
                asyncio.create_task(self._leadership.run()),
                asyncio.create_task(self._watch_lag()),
                asyncio.create_task(self._confirm_leadership()),
            ]
            stopping = asyncio.create_task(self._stop.wait())
            stack.callback(_cancel_all, [*tasks, stopping])
            stack.callback(self._leadership.close)
            stack.callback(self._stop_leading, "stopped")
            done, _ = await asyncio.wait(
                [*tasks, stopping], return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                if task is not stopping:
                    task.result()
            await self._shut_down(self._front.server)

    def stop(self) -> None:
        """Start the shutdown, as SIGTERM does."""
        self._stop.set()

    async def _listen(self, stack: AsyncExitStack) -> None:
        """Start the HTTP listeners."""
        settings = self._settings
        await self._front.server.listen(stack, settings.front.host, settings.front.port)
        limits = HttpLimits(
            connection_limit_count=self._limits.internal_connection_count
        )
        ready = HttpServer("readiness", self._answer_ready, limits)
        await ready.listen(stack, settings.readiness.host, settings.readiness.port)
        operators = OperatorInterface(self.metrics.expose, lambda: self._leader)
        metrics = HttpServer("operators", operators.handle, limits)
        await metrics.listen(stack, settings.host, settings.metrics_port)

    async def _answer_ready(self, exchange: HttpExchange) -> None:
        await exchange.respond(200 if self.is_ready else 503)

    @property
    def is_ready(self) -> bool:
        """Return whether callers can be served."""
        if self._stop.is_set() or self._configuration is None:
            return False
        return self._leadership.current is not None

    @property
    def is_leader(self) -> bool:
        """Return whether this instance is the leader and has completed the takeover."""
        return self._leader is not None and self._leader.ready.is_set()

    # Configuration

    async def _follow_configuration(self) -> None:
        feed = TopicFeed(
            self._store, CONFIGURATION_TOPIC, self._apply_record, self._requests.keep
        )
        await feed.run()

    def _apply_record(self, record: KeyedRecord) -> None:
        if record.key != CONFIGURATION_KEY:
            self._requests.apply(record)
        elif record.value is not None:
            self._apply_configuration(record.value)

    def _evacuate(self) -> None:
        if self._leader is not None:
            self._leader.evacuate(self._requests.evacuated_data_centres)

    def _apply_configuration(self, value: bytes) -> None:
        configuration = decode_configuration(value)
        present = self._configuration.version if self._configuration else -1
        if configuration is None or configuration.version <= present:
            return
        self._configuration = configuration
        self._front.configure(configuration)
        logger.info(
            "instance: configuration applied.",
            extra={
                "version": configuration.version,
                "previous_version": present,
                "queue_count": len(configuration.queues),
                "team_count": len(configuration.teams),
            },
        )
        if self._leader is not None:
            self._leader.configure(configuration)

    def _reload(self) -> None:
        match read_platform_settings(self._path):
            case Success(settings):
                changed = settings != self._settings
                logger.info("instance: settings reloaded.", extra={"changed": changed})
            case Failure(findings):
                logger.error(
                    "instance: invalid settings; keeping the current ones.",
                    extra={"findings": [str(finding) for finding in findings]},
                )

    # Leadership

    def _start_leading(self, epoch: int) -> None:
        leader = Leader(
            self._settings,
            self._store,
            self._leadership,
            epoch,
            self._requests.waves,
        )
        if self._configuration is not None:
            leader.configure(self._configuration)
        leader.evacuate(self._requests.evacuated_data_centres)
        self._leader = leader
        self._leader_task = asyncio.create_task(self._lead(leader))
        self._elected.set()

    async def _lead(self, leader: Leader) -> None:
        try:
            await leader.run()
        except asyncio.CancelledError:
            raise
        except BaseException as error:
            # A successor restores its state from the store, so stepping down is safe.
            logger.exception("instance: leader failed.")
            self._leadership.step_down(f"failed: {error!r}")

    def _stop_leading(self, reason: str) -> None:
        if self._leader_task is not None:
            logger.info("instance: leader stopped.", extra={"reason": reason})
            self._leader_task.cancel()
        if self._leader is not None:
            # Its task may be cancelled before the first step.
            self._leader.end_requests()
        self._leader = None
        self._leader_task = None

    async def _withdraw_start_notes(self) -> None:
        """Store that starts which were noted will not be sent by this leader."""
        leader = self._leader
        if leader is None or not leader.ready.is_set():
            return
        withdraw_all_start_notes(leader.scheduler)
        with suppress(FencedError, TimeoutError):
            async with asyncio.timeout(WITHDRAW_TIMEOUT_S):
                await leader.journal.flush()

    @property
    def may_start(self) -> bool:
        """Return whether this instance may start subtasks."""
        return self._leadership.may_start()

    async def _confirm_leadership(self) -> None:
        """Ask others whether they follow this leader, while its lease isn't enough.

        Rounds overlap, as each waits for instances that don't answer.
        """
        checked_s = loop_now_s()
        async with asyncio.TaskGroup() as rounds:
            while True:
                with suppress(TimeoutError):
                    async with asyncio.timeout(CONFIRM_PAUSE_S):
                        await self._elected.wait()
                self._elected.clear()
                if self._leadership.needs_confirmation(CONFIRM_AHEAD_S):
                    rounds.create_task(self._entry.confirm_leadership())
                    continue
                is_due = loop_now_s() - checked_s > MEMBER_CHECK_PAUSE_S
                if is_due and self._leadership.held_epoch:
                    checked_s = loop_now_s()
                    rounds.create_task(self._entry.drop_lost_members())

    async def _watch_lag(self) -> None:
        """Hand over leadership when the event loop lags persistently."""
        slow_count = 0
        while True:
            due_s = loop_now_s() + LAG_PROBE_S
            await asyncio.sleep(LAG_PROBE_S)
            lag_s = loop_now_s() - due_s
            self.metrics.observe_lag(lag_s)
            slow_count = slow_count + 1 if lag_s > HANDOVER_LAG_S else 0
            is_slow = slow_count >= HANDOVER_PROBES_COUNT
            if is_slow and self._leadership.held_epoch and not self._stop.is_set():
                logger.warning(
                    "instance: event loop is too slow.",
                    extra={"lag_s": round(lag_s, 3)},
                )
                slow_count = 0
                await self.handover.to_peer()
                self._leadership.claims_disabled = self._stop.is_set()

    def _describe_candidate(self) -> CandidateIs:
        """Return whether this instance could become the leader, for a peer."""
        answered_s = self._leadership.store_answered_s
        is_fresh = (
            answered_s is not None and loop_now_s() - answered_s < CANDIDATE_STORE_AGE_S
        )
        return CandidateIs(
            self.is_ready and is_fresh,
            self._settings.cores >= STRONG_CORES,
            loop_now_s() - self._began_s,
        )

    async def _shut_down(self, front: HttpServer) -> None:
        """Serve until the platform's grace period ends, and answer every request.

        Another instance leads as soon as one can.
        """
        logger.info("instance: stopping.", extra={"epoch": self._leadership.held_epoch})
        times = ShutdownTimes(loop_now_s(), self._settings.grace_s)
        self._leadership.claims_disabled = True
        self._entry.limits.close_at(times.answer_s)
        await self.handover.until(times.drain_s)
        await front.drain(max(0.0, times.end_s - loop_now_s()))
        self._leadership.is_closed = True
        with suppress(TimeoutError):
            async with asyncio.timeout(times.release_timeout_s(loop_now_s())):
                await self.handover.release("")
        logger.info(
            "instance: stopped.", extra={"open_count": self._callers.open_count}
        )


def _cancel_all(tasks: list[asyncio.Task[Any]]) -> None:
    for task in tasks:
        task.cancel()


async def serve_on_platform(
    settings: PlatformSettings, path: Path, output: OutputHandler
) -> int:
    """Serve until SIGTERM; return the exit code."""
    await PlatformInstance(settings, path, output).run()
    return 0
