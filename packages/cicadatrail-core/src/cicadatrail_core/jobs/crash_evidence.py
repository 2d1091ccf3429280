"""What tells that a run may have crashed the worker that it was lost with."""

from __future__ import annotations

from cicadatrail_core.jobs.state import Run
from cicadatrail_core.jobs.worker_state import WorkerState

CRASH_WINDOW_S = 2.0
"""Time after its start within which a run may be the cause of its worker's crash."""

PROMPT_S = 0.25
"""Time after its start within which a crash is unlikely to have another cause.

The crashes that have been recorded came within 10 ms of the answer to the start.
"""

ORDER_S = 1.0
"""Time after a worker's first failed call in which a machine order may be the cause."""


def is_recent(run: Run) -> bool:
    """Return whether a run is not known to have outlived the crash window.

    A run without an answer counts, because the crash may have prevented the answer.
    One whose start is still pending does not.
    """
    began_s = run.unanswered_s if run.answered_s is None else run.answered_s
    if began_s is None:
        return False
    seen_s = max(run.worker.answered_s or 0.0, began_s)
    return seen_s - began_s <= CRASH_WINDOW_S


def is_prompt(run: Run, now_s: float) -> bool:
    """Return whether a run's worker was noticed to fail soon after the run's start."""
    began_s = run.sent_s if run.answered_s is None else run.answered_s
    failed_s = run.worker.failed_s
    return (now_s if failed_s is None else failed_s) - began_s <= PROMPT_S


def has_crash_followed(run: Run) -> bool:
    """Return whether a run's worker broke its connections soon after it had begun.

    Silence is no sign of a crash that the run has caused, and neither is a break
    after which the worker has answered.
    """
    worker = run.worker
    if run.answered_s is None or worker.failed_s is None or worker.broken_s is None:
        return False
    return run.sent_s <= worker.broken_s <= run.answered_s + PROMPT_S


def is_loss_planned(worker: WorkerState, now_s: float) -> bool:
    """Return whether a worker is lost by a drain or by an order for its machine.

    An order that came long after the worker's first failed call is not the cause.
    """
    if worker.facts.draining or worker.draining_until_s is not None:
        return True
    failed_s = now_s if worker.failed_s is None else worker.failed_s
    return worker.is_cordoned and now_s - failed_s < ORDER_S
