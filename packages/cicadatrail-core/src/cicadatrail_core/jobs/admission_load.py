"""What is ahead of a new job, as far as the scheduler and the machine list tell."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from statistics import fmean

from cicadatrail_core.jobs.data_centre_evacuation import is_evacuated
from cicadatrail_core.jobs.job_admission import (
    FleetLoad,
    NewJob,
    PoolLoad,
    TeamLoad,
    Work,
)
from cicadatrail_core.jobs.models import JobDefinition, Machine, MachineState, Queue
from cicadatrail_core.jobs.scheduler import Scheduler
from cicadatrail_core.jobs.state import JobState, StepState
from cicadatrail_core.jobs.takeover import is_queue_reconciled
from cicadatrail_core.jobs.urgency import (
    LATE_FACTOR,
    critical_path_s,
    objective_s,
    remaining_critical_path_s,
)


def asks_for_admission(queue: Queue | None, definition: JobDefinition) -> bool:
    """Return whether a job may be refused for coming too late.

    Only queues with an objective ask for it, and no job that lasts or has times.
    """
    if queue is None or queue.target_latency_ms <= 0 or queue.stretch < 1:
        return False
    if definition.repeat_count:
        return False
    return not any(step.lasting or step.filler for step in definition.steps)


def is_forecast_blind(scheduler: Scheduler, queue: Queue, now_s: float) -> bool:
    """Return whether too little is known to refuse a job.

    That is while a newer leader may have accepted it, or workers of the queue have not
    reported since the takeover.
    """
    return not scheduler.is_lease_valid() or not is_queue_reconciled(
        scheduler, queue, now_s
    )


def describe_job(
    scheduler: Scheduler,
    job_id: str,
    definition: JobDefinition,
    queue: Queue,
    now_s: float,
) -> NewJob:
    """Return what the decision needs of a new job."""
    job = JobState(job_id, definition, now_s)
    return NewJob(
        job_id,
        Work(
            queue.pool,
            definition.team,
            queue.priority,
            now_s + objective_s(scheduler, job, queue),
            _definition_core_s(scheduler, definition),
        ),
        critical_path_s(scheduler, definition),
        queue.stretch,
        queue.target_latency_ms / 1000,
    )


def read_load(
    scheduler: Scheduler, machines: Mapping[str, Machine], now_s: float
) -> FleetLoad:
    """Return the load of the fleet.

    Jobs that are already too late are left out, as all others precede them.
    """
    cores: dict[str, float] = {}
    running: dict[str, float] = {}
    teams: dict[str, float] = {}
    sizes = []
    on_machines = set()
    for worker in scheduler.workers.values():
        facts = worker.facts
        if not worker.is_listed or worker.is_cordoned or facts.draining:
            continue
        on_machines.add(facts.machine)
        if is_evacuated(scheduler, worker):
            continue
        sizes.append(facts.capacity.cpu_millicores / 1000)
        free = facts.capacity.cpu_millicores / 1000
        for run in worker.runs.values():
            step = run.subtask.step
            run_cores = step.spec.reserved.cpu_millicores / 1000
            if step.spec.lasting:
                free -= run_cores
                continue
            left_s = max(0.0, _expected_s(scheduler, step) - (now_s - run.sent_s))
            core_s = left_s * run_cores
            team = step.job.definition.team
            running[facts.pool] = running.get(facts.pool, 0.0) + core_s
            teams[team] = teams.get(team, 0.0) + core_s
        cores[facts.pool] = cores.get(facts.pool, 0.0) + max(0.0, free)
    joining_count = sum(
        1
        for machine in machines.values()
        if machine.name not in on_machines
        and machine.data_centre not in scheduler.evacuated_data_centres
        and machine.state in (MachineState.UP, MachineState.MOVING)
    )
    return FleetLoad(
        {
            pool: PoolLoad(total, running.get(pool, 0.0))
            for pool, total in cores.items()
        },
        {
            name: TeamLoad(
                team.weight,
                team.limit.cpu_millicores / 1000,
                teams.get(name, 0.0),
            )
            for name, team in scheduler.configuration.teams.items()
        },
        tuple(_waiting_work(scheduler, now_s)),
        joining_cores=joining_count * fmean(sizes) if sizes else 0.0,
    )


def _waiting_work(scheduler: Scheduler, now_s: float) -> Iterator[Work]:
    for job in scheduler.jobs.values():
        queue = scheduler.queues.get(job.definition.queue)
        if job.is_final or queue is None:
            continue
        if not job.is_stored:
            core_s = _definition_core_s(scheduler, job.definition)
        else:
            core_s = sum(
                _waiting_core_s(scheduler, step)
                for steps in job.occurrences.values()
                for step in steps
            )
        # Most jobs run as a whole; their objectives need not be known.
        if not core_s:
            continue
        limit_s = objective_s(scheduler, job, queue)
        if job.is_stored:
            path_s = max(
                (
                    remaining_critical_path_s(scheduler, steps)
                    for steps in job.occurrences.values()
                ),
                default=0.0,
            )
            if now_s + path_s - job.accepted_s > LATE_FACTOR * limit_s:
                continue
        yield Work(
            queue.pool,
            job.definition.team,
            queue.priority,
            job.accepted_s + limit_s,
            core_s,
        )


def _waiting_core_s(scheduler: Scheduler, step: StepState) -> float:
    if step.spec.lasting or step.is_done:
        return 0.0
    running_count = sum(1 for subtask in step.subtasks if subtask.live_runs)
    count = max(0, step.spec.count - step.done_count - running_count)
    if not count:
        return 0.0
    cores = step.spec.reserved.cpu_millicores / 1000
    return count * cores * _expected_s(scheduler, step)


def _definition_core_s(scheduler: Scheduler, definition: JobDefinition) -> float:
    return sum(
        step.count
        * (step.reserved.cpu_millicores / 1000)
        * scheduler.durations.expected_ms(definition.queue, step.estimate_ms)
        / 1000
        for step in definition.steps
        if not step.lasting
    )


def _expected_s(scheduler: Scheduler, step: StepState) -> float:
    queue = step.job.definition.queue
    return scheduler.durations.expected_ms(queue, step.spec.estimate_ms) / 1000
