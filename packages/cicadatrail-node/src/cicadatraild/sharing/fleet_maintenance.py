"""Carries out waves and moves on the workers that this incarnation owns."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime

from returns.result import Success

from cicadatrail_core.models.maintenance import (
    MoveStatus,
    StepStatus,
    WaveProgress,
)
from cicadatrail_core.models.platform import Maintenance, MaintenanceStatus
from cicadatrail_core.models.records import (
    MoveDrainedRecord,
    PauseRecord,
    StepRecord,
)
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from cicadatrail_core.waves.planner import DrainingKnowledge, plan_waves
from cicadatraild.sharing.appender import Appender
from cicadatraild.sharing.holdings import Holdings
from cicadatraild.sharing.replica import Replica

logger = logging.getLogger("cicadatrail.wave")

INTERVAL_S = 0.25
"""Time between two checks of waves and moves."""

PLAN_INTERVAL_S = 1.0
"""Time between two plans while no input has changed."""

REQUEST_RETRY_S = 5.0
"""Time after which a step that was not folded is requested again."""


@dataclass(slots=True)
class _Requests:
    """Track steps that were appended but not folded yet."""

    ends_s: dict[tuple[str, str, StepStatus], float] = field(default_factory=dict)

    def workers(self, now_s: float) -> frozenset[str]:
        """Return the workers with a step that was not folded yet."""
        self.ends_s = {key: end for key, end in self.ends_s.items() if end > now_s}
        return frozenset(worker_id for _, worker_id, _ in self.ends_s)

    def folded(self, state: State) -> None:
        """Drop the steps that the state contains."""
        for wave_id, worker_id, step in tuple(self.ends_s):
            progress = state.waves.get(wave_id)
            if progress is None or (worker_id, step) in progress.steps:
                del self.ends_s[(wave_id, worker_id, step)]


class FleetMaintenance:
    """Drain, maintain and move owned workers, appending one record per step."""

    __slots__ = (
        "_appender",
        "_holdings",
        "_incarnation",
        "_maintenance",
        "_planned_inputs",
        "_planned_s",
        "_replica",
        "_requests",
        "_running_on",
    )

    def __init__(
        self,
        incarnation: IncarnationId,
        replica: Replica,
        appender: Appender,
        holdings: Holdings,
        maintenance: Maintenance,
        running_on: Callable[[str], int],
    ) -> None:
        self._incarnation = incarnation
        self._replica = replica
        self._appender = appender
        self._holdings = holdings
        self._maintenance = maintenance
        self._running_on = running_on
        self._requests = _Requests()
        self._planned_inputs: tuple[object, object, frozenset[str]] = (
            None,
            None,
            frozenset(),
        )
        self._planned_s = 0.0

    async def run(self) -> None:
        """Advance waves and moves until cancelled."""
        while True:
            await self._advance(self._replica.state)
            await asyncio.sleep(INTERVAL_S)

    async def _advance(self, state: State) -> None:
        if not state.waves and not state.moves:
            return
        held = self._holdings.held_workers(state)
        self._requests.folded(state)
        self._request_steps(state, held)
        self._finish_moves(state, held)
        await self._follow_jobs(state, held)

    def _request_steps(self, state: State, held: frozenset[str]) -> None:
        now_s = asyncio.get_running_loop().time()
        idle = frozenset(worker for worker in held if not self._running_on(worker))
        if not self._needs_plan(state, idle, now_s):
            return
        requested = self._requests.workers(now_s)
        knowledge = DrainingKnowledge(drained=idle, requested=requested)
        plan = plan_waves(state, datetime.now(UTC).hour, knowledge)
        for pause in plan.pauses:
            self._appender.add(
                PauseRecord(pause.wave_id, pause.reason, self._incarnation)
            )
        for step in plan.steps:
            if step.worker_id in held:
                self._request(step.wave_id, step.worker_id, step.step, now_s)

    def _needs_plan(self, state: State, idle: frozenset[str], now_s: float) -> bool:
        """Return whether inputs have changed or the last plan is outdated."""
        waves, conditions, known_idle = self._planned_inputs
        changed = (
            state.waves is not waves
            or state.conditions is not conditions
            or idle != known_idle
        )
        if not changed and now_s < self._planned_s + PLAN_INTERVAL_S:
            return False
        self._planned_inputs = (state.waves, state.conditions, idle)
        self._planned_s = now_s
        return True

    def _request(
        self, wave_id: str, worker_id: str, step: StepStatus, now_s: float
    ) -> None:
        key = (wave_id, worker_id, step)
        if key in self._requests.ends_s:
            return
        self._requests.ends_s[key] = now_s + REQUEST_RETRY_S
        self._appender.add(StepRecord(wave_id, worker_id, step, self._incarnation))

    def _finish_moves(self, state: State, held: frozenset[str]) -> None:
        now_s = asyncio.get_running_loop().time()
        for move in state.moves.values():
            draining = move.status is MoveStatus.DRAINING
            if not draining or move.worker_id not in held:
                continue
            if self._running_on(move.worker_id):
                continue
            key = (move.move_id, move.worker_id, StepStatus.DONE)
            if key not in self._requests.ends_s:
                self._requests.ends_s[key] = now_s + REQUEST_RETRY_S
                self._appender.add(MoveDrainedRecord(move.move_id, self._incarnation))

    async def _follow_jobs(self, state: State, held: frozenset[str]) -> None:
        """Start and poll the platform's jobs on workers under maintenance."""
        for progress in state.waves.values():
            for worker_id, step in progress.steps:
                if step is StepStatus.MAINTAINING and worker_id in held:
                    await self._follow_job(progress, worker_id)

    async def _follow_job(self, progress: WaveProgress, worker_id: str) -> None:
        """Start a job unless it was started before, and report its end."""
        wave_id, action = progress.wave.wave_id, progress.wave.action
        job_id = progress.job_id(worker_id)
        answer = await self._maintenance.status(worker_id, job_id)
        if not isinstance(answer, Success):
            return
        now_s = asyncio.get_running_loop().time()
        match answer.unwrap():
            case MaintenanceStatus.IDLE:
                await self._maintenance.begin(worker_id, action, job_id)
            case MaintenanceStatus.DONE:
                self._request(wave_id, worker_id, StepStatus.DONE, now_s)
            case MaintenanceStatus.FAILED:
                self._request(wave_id, worker_id, StepStatus.FAILED, now_s)
            case MaintenanceStatus.RUNNING:
                return
