"""Fields that several log lines have in common."""

from __future__ import annotations

from cicadatrail_core.jobs.worker_state import WorkerState


def worker_fields(worker: WorkerState) -> dict[str, object]:
    """Return the log fields that identify a worker."""
    return {"worker_id": worker.facts.worker_id, "pool": worker.facts.pool}
