"""Mutable state of workers.

Names ending in ``_s`` hold times on the event loop's clock, in seconds.
"""

from __future__ import annotations

from cicadatrail_core.jobs.models import SubtaskName, WorkerFacts
from cicadatrail_core.jobs.state import Run
from cicadatrail_core.models.resources import NO_RESOURCES, Resources

REPLACED = "replaced"
ADDRESS_TAKEN = "its address belongs to another worker"
REPLACED_REASONS = (REPLACED, ADDRESS_TAKEN)
"""Reasons for which a worker is removed once another one has answered in its place."""

HELD_LIMIT_COUNT = 400
"""Most ends that are left unacknowledged; a list has 500 at most."""

LATE_START_S = 15.0
"""Time for which a start without an answer may still be carried out."""


class WorkerState:
    """A worker's last known state and the runs that it may have."""

    __slots__ = (
        "answered_s",
        "below_target_since_s",
        "born_unix_ms",
        "broken_s",
        "clock_asked_s",
        "clock_at_s",
        "clock_ms",
        "confirmed_end",
        "draining_until_s",
        "ejected_until_s",
        "end_outcomes",
        "facts",
        "failed_s",
        "held_ends",
        "may_hold_former_lease",
        "may_hold_granted_lease",
        "is_cordoned",
        "is_listed",
        "is_reconciled",
        "is_suspect",
        "later_life_until_s",
        "lease_expires_s",
        "processed_end",
        "runs",
        "stored_end",
        "unknown_run_count",
        "unanswered_starts",
        "unreported_runs",
        "used",
    )

    def __init__(self, facts: WorkerFacts) -> None:
        self.facts = facts
        self.born_unix_ms = facts.born_unix_ms
        self.runs: dict[tuple[SubtaskName, int], Run] = {}
        # Runs whose lease expired before the worker reported how they ended.
        self.unreported_runs: list[Run] = []
        # Starts without an answer, by subtask and run number, and when they ended. The
        # worker may yet carry them out.
        self.unanswered_starts: dict[tuple[SubtaskName, int], float] = {}
        self.used: Resources = NO_RESOURCES
        # Runs of the last report that are of no known job, so that ``used`` lacks them.
        self.unknown_run_count = 0
        self.answered_s: float | None = None
        self.clock_ms = 0
        # When the answer with that clock was asked for, and when it came.
        self.clock_asked_s = 0.0
        self.clock_at_s: float | None = None
        self.lease_expires_s = 0.0
        # When every lease is over that a life whose lists are unread may have by calls
        # that were meant for the known one.
        self.later_life_until_s = 0.0
        # True while its lists are unread and another leader may have given it a lease.
        self.may_hold_former_lease = False
        # The same for a lease that was given to the life which that leader knew.
        self.may_hold_granted_lease = False
        # True once the worker's complete lists have been applied.
        self.is_reconciled = False
        # A call has failed since the last report: the worker may have restarted.
        self.is_suspect = False
        self.failed_s: float | None = None
        # The first of the calls that failed since then because the connection broke or
        # was refused, not by silence.
        self.broken_s: float | None = None
        self.is_listed = True
        self.is_cordoned = False
        self.ejected_until_s = 0.0
        self.end_outcomes: list[bool] = []
        self.processed_end = 0
        self.stored_end = 0
        # Ends as done that aren't acknowledged yet, and until when: after that end the
        # next life may still carry out an unanswered start of the same subtask.
        self.held_ends: dict[int, float] = {}
        # The last end of this life that an answered call has acknowledged.
        self.confirmed_end = 0
        self.draining_until_s: float | None = None
        self.below_target_since_s: float | None = None

    @property
    def free_capacity(self) -> Resources:
        """Return the capacity that no run takes."""
        return self.facts.capacity - self.used

    def has_room(self, need: Resources) -> bool:
        """Return whether a need fits in the free capacity.

        Called for each waiting step and worker, so that it makes no object.
        """
        used = self.used
        capacity = self.facts.capacity
        return (
            need.cpu_millicores + used.cpu_millicores <= capacity.cpu_millicores
            and need.memory_mib + used.memory_mib <= capacity.memory_mib
            and need.accelerator_count + used.accelerator_count
            <= capacity.accelerator_count
        )

    @property
    def is_over_capacity(self) -> bool:
        """Return whether the runs take more than the capacity, which may shrink."""
        return not self.used.fits_in(self.facts.capacity)

    @property
    def is_known(self) -> bool:
        """Return whether lists and entry of the present incarnation have been read.

        The entry of an earlier incarnation may give another capacity. An entry
        without a time of birth counts for any.
        """
        entry_born_unix_ms = self.facts.born_unix_ms or self.born_unix_ms
        return self.is_reconciled and entry_born_unix_ms >= self.born_unix_ms

    @property
    def is_listed_in_later_life(self) -> bool:
        """Return whether its entry is of a later life than the one that is known."""
        return self.facts.born_unix_ms > self.born_unix_ms > 0

    def clear_unreported_runs(self) -> None:
        """Drop the runs whose lease expired unreported.

        Called once their ends have been reported or can't be any more.
        """
        for run in self.unreported_runs:
            run.subtask.expired_runs.discard(run.number)
        self.unreported_runs.clear()

    def leave(self, reason: str) -> None:
        """Drop the unreported runs, and starts that can't be carried out any more."""
        self.clear_unreported_runs()
        if reason in REPLACED_REASONS:
            for run in self.runs.values():
                run.subtask.late_starts.pop(self.facts.worker_id, None)

    def mark_failed(self, now_s: float, is_broken: bool = False) -> None:
        """Record that a call got no answer, so the worker may have restarted.

        ``is_broken`` tells that the connection broke or was refused.
        """
        self.is_suspect = True
        if self.failed_s is None:
            self.failed_s = now_s
            self.broken_s = None
        if is_broken and self.broken_s is None:
            self.broken_s = now_s

    @property
    def may_be_stopping_inherited_runs(self) -> bool:
        """Return whether an earlier leader's stop may be under way here."""
        return any(run.inherited_clock_ms is not None for run in self.runs.values())

    def note_unanswered_start(self, run: Run, now_s: float) -> float:
        """Remember a start that may be carried out late; return until when it may be.

        Forgets those of long ago.
        """
        recent = self.recent_unanswered_starts(now_s)
        self.unanswered_starts = {**recent, (run.subtask.name, run.number): now_s}
        return now_s + LATE_START_S

    def recent_unanswered_starts(
        self, now_s: float
    ) -> dict[tuple[SubtaskName, int], float]:
        """Return the starts without an answer that may still be carried out."""
        return {
            key: ended_s
            for key, ended_s in self.unanswered_starts.items()
            if now_s - ended_s < LATE_START_S
        }

    @property
    def has_unproved_run(self) -> bool:
        """Return whether a later life may have taken the start of a run."""
        return any(not run.is_proved for run in self.runs.values())

    @property
    def has_start_under_way(self) -> bool:
        """Return whether a start has not been sent or not been answered yet."""
        return any(run.is_start_pending for run in self.runs.values())

    @property
    def acknowledged_end(self) -> int:
        """Return the number of the last end that the worker may delete.

        Returns 0 if the worker may have restarted: its end numbers then start
        anew, and the number from its previous incarnation would make it delete
        ends that were never reported.
        """
        if self.is_suspect:
            return 0
        first_held = min(self.held_ends, default=self.stored_end + 1)
        return min(self.stored_end, first_held - 1)

    def hold_end(self, number: int, until_s: float) -> None:
        """Keep an end listed by not acknowledging it until then."""
        self.held_ends[number] = until_s

    def drop_held_ends(self, now_s: float) -> None:
        """Acknowledge ends again for which the time is over, or that are too many.

        A list has a limited number of ends, so that later ones would not be seen.
        """
        self.held_ends = {
            number: until_s
            for number, until_s in self.held_ends.items()
            if now_s <= until_s and self.processed_end - number < HELD_LIMIT_COUNT
        }

    def add(self, run: Run) -> None:
        """Add a run and take its resources from the capacity."""
        self.runs[run.subtask.name, run.number] = run
        self.used = self.used + run.subtask.step.spec.reserved

    def remove(self, run: Run) -> None:
        """Remove a run and return its resources, if the worker has it."""
        if self.runs.pop((run.subtask.name, run.number), None) is not None:
            self.used = self.used - run.subtask.step.spec.reserved
