"""Sends copies of one request, together or later, with one fault."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from uuid import UUID

from cicadatrail_core.fold.apply import Envelope
from cicadatrail_core.models.records import ClaimRecord, TransferRecord
from cicadatrail_core.models.rights import PARTITION_COUNT, PartitionRight
from features.support.edge_caller import EdgeCaller, ask, request_bytes
from features.support.edge_truth import BODY, Plan, Result, truth_edge, truth_request
from features.support.edge_world import OTHER_TEAM, EdgeInstance, EdgeWorld

ALL_PARTITIONS = tuple(PartitionRight(p) for p in range(PARTITION_COUNT))


@dataclass(slots=True)
class _Copies:
    """Send copies of one request."""

    world: EdgeWorld
    result: Result
    request_id: str

    async def send(self, number: int, target: str = "/work?run_ms=500") -> None:
        """Send a copy to an instance and keep the answer."""
        data = truth_request(self.world, "once", self.request_id, target)
        answer = await ask(self.world.instances[number].caller, data)
        self.result.answers.append((self.request_id, answer))

    async def send_of(self, team_id: str) -> None:
        headers = self.world.headers(Cicadatrail_Request_Id=self.request_id)
        headers["Cicadatrail-Key"] = self.world.keys[team_id]
        data = request_bytes(headers, BODY)
        answer = await ask(self.world.instances[1].caller, data)
        self.result.answers.append((self.request_id, answer))

    async def leave(self) -> None:
        """Send a copy and go away while it waits."""
        caller = await EdgeCaller.connect(self.world.instances[0].caller)
        await caller.send(truth_request(self.world, "once", self.request_id, "/work"))
        await asyncio.sleep(0.5)
        caller.close()
        await asyncio.sleep(0.5)

    def move_partitions(self, *, transferred: bool) -> None:
        """Move every partition from the first instance to the second."""
        giver, taker = (each.name for each in self.world.instances)
        self.world.give_partitions(taker)
        record = TransferRecord(giver, taker, ALL_PARTITIONS, 1)
        claim = ClaimRecord(taker, ALL_PARTITIONS)
        envelope = Envelope(giver, 2, record if transferred else claim)
        for number, instance in enumerate(self.world.instances):
            instance.take_state(frozenset({f"w{number}"}), 50)
            instance.parts["partitions"].note_record(envelope)


async def send_copies(plan: Plan, copies: str) -> Result:
    result = Result()
    async with truth_edge(plan, result) as world:
        sender = _Copies(world, result, str(world.identifiers.new()))
        await _COPIES[copies](sender)
    return result


async def _together(copies: _Copies) -> None:
    await asyncio.gather(copies.send(0), copies.send(1))


async def _later(copies: _Copies, number: int = 0) -> None:
    await copies.send(0)
    await asyncio.sleep(1.0)
    await copies.send(number)


async def _later_elsewhere(copies: _Copies) -> None:
    await _later(copies, 1)


async def _after_long_reply(copies: _Copies) -> None:
    await copies.send(0, "/work?bytes=100000")
    await copies.send(0)


async def _after_death(copies: _Copies) -> None:
    for worker in copies.world.workers.values():
        worker.faults = replace(worker.faults, drop_before_head=True)
    await _later(copies)


def _take_workers(world: EdgeWorld, instances: list[EdgeInstance]) -> None:
    for instance in instances:
        instance.take_state(frozenset(), 50)


async def _after_refusal(copies: _Copies) -> None:
    world = copies.world
    _take_workers(world, world.instances)
    await copies.send(0)
    world.instances[0].take_state(frozenset({"w0"}), 50)
    await copies.send(1)


async def _after_leaving(copies: _Copies) -> None:
    world = copies.world
    _take_workers(world, world.instances)
    await copies.leave()
    world.instances[0].take_state(frozenset({"w0"}), 50)
    await copies.send(1)


async def _two_teams(copies: _Copies) -> None:
    copies.result.run_limit_count = copies.result.runs_wanted_count = 2
    await asyncio.gather(copies.send(0), copies.send_of(OTHER_TEAM))


async def _query_lost(copies: _Copies) -> None:
    copies.world.control_fault = "query answer lost"
    await copies.send(1)


async def _holder_unsupported(copies: _Copies) -> None:
    copies.world.instances[0].may_spend = False
    await copies.send(1)


async def _holder_away(copies: _Copies) -> None:
    copies.world.instances[1].parts["directory"].set_members({})
    await copies.send(1)


async def _outcome_lost(copies: _Copies) -> None:
    copies.world.control_fault = "outcome lost"
    await copies.send(1)
    await copies.send(1)


async def _handed_over(copies: _Copies) -> None:
    await copies.send(0)
    copies.move_partitions(transferred=True)
    await asyncio.sleep(1.0)
    await copies.send(0)


async def _handover_lost(copies: _Copies) -> None:
    copies.world.control_fault = "handover lost"
    await copies.send(0)
    copies.move_partitions(transferred=True)
    await asyncio.sleep(3.0)
    await copies.send(0)


async def _holder_lost(copies: _Copies) -> None:
    await copies.send(0)
    copies.move_partitions(transferred=False)
    await asyncio.sleep(1.0)
    await copies.send(0)


async def _ahead(copies: _Copies) -> None:
    hour_ms = 3_600_000 << 80
    copies.request_id = str(UUID(int=UUID(copies.request_id).int + hour_ms))
    await copies.send(0)


_COPIES = {
    "together at both instances": _together,
    "later at the same instance": _later,
    "later at the other instance": _later_elsewhere,
    "later after a long reply": _after_long_reply,
    "later after its worker died": _after_death,
    "later after it was refused": _after_refusal,
    "later after its caller left the queue": _after_leaving,
    "of two teams together": _two_teams,
    "at the other instance after the query's answer was lost": _query_lost,
    "at the other instance while the holder may not spend": _holder_unsupported,
    "at the other instance while the holder is away": _holder_away,
    "later after its outcome was lost": _outcome_lost,
    "later after the partition was handed over": _handed_over,
    "later after the handover was lost": _handover_lost,
    "later after the holder was lost": _holder_lost,
    "from a clock that is far ahead": _ahead,
}
