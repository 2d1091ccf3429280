"""A route moves to another service while its job runs, and the leader is replaced."""

from __future__ import annotations

import asyncio
import signal
import sys
from contextlib import AsyncExitStack
from pathlib import Path

from review.deployment import Deployment, route, run_case, step

JOB = "00000000000000a4"
SUBTASK_S = 9.0
CUT_S = 5.5


async def scenario(
    deployment: Deployment, stack: AsyncExitStack, has_trouble: bool
) -> list[str]:
    """Run the case; return what breaks the rule."""
    old = deployment.add_workers("quote-desk", 6, labels=("a", "r1"))
    deployment.add_workers("booking-hub", 6, labels=("b", "r2"))
    services = ["quote-desk", "booking-hub"]
    await deployment.open(stack)
    deployment.configure([route("quick", "quote-desk")], services, "the first")
    deployment.start(stack)
    await deployment.wait_until_ready()
    job = {
        "spec": f'{{"ms": [{SUBTASK_S * 1000:.0f}]}}',
        "steps": [step(6, **{"anti-affinity": 1})],
    }
    await deployment.submit(f"/quick/{JOB}", job)
    ledger = deployment.ledger
    await deployment.wait_for("the starts", lambda: len(ledger.of(JOB)) == 6)
    if has_trouble:
        moved = [route("quick", "booking-hub")]
        deployment.configure(moved, services, "quick moves to booking-hub")
        await asyncio.sleep(2.0)
        leader = await deployment.leader()
        deployment.record(f"network: {old[0].worker_id} is cut off and runs on")
        old[0].is_cut = True
        deployment.signal(leader, signal.SIGKILL)
        await asyncio.sleep(CUT_S)
        old[0].is_cut = False
        deployment.record(f"network: {old[0].worker_id} is reached again")
    until_s = deployment.now() + 25.0
    while deployment.now() < until_s:
        _, answer = await deployment.call("GET", f"/quick/{JOB}")
        if answer == {"state": "completed"}:
            break
        await asyncio.sleep(0.5)
    return ledger.find_twice()


if __name__ == "__main__":
    sys.exit(run_case(scenario, Path(__file__).parent))
