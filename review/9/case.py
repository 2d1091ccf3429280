"""A job never runs, as the service is never asked about the worker that may run it."""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.advice_2 import AdviceService, AdvisedWorker
from review.deployment_2 import (
    ADVISED_PREFIX,
    Deployment,
    is_lost,
    main,
    watch_finish,
)

FOLDER = Path(__file__).resolve().parent
FIRST = "00000000000000b0"
LOAD = "00000000000000b1"
ADVISED = "000000000000c000"
WORKER_COUNT = 36
SERVICE_LIMIT_S = 20.0


def one_subtask(ms: int, millicores: int) -> dict[str, object]:
    """Return a job of one subtask."""
    step = {"count": 1, "cpu": millicores, "mem-mb": 100, "est-duration-ms": ms}
    return {"spec": f"ms={ms} cpu={millicores}", "steps": [step]}


async def run(has_trouble: bool) -> int:
    """Run the case; return 1 if a rule was broken, 0 if not, 2 if it could not run."""
    service = AdvisedWorker.service = AdviceService()
    AdvisedWorker.advised_job = ADVISED
    async with Deployment(
        FOLDER / "record.txt",
        worker_count=WORKER_COUNT,
        worker_class=AdvisedWorker,
        advice=service,
    ) as deployment:
        if not await deployment.submit(FIRST, one_subtask(100, 1000), SERVICE_LIMIT_S):
            return 2
        # The worker that may run the step also runs one subtask of other work.
        load = one_subtask(100_000, 4000)
        if not await deployment.submit(LOAD, load, 5.0):
            return 2
        await asyncio.sleep(1.0)
        busy = [w.worker_id for w in deployment.workers if w.runs]
        free = [w.worker_id for w in deployment.workers if not w.runs]
        if len(busy) != 1:
            return 2
        service.allowed = busy[0] if has_trouble else free[0]
        deployment.log(f"{service.allowed} may run the job; {busy[0]} runs other work")
        deployment.prefixes[ADVISED] = ADVISED_PREFIX
        status, _ = await deployment.call("POST", ADVISED, one_subtask(500, 1000))
        deployment.log(f"client: POST {ADVISED} -> {status}")
        if status != 200:
            return 2
        finishes = await watch_finish(deployment, {ADVISED: 1}, 1000)
        named = sum(service.allowed in ids for ids in service.asked)
        deployment.log(
            f"advice: {len(service.asked)} calls, {named} of them named "
            f"{service.allowed}; at most {max(map(len, service.asked), default=0)} "
            f"workers of {WORKER_COUNT} a call"
        )
        lost = [job_id for job_id, finish in finishes.items() if is_lost(finish)]
        deployment.log(f"judge: LOST: {lost}")
        return 1 if lost else 0


if __name__ == "__main__":
    main(run)
