"""Send copies of one request, concurrently or in turn, with one fault."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from uuid import UUID

from cicadatrail_core.fold.apply import Envelope
from cicadatrail_core.models.records import ClaimRecord, TransferRecord
from cicadatrail_core.models.rights import PARTITION_COUNT, PartitionRight
from features.support.edge_caller import EdgeCaller, ask, request_bytes
from features.support.edge_outcomes import (
    BODY,
    FaultPlan,
    RequestResult,
    build_request,
    faulty_edge,
)
from features.support.edge_world import OTHER_TEAM, EdgeInstance, EdgeWorld

ALL_PARTITIONS = tuple(PartitionRight(p) for p in range(PARTITION_COUNT))


@dataclass(slots=True)
class _CopySender:
    """Sends copies of one request and records the answers."""

    world: EdgeWorld
    result: RequestResult
    request_id: str

    async def send(self, number: int, target: str = "/work?run_ms=500") -> None:
        """Send a copy to the instance of that number and record the answer."""
        data = build_request(self.world, "once", self.request_id, target)
        answer = await ask(self.world.instances[number].caller, data)
        self.result.answers.append((self.request_id, answer))

    async def send_for_team(self, team_id: str) -> None:
        headers = self.world.headers(Cicadatrail_Request_Id=self.request_id)
        headers["Cicadatrail-Key"] = self.world.keys[team_id]
        data = request_bytes(headers, BODY)
        answer = await ask(self.world.instances[1].caller, data)
        self.result.answers.append((self.request_id, answer))

    async def disconnect_while_queued(self) -> None:
        """Send a copy and close the connection while it is queued."""
        caller = await EdgeCaller.connect(self.world.instances[0].caller)
        await caller.send(build_request(self.world, "once", self.request_id, "/work"))
        await asyncio.sleep(0.5)
        caller.close()
        await asyncio.sleep(0.5)

    def move_partitions(self, *, transferred: bool) -> None:
        """Move every partition from the first instance to the second."""
        giver, taker = (each.name for each in self.world.instances)
        self.world.assign_partitions(taker)
        record = TransferRecord(giver, taker, ALL_PARTITIONS, 1)
        claim = ClaimRecord(taker, ALL_PARTITIONS)
        envelope = Envelope(giver, 2, record if transferred else claim)
        for number, instance in enumerate(self.world.instances):
            instance.take_state(frozenset({f"w{number}"}), 50)
            instance.parts["partitions"].note_record(envelope)


async def send_copies(plan: FaultPlan, copies: str) -> RequestResult:
    result = RequestResult()
    async with faulty_edge(plan, result) as world:
        sender = _CopySender(world, result, str(world.identifiers.new()))
        await _COPIES[copies](sender)
    return result


async def _together(copies: _CopySender) -> None:
    await asyncio.gather(copies.send(0), copies.send(1))


async def _later(copies: _CopySender, number: int = 0) -> None:
    await copies.send(0)
    await asyncio.sleep(1.0)
    await copies.send(number)


async def _later_elsewhere(copies: _CopySender) -> None:
    await _later(copies, 1)


async def _after_long_reply(copies: _CopySender) -> None:
    await copies.send(0, "/work?bytes=100000")
    await copies.send(0)


async def _after_worker_death(copies: _CopySender) -> None:
    for worker in copies.world.workers.values():
        worker.faults = replace(worker.faults, drop_before_head=True)
    await _later(copies)


def _withdraw_workers(world: EdgeWorld, instances: list[EdgeInstance]) -> None:
    for instance in instances:
        instance.take_state(frozenset(), 50)


async def _after_refusal(copies: _CopySender) -> None:
    world = copies.world
    _withdraw_workers(world, world.instances)
    await copies.send(0)
    world.instances[0].take_state(frozenset({"w0"}), 50)
    await copies.send(1)


async def _after_caller_disconnected(copies: _CopySender) -> None:
    world = copies.world
    _withdraw_workers(world, world.instances)
    await copies.disconnect_while_queued()
    world.instances[0].take_state(frozenset({"w0"}), 50)
    await copies.send(1)


async def _two_teams(copies: _CopySender) -> None:
    copies.result.run_limit_count = copies.result.expected_run_count = 2
    await asyncio.gather(copies.send(0), copies.send_for_team(OTHER_TEAM))


async def _after_lost_query_answer(copies: _CopySender) -> None:
    copies.world.control_fault = "query answer lost"
    await copies.send(1)


async def _owner_without_lease(copies: _CopySender) -> None:
    copies.world.instances[0].may_spend = False
    await copies.send(1)


async def _owner_unreachable(copies: _CopySender) -> None:
    copies.world.instances[1].parts["directory"].set_members({})
    await copies.send(1)


async def _after_lost_outcome(copies: _CopySender) -> None:
    copies.world.control_fault = "outcome lost"
    await copies.send(1)
    await copies.send(1)


async def _after_handover(copies: _CopySender) -> None:
    await copies.send(0)
    copies.move_partitions(transferred=True)
    await asyncio.sleep(1.0)
    await copies.send(0)


async def _after_lost_handover(copies: _CopySender) -> None:
    copies.world.control_fault = "handover lost"
    await copies.send(0)
    copies.move_partitions(transferred=True)
    await asyncio.sleep(3.0)
    await copies.send(0)


async def _owner_dead(copies: _CopySender) -> None:
    await copies.send(0)
    copies.move_partitions(transferred=False)
    await asyncio.sleep(1.0)
    await copies.send(0)


async def _clock_ahead(copies: _CopySender) -> None:
    hour_ms = 3_600_000 << 80
    copies.request_id = str(UUID(int=UUID(copies.request_id).int + hour_ms))
    await copies.send(0)


_COPIES = {
    "together at both instances": _together,
    "later at the same instance": _later,
    "later at the other instance": _later_elsewhere,
    "later after a long reply": _after_long_reply,
    "later after its worker died": _after_worker_death,
    "later after it was refused": _after_refusal,
    "later after its caller left the queue": _after_caller_disconnected,
    "of two teams together": _two_teams,
    "at the other instance after the query's answer was lost": _after_lost_query_answer,
    "at the other instance while the holder may not spend": _owner_without_lease,
    "at the other instance while the holder is away": _owner_unreachable,
    "later after its outcome was lost": _after_lost_outcome,
    "later after the partition was handed over": _after_handover,
    "later after the handover was lost": _after_lost_handover,
    "later after the holder was lost": _owner_dead,
    "from a clock that is far ahead": _clock_ahead,
}
