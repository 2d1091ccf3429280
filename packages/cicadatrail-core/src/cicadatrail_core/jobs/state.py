"""Mutable state of jobs, steps, subtasks and runs.

Names ending in ``_s`` hold times on the event loop's clock, in seconds.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from cicadatrail_core.jobs.models import (
    FINAL_PHASES,
    JobDefinition,
    JobPhase,
    Step,
    SubtaskName,
)

if TYPE_CHECKING:
    from cicadatrail_core.jobs.worker_state import WorkerState


class SubtaskPhase(Enum):
    """Stage of a subtask."""

    WAITING = "waiting"
    READY = "ready"
    ACTIVE = "active"
    DONE = "done"


class RunPhase(Enum):
    """State of a run as far as the scheduler knows it."""

    SENT = "sent"
    """The start order is queued or sent; whether the run has started is unknown."""

    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """One execution of a subtask on a worker, kept until it is known to be over."""

    __slots__ = (
        "answered_s",
        "apart_until_s",
        "first_progress",
        "has_moved_life",
        "inherited_clock_ms",
        "is_proved",
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
        "unanswered_count",
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
        # True while the start order waits to be sent or answered.
        self.is_start_pending = False
        # An answer or a list shows that the worker's known life has it.
        self.is_proved = False
        self.answered_s: float | None = None
        self.unanswered_s: float | None = None
        self.unanswered_count = 0
        # It was started again in a later life of its worker.
        self.has_moved_life = False
        self.stop_sent_s: float | None = None
        self.stop_acked_s: float | None = None
        # Set when the start order is sent.
        self.start_expires_s = float("inf")
        self.percent = 0
        self.progress_s = sent_s
        # When the run was first listed, and its progress in percent then.
        self.first_progress: tuple[float, int] | None = None
        self.measurement = 0
        self.paced_percent = 100
        # Until then the worker starts nothing else, as the run may crash it.
        self.apart_until_s = 0.0
        # The worker's clock when it first listed this run of an earlier leader, or
        # None once no stop by that leader can be under way.
        self.inherited_clock_ms: int | None = None

    def mark_unanswered(self, now_s: float, is_answered: bool = False) -> None:
        """Record that it isn't known whether the start order was carried out.

        It may yet be, unless the call ``is_answered`` by what can't be read.
        """
        self.mark_refused(now_s)
        if is_answered:
            return
        until_s = self.worker.note_unanswered_start(self, now_s)
        self.unanswered_count += 1
        if not self.subtask.step.spec.copies_allowed:
            self.subtask.late_starts[self.worker.facts.worker_id] = until_s

    def mark_refused(self, now_s: float) -> None:
        """Record that a repeated start was refused; the first may yet take place."""
        self.is_start_pending = False
        if self.phase is not RunPhase.RUNNING:
            self.unanswered_s = now_s

    def mark_lost(self, now_s: float) -> None:
        """Record that the worker has restarted, and may yet get the order again."""
        self.phase = RunPhase.SENT
        self.is_proved = False
        self.answered_s, self.unanswered_s = None, now_s
        self.start_expires_s = float("inf")
        self.percent, self.first_progress = 0, None

    def mark_listed(self, now_s: float) -> None:
        """Record that the worker lists the run, or its end, so that it has started."""
        if self.unanswered_s is not None and self.unanswered_count == 1:
            # It was the only order that has left.
            self.subtask.late_starts.pop(self.worker.facts.worker_id, None)
        self.unanswered_s = None
        self.answered_s = self.answered_s or now_s

    @property
    def is_of_former_life(self) -> bool:
        """Return whether the worker has restarted since the start order left."""
        return self.start_expires_s == float("inf")

    @property
    def is_start_unknown(self) -> bool:
        """Return whether a start without an answer is neither repeated nor stopped."""
        return self.phase is RunPhase.SENT and self.unanswered_s is not None

    @property
    def is_available(self) -> bool:
        """Return whether the run of a long-running subtask is known to be serving."""
        if self.worker.is_suspect or self.inherited_clock_ms is not None:
            return False
        return self.phase is RunPhase.RUNNING and self.percent >= 100


class Subtask:
    """A subtask with its live runs and its failures."""

    __slots__ = (
        "avoided_worker",
        "checkpoint",
        "crashed_runs",
        "expired_runs",
        "failed_runs",
        "index",
        "last_run",
        "late_starts",
        "live_runs",
        "phase",
        "unproven_run",
        "unseen_on",
        "previous_end",
        "ready_s",
        "start_noted_s",
        "step",
        "unstored_crashes",
    )

    def __init__(self, step: StepState, index: int) -> None:
        self.step = step
        self.index = index
        # The newest run that counts as over though another leader may have been
        # elected, which may know better; 0 if there is none.
        self.unproven_run = 0
        # Workers that may have taken a start of which only an earlier leader knew.
        self.unseen_on: tuple[WorkerState, ...] = ()
        # How the newest run that is over ended, for the log of the next start.
        self.previous_end = ""
        self.phase = SubtaskPhase.WAITING
        self.failed_runs: set[int] = set()
        self.expired_runs: set[int] = set()
        # Runs whose worker crashed soon after their start, and that worker.
        self.crashed_runs: dict[int, str] = {}
        # Those of them that a successor would not know of.
        self.unstored_crashes: set[int] = set()
        # When it was noted that the suspect is about to start: a successor presumes
        # that it has been started. None while no run of it is or may be under way.
        self.start_noted_s: float | None = None
        self.checkpoint = ""
        self.last_run = 0
        # Until when a worker may carry out an unanswered start, by worker id.
        self.late_starts: dict[str, float] = {}
        self.ready_s = 0.0
        self.avoided_worker = ""
        self.live_runs: list[Run] = []

    @property
    def attempt_count(self) -> int:
        """Return the number of runs that failed or may have failed unreported."""
        return len(self.failed_runs | self.expired_runs)

    @property
    def may_run_unseen(self) -> bool:
        """Return whether a worker that has not answered may run the subtask."""
        return any(worker.may_hold_former_lease for worker in self.unseen_on)

    def confirm_ends_up_to(self, run_number: int) -> None:
        """Count runs up to this one as over or known: a worker has told of it."""
        if run_number >= self.unproven_run:
            self.unproven_run = 0

    @property
    def name(self) -> SubtaskName:
        """Return the subtask's name."""
        step = self.step
        return SubtaskName(step.job.job_id, step.occurrence, step.position, self.index)


class StepState:
    """One step in one occurrence of a job."""

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
        # Tickets by worker id. If the step's queue needs advice, only these
        # workers may run the step.
        self.tickets: dict[str, str] = {}
        self.tickets_expire_s = 0.0

    @property
    def is_done(self) -> bool:
        """Return whether every subtask is done."""
        return self.done_count == self.spec.count

    def mark_done(self) -> None:
        """Mark every subtask done, for an occurrence or a job that has ended."""
        for subtask in self.subtasks:
            subtask.phase = SubtaskPhase.DONE
        self.done_count = self.spec.count


class JobState:
    """An accepted job and its open occurrences."""

    __slots__ = (
        "accepted_s",
        "definition",
        "done_occurrences",
        "ended_s",
        "held_until_s",
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
        # Nothing of the job starts before, as placing it has failed unexpectedly.
        self.held_until_s = 0.0
        self.occurrences: dict[int, list[StepState]] = {}
        self.done_occurrences: set[int] = set()
        self.ended_s = 0.0
        self.weight = 0.0

    @property
    def is_final(self) -> bool:
        """Return whether the job has ended."""
        return self.phase in FINAL_PHASES

    @property
    def has_runs(self) -> bool:
        """Return whether a worker may still be running a subtask of the job."""
        return any(
            subtask.live_runs
            for steps in self.occurrences.values()
            for step in steps
            for subtask in step.subtasks
        )

    def subtask(self, name: SubtaskName) -> Subtask | None:
        """Return the subtask of that name, or None if there is none."""
        steps = self.occurrences.get(name.occurrence)
        if steps is None or not 0 <= name.step < len(steps):
            return None
        subtasks = steps[name.step].subtasks
        return subtasks[name.index] if 0 <= name.index < len(subtasks) else None
