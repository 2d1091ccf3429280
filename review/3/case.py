"""The store turns the leader away while the occurrences of a job end."""

from __future__ import annotations

import asyncio
import sys
import time
from contextlib import AsyncExitStack
from pathlib import Path

from review.deployment import Deployment, route, run_case, step

JOB = "00000000000000a3"
OCCURRENCE_COUNT = 300
INTERVAL_MS = 10
SUBTASK_MS = 300
AWAY_S = 7.0


async def scenario(
    deployment: Deployment, stack: AsyncExitStack, has_trouble: bool
) -> list[str]:
    """Run the case; return what breaks the rule."""
    deployment.add_workers("quote-desk", 6)
    await deployment.open(stack)
    deployment.configure([route("quick", "quote-desk")], ["quote-desk"], "the first")
    deployment.start(stack)
    await deployment.wait_until_ready()
    job = {
        "spec": f'{{"ms": [{SUBTASK_MS}]}}',
        "steps": [step(1)],
        "repeat-count": OCCURRENCE_COUNT,
        "first-run-ms": int(time.time() * 1000) + 500,
        "interval-ms": INTERVAL_MS,
    }
    await deployment.submit(f"/quick/{JOB}", job)
    ledger = deployment.ledger
    await deployment.wait_for("the starts", lambda: len(ledger.of(JOB)) >= 60)
    if has_trouble:
        leader = await deployment.leader()
        deployment.record(f"store: does not answer {leader.name}, but all others")
        leader.store_link.silent = True
        await asyncio.sleep(AWAY_S)
        leader.store_link.silent = False
        leader.store_link.reset()
        deployment.record(f"store: serves {leader.name} again")
    until_s = deployment.now() + 40.0
    while deployment.now() < until_s:
        _, answer = await deployment.call("GET", f"/quick/{JOB}")
        if answer == {"state": "completed"}:
            break
        await asyncio.sleep(0.5)
    return ledger.find_twice()


if __name__ == "__main__":
    sys.exit(run_case(scenario, Path(__file__).parent))
