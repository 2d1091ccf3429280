"""Mutable state of jobs, their steps and subtasks, and of workers and runs."""

from __future__ import annotations

from enum import Enum

from cicadatrail_core.jobs.models import (
    FINAL_PHASES,
    JobDefinition,
    JobPhase,
    Step,
    SubtaskName,
    WorkerFacts,
)
from cicadatrail_core.models.resources import NO_RESOURCES, Resources


class SubtaskPhase(Enum):
    """Say where a subtask stands."""

    WAITING = "waiting"
    READY = "ready"
    ACTIVE = "active"
    DONE = "done"


class RunPhase(Enum):
    """Say what is known of a run."""

    SENT = "sent"
    """The order to start has been sent; whether it was carried out is open."""

    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """Hold one start of a subtask on a worker, until it is known to be over."""

    __slots__ = (
        "answered_s",
        "is_start_pending",
        "measurement",
        "number",
        "paced_percent",
        "percent",
        "phase",
        "progress_s",
        "sent_s",
        "start_expires_s",
        "stop_acked_s",
        "stop_sent_s",
        "subtask",
        "unanswered_s",
        "worker",
    )

    def __init__(
        self, subtask: Subtask, number: int, worker: WorkerState, sent_s: float
    ) -> None:
        self.subtask = subtask
        self.number = number
        self.worker = worker
        self.phase = RunPhase.SENT
        self.sent_s = sent_s
        # The order to start waits to be sent, or for its answer.
        self.is_start_pending = False
        self.answered_s: float | None = None
        self.unanswered_s: float | None = None
        self.stop_sent_s: float | None = None
        self.stop_acked_s: float | None = None
        # Set when the order is sent.
        self.start_expires_s = float("inf")
        self.percent = 0
        self.progress_s = sent_s
        self.measurement = 0
        self.paced_percent = 100

    def mark_unanswered(self, now_s: float) -> None:
        """Note that the order got no answer: whether it was carried out is open."""
        self.is_start_pending = False
        self.unanswered_s = now_s

    @property
    def is_available(self) -> bool:
        """Tell whether a lasting subtask's run does its work, as far as is known."""
        if self.worker.is_suspect:
            return False
        return self.phase is RunPhase.RUNNING and self.percent >= 100


class Subtask:
    """Hold one subtask and its live runs."""

    __slots__ = (
        "avoided_worker",
        "checkpoint",
        "expired_runs",
        "failed_runs",
        "index",
        "last_run",
        "live_runs",
        "phase",
        "ready_s",
        "step",
    )

    def __init__(self, step: StepState, index: int) -> None:
        self.step = step
        self.index = index
        self.phase = SubtaskPhase.WAITING
        self.failed_runs: set[int] = set()
        self.expired_runs: set[int] = set()
        self.checkpoint = ""
        self.last_run = 0
        self.ready_s = 0.0
        self.avoided_worker = ""
        self.live_runs: list[Run] = []

    @property
    def attempt_count(self) -> int:
        """Return the runs that have failed, or may have failed unseen."""
        return len(self.failed_runs | self.expired_runs)

    @property
    def name(self) -> SubtaskName:
        """Return the subtask's name."""
        step = self.step
        return SubtaskName(step.job.job_id, step.occurrence, step.position, self.index)


class StepState:
    """Hold one step of one occurrence of a job."""

    __slots__ = (
        "done_count",
        "gang_failures",
        "job",
        "occurrence",
        "position",
        "ready",
        "spec",
        "subtasks",
        "tickets",
        "tickets_expire_s",
    )

    def __init__(self, job: JobState, occurrence: int, position: int) -> None:
        self.job = job
        self.occurrence = occurrence
        self.position = position
        self.spec: Step = job.definition.steps[position]
        self.subtasks = [Subtask(self, index) for index in range(self.spec.count)]
        self.done_count = 0
        self.gang_failures = 0
        self.ready: dict[int, Subtask] = {}
        # Workers that may run the step, where its queue needs advice.
        self.tickets: dict[str, str] = {}
        self.tickets_expire_s = 0.0

    @property
    def is_done(self) -> bool:
        """Tell whether every subtask has ended as done."""
        return self.done_count == self.spec.count

    def mark_done(self) -> None:
        """Take every subtask for done, as one of an ended job is."""
        for subtask in self.subtasks:
            subtask.phase = SubtaskPhase.DONE
        self.done_count = self.spec.count


class JobState:
    """Hold an accepted job."""

    __slots__ = (
        "accepted_s",
        "definition",
        "done_occurrences",
        "ended_s",
        "inherited",
        "is_stored",
        "job_id",
        "occurrences",
        "phase",
        "started",
        "stored_phase",
        "weight",
    )

    def __init__(
        self, job_id: str, definition: JobDefinition, accepted_s: float
    ) -> None:
        self.job_id = job_id
        self.definition = definition
        self.accepted_s = accepted_s
        self.phase = JobPhase.PENDING
        self.stored_phase = JobPhase.PENDING
        self.is_stored = False
        self.started = False
        self.inherited = False
        self.occurrences: dict[int, list[StepState]] = {}
        self.done_occurrences: set[int] = set()
        self.ended_s = 0.0
        self.weight = 0.0

    @property
    def is_final(self) -> bool:
        """Tell whether the job has ended."""
        return self.phase in FINAL_PHASES

    @property
    def has_runs(self) -> bool:
        """Tell whether a worker may still run something of the job."""
        return any(
            subtask.live_runs
            for steps in self.occurrences.values()
            for step in steps
            for subtask in step.subtasks
        )

    def subtask(self, name: SubtaskName) -> Subtask | None:
        """Return a subtask by its name, or None if there is none."""
        steps = self.occurrences.get(name.occurrence)
        if steps is None or not 0 <= name.step < len(steps):
            return None
        subtasks = steps[name.step].subtasks
        return subtasks[name.index] if 0 <= name.index < len(subtasks) else None


class WorkerState:
    """Hold what is known of a worker and what it may be running."""

    __slots__ = (
        "answered_s",
        "below_target_since_s",
        "born_unix_ms",
        "clock_at_s",
        "clock_ms",
        "draining_until_s",
        "ejected_until_s",
        "end_outcomes",
        "facts",
        "is_cordoned",
        "is_listed",
        "is_reconciled",
        "is_suspect",
        "lease_expires_s",
        "processed_end",
        "runs",
        "stored_end",
        "unreported_runs",
        "used",
    )

    def __init__(self, facts: WorkerFacts) -> None:
        self.facts = facts
        self.born_unix_ms = facts.born_unix_ms
        self.runs: dict[tuple[SubtaskName, int], Run] = {}
        # Runs whose lease lapsed before the worker told how they ended.
        self.unreported_runs: list[Run] = []
        self.used: Resources = NO_RESOURCES
        self.answered_s: float | None = None
        self.clock_ms = 0
        self.clock_at_s: float | None = None
        self.lease_expires_s = 0.0
        self.is_reconciled = False
        # A call failed since the last report: it may have restarted.
        self.is_suspect = False
        self.is_listed = True
        self.is_cordoned = False
        self.ejected_until_s = 0.0
        self.end_outcomes: list[bool] = []
        self.processed_end = 0
        self.stored_end = 0
        self.draining_until_s: float | None = None
        self.below_target_since_s: float | None = None

    @property
    def free_capacity(self) -> Resources:
        """Return what is left of the capacity."""
        return self.facts.capacity - self.used

    def clear_unreported_runs(self) -> None:
        """Forget lapsed runs: how they ended is known, or never will be."""
        for run in self.unreported_runs:
            run.subtask.expired_runs.discard(run.number)
        self.unreported_runs.clear()

    @property
    def acknowledged_end(self) -> int:
        """Return the last end that the worker may forget.

        A worker that may have restarted counts its ends anew, so that the
        number of its last life would make it forget ends that nobody has seen.
        """
        return 0 if self.is_suspect else self.stored_end

    def add(self, run: Run) -> None:
        """Count a run against the capacity."""
        self.runs[run.subtask.name, run.number] = run
        self.used = self.used + run.subtask.step.spec.reserved

    def remove(self, run: Run) -> None:
        """Free what a run took."""
        if self.runs.pop((run.subtask.name, run.number), None) is not None:
            self.used = self.used - run.subtask.step.spec.reserved
