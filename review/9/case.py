"""Cancelled jobs keep their state in memory and exhaust it, on each leader in turn."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from review.second.deployment import Deployment, has_fault, main, ordinary_job

FOLDER = Path(__file__).resolve().parent
ORDINARY = "00000000000000b0"
SUBTASK_COUNT = 30_000
TRAFFIC_S = 95.0
PAUSE_S = 0.1
SERVICE_LIMIT_S = 20.0


def large_job() -> dict[str, object]:
    """Return a job of one wide step."""
    step = {"count": SUBTASK_COUNT, "cpu": 1000, "mem-mb": 100, "est-duration-ms": 800}
    return {"spec": "ms=800 cpu=1000", "steps": [step]}


async def run(has_trouble: bool) -> int:
    """Run the case; return 1 if a rule was broken, 0 if not, 2 if it could not run."""
    async with Deployment(FOLDER / "record.txt") as deployment:
        if not await deployment.submit(ORDINARY, ordinary_job(), SERVICE_LIMIT_S):
            return 2
        until_s = time.monotonic() + TRAFFIC_S
        number = cancelled_count = 0
        while time.monotonic() < until_s and not has_fault(deployment):
            job_id = f"{0xC000 + number:016x}"
            number += 1
            body = large_job() if has_trouble else ordinary_job()
            status, _ = await deployment.call("POST", job_id, body)
            answer = 0
            # Without an answer the job may have been accepted.
            while status in (0, 200, 504) and answer not in (200, 410):
                answer, _ = await deployment.call("DELETE", job_id)
                await asyncio.sleep(PAUSE_S)
            cancelled_count += answer == 200
            await asyncio.sleep(PAUSE_S)
        deployment.log(f"client: {number} jobs handed in, {cancelled_count} cancelled")
        ends = {name: len(m.memory_ends) for name, m in deployment.machines.items()}
        deployment.log(f"judge: processes ended for their memory: {ends}")
        return 1 if has_fault(deployment) else 0


if __name__ == "__main__":
    main(run)
