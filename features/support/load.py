"""Generate callers' requests at given rates and check every response."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from returns.result import Success

from cicadatraild.network.http_client import Address, ClientFault, ConnectionPool
from cicadatraild.utils.identifiers import new_uuid7

PEAK_FACTOR = 5.0
TROUGH_FACTOR = 0.05


@dataclass(frozen=True, slots=True)
class TeamLoad:
    """The request profile of a team, with a peak of ``peak_s`` every ``cycle_s``."""

    team_id: str
    key: str
    service_id: str
    queue_id: str
    mean_per_s: float
    run_ms: int
    cpu_millicores: int = 500
    urgency: str = "normal"
    repeatable: bool = False
    cycle_s: float = 5.0
    peak_s: float = 1.0

    def rate_per_s(self, at_s: float) -> float:
        in_peak = at_s % self.cycle_s < self.peak_s
        return self.mean_per_s * (PEAK_FACTOR if in_peak else TROUGH_FACTOR)


@dataclass(slots=True)
class LoadResult:
    """Responses counted by team and outcome, and the faults found in them."""

    outcomes: Counter[tuple[str, str]] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    ids: dict[str, str] = field(default_factory=dict)
    repeatable_ids: set[str] = field(default_factory=set)
    latencies_s: list[float] = field(default_factory=list)


class Load:
    """Send the requests of several teams concurrently to the entry instances."""

    def __init__(self, addresses: list[Address], seed: int) -> None:
        self.addresses = addresses
        self.result = LoadResult()
        self._random = random.Random(seed)
        self._pool = ConnectionPool(1.0)
        self._tasks: set[asyncio.Task[str]] = set()

    async def run(self, teams: list[TeamLoad], duration_s: float) -> LoadResult:
        await asyncio.gather(*(self._drive(team, duration_s) for team in teams))
        while self._tasks:
            await asyncio.wait(tuple(self._tasks))
        return self.result

    async def _drive(self, team: TeamLoad, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        while (at_s := loop.time() - begin_s) < duration_s:
            gap_s = self._random.expovariate(team.rate_per_s(at_s))
            await asyncio.sleep(min(gap_s, team.cycle_s - at_s % team.cycle_s))
            if gap_s > team.cycle_s:
                continue
            task = loop.create_task(self.send(team))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def send(self, team: TeamLoad, request_id: str = "") -> str:
        """Send one request and return its outcome."""
        request_id = request_id or str(new_uuid7())
        if team.repeatable:
            self.result.repeatable_ids.add(request_id)
        address = self._random.choice(self.addresses)
        headers = (
            (b"Cicadatrail-Key", team.key.encode()),
            (b"Cicadatrail-Service", team.service_id.encode()),
            (b"Cicadatrail-Queue", team.queue_id.encode()),
            (
                b"Cicadatrail-Size",
                f"cpu_millicores={team.cpu_millicores},memory_mib=64".encode(),
            ),
            (b"Cicadatrail-Urgency", team.urgency.encode()),
            (b"Cicadatrail-Deadline-Ms", b"15000"),
            (b"Cicadatrail-Repeatable", b"yes" if team.repeatable else b"no"),
            (b"Cicadatrail-Request-Id", request_id.encode()),
        )
        target = f"/work?run_ms={team.run_ms}&cpu={team.cpu_millicores}"
        began_s = asyncio.get_running_loop().time()
        answer = await self._pool.fetch(
            address, "POST", target, headers=headers, body=b"order", timeout_s=20.0
        )
        outcome = "connection-lost"
        if isinstance(answer, Success):
            response = answer.unwrap()
            outcome = response.header(b"cicadatrail-outcome") or "none"
            self.result.reasons[response.header(b"cicadatrail-reason") or "-"] += 1
            expected = f"{request_id}\norder".encode()
            # A failing worker sends the same body whatever the request.
            if response.status == 500:
                expected = b"failed"
            if outcome == "complete" and response.body != expected:
                self.result.faults.append(
                    f"{request_id} got the response to another request"
                )
            took_s = asyncio.get_running_loop().time() - began_s
            self.result.latencies_s.append(took_s)
        elif answer.failure().fault is ClientFault.NOT_SENT:
            outcome = "no-connection"
        self.result.outcomes[(team.team_id, outcome)] += 1
        self.result.ids[request_id] = outcome
        return outcome
