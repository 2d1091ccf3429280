"""Steps about waves that maintain a worker again."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from typing import Any, cast

from behave import given, then, when
from returns.result import Result, Success

from cicadatrail_core.fold.apply import Envelope, encode_record
from cicadatrail_core.models import patches, records
from cicadatrail_core.models.fleet import Pool
from cicadatrail_core.models.maintenance import (
    Condition,
    Wave,
    WaveAction,
    WaveStatus,
)
from cicadatrail_core.models.patches import Operation, Patch
from cicadatrail_core.models.platform import MaintenanceStatus, PlatformError
from cicadatrail_core.models.records import Record
from cicadatrail_core.models.rights import WorkerRight
from cicadatraild.sharing.appender import Appender
from cicadatraild.sharing.fleet_maintenance import FleetMaintenance
from cicadatraild.sharing.holdings import Holdings
from cicadatraild.sharing.replica import Replica
from features.support import fold_histories as histories
from features.support.paused_loop import run_paused

OWNER = histories.MEMBERS[0]
WORKERS = ("worker-0", "worker-1", "worker-2")


class KeptOutcomes:
    """A maintenance service that keeps the outcome of each job."""

    def __init__(self) -> None:
        self.jobs: dict[str, MaintenanceStatus] = {}
        self.outcome = MaintenanceStatus.DONE

    async def begin(
        self, worker_id: str, action: WaveAction, job_id: str
    ) -> Result[None, PlatformError]:
        self.jobs.setdefault(job_id, self.outcome)
        return Success(None)

    async def status(
        self, worker_id: str, job_id: str
    ) -> Result[MaintenanceStatus, PlatformError]:
        return Success(self.jobs.get(job_id, MaintenanceStatus.IDLE))


class WaveWorld:
    """One instance whose records are folded as soon as they are appended."""

    def __init__(self) -> None:
        self.service = KeptOutcomes()
        self.replica = Replica(cast(Any, None), random.Random(1))
        self._sequence = 0
        join = records.JoinRecord(OWNER, "entry-0", "127.0.0.1", 1, histories.HOME)
        self.add(join)
        workers = [histories.make_worker(worker_id) for worker_id in WORKERS]
        self.patch(
            patches.PutPool(Pool("bookings")),
            *[patches.AddWorker(worker, "bookings") for worker in workers],
        )
        rights = tuple(WorkerRight(worker_id) for worker_id in WORKERS)
        self.add(records.ClaimRecord(OWNER, rights))

    @property
    def status(self) -> WaveStatus:
        return self.replica.state.waves["week-1"].status

    def add(self, record: Record) -> None:
        self._sequence += 1
        payload = encode_record(Envelope(OWNER, self._sequence, record))
        self.replica.apply_records(self.replica.state.next_offset, (payload,))

    def patch(self, *operations: Operation) -> None:
        version = self.replica.state.version
        self.add(records.PatchRecord(Patch(f"p{version}", version, operations, "op")))
        assert self.replica.state.version == version + 1

    def advance(self) -> None:
        """Advance the waves for 10 s."""
        maintenance = FleetMaintenance(
            OWNER,
            self.replica,
            cast(Appender, self),
            Holdings(OWNER),
            self.service,
            lambda _: 0,
        )

        async def run() -> None:
            with suppress(TimeoutError):
                async with asyncio.timeout(10.0):
                    await maintenance.run()

        run_paused(run())


@given("a wave that is paused, as the maintenance of a worker failed")
def step_failed(context: Any) -> None:
    world = context.world = WaveWorld()
    world.service.outcome = MaintenanceStatus.FAILED
    wave = Wave(
        "week-1", WaveAction.REBOOT, worker_ids=WORKERS[:1], failure_limit_count=1
    )
    world.patch(patches.StartWave(wave))
    world.advance()
    assert world.status is WaveStatus.PAUSED, world.status


@when("the worker serves again and the wave is resumed, and maintenance succeeds")
def step_resume(context: Any) -> None:
    world = context.world
    world.service.outcome = MaintenanceStatus.DONE
    world.add(records.ConditionRecord(WORKERS[0], Condition.SERVING, OWNER))
    world.patch(patches.ResumeWave("week-1"))
    world.advance()


@then("the worker was maintained twice and the wave is done")
def step_done(context: Any) -> None:
    found = (context.world.status, context.world.service.jobs)
    assert found[0] is WaveStatus.DONE and len(found[1]) == 2, found
