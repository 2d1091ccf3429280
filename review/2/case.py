"""A worker crashes once, its subtask waits, and the instances restart in turn."""

from __future__ import annotations

import asyncio
import signal
import sys
from contextlib import AsyncExitStack
from pathlib import Path

from review.deployment import Deployment, route, run_case, step

JOB = "00000000000000a2"
LASTING_JOB = "00000000000000b2"
INSTANCE_COUNT = 3
GAP_S = 2.0


async def scenario(
    deployment: Deployment, stack: AsyncExitStack, has_trouble: bool
) -> list[str]:
    """Run the case; return what breaks the rule."""
    deployment.add_workers("quote-desk", 7)
    await deployment.open(stack, INSTANCE_COUNT)
    deployment.configure([route("quick", "quote-desk")], ["quote-desk"], "the first")
    deployment.start(stack)
    await deployment.wait_until_ready()
    ledger = deployment.ledger
    job = {"spec": '{"ms": [3000]}', "steps": [step(1, 20_000)]}
    await deployment.submit(f"/quick/{JOB}", job)
    await deployment.wait_for("the start", lambda: len(ledger.of(JOB)) == 1)
    if has_trouble:
        await asyncio.sleep(0.3)
        name = ledger.of(JOB)[0].worker
        worker = next(w for w in deployment.workers if w.worker_id == name)
        worker.crash(3.0)
    lasting = {
        "spec": '{"ms": [0], "lasts": [0]}',
        "steps": [step(7, 20_000, **{"long-running": True, "anti-affinity": 1})],
    }
    await deployment.submit(f"/quick/{LASTING_JOB}", lasting)
    await asyncio.sleep(4.0)
    if has_trouble:
        await restart_in_turn(deployment)
    await asyncio.sleep(12.0)
    _, answer = await deployment.call("GET", f"/quick/{JOB}")
    runs = ledger.of(JOB)
    failed = [run for run in runs if run.how == "failed"]
    lost = [run for run in runs if run.how == "lost"]
    if answer == {"state": "failed"} and not failed and len(lost) < 2:
        return [
            f"the job {JOB} is shown as failed; of its {len(runs)} runs none has ended "
            f"as failed, and {len(lost)} worker has crashed under it"
        ]
    return []


async def restart_in_turn(deployment: Deployment) -> None:
    """Stop every instance once, one each gap, the leader first if it is still due."""
    due = list(deployment.daemons)
    while due:
        leader = await deployment.leader()
        chosen = leader if leader in due else due[0]
        due.remove(chosen)
        deployment.signal(chosen, signal.SIGTERM)
        await asyncio.sleep(GAP_S)


if __name__ == "__main__":
    sys.exit(run_case(scenario, Path(__file__).parent))
