"""One instance on the topic of the leader, which is kept in memory, on one clock."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from contextlib import ExitStack
from unittest.mock import patch

from cicadatraild.platform.store import (
    KeyedRecord,
    PositionError,
    Producer,
    RecordsDroppedError,
    StoreUnavailableError,
)
from cicadatraild.scheduling.leader_record import (
    HOLDER_KEY,
    LeaderRecord,
    encode_leader,
)
from cicadatraild.scheduling.leadership import SILENCE_LIMIT_S, Leadership

MODULES = ("leadership", "leader_right")


class LeaderTopic:
    """The leader's topic in memory; the answers of ``lost_count`` appends are lost."""

    def __init__(self) -> None:
        self.records: list[KeyedRecord] = []
        self.ends: dict[tuple[int, int], int] = {}
        self.lost_count = 0
        self.first_offset = 0
        self.claim_ends: list[int | None] = []

    async def append(
        self,
        topic: str,
        records: Sequence[KeyedRecord],
        *,
        producer: Producer | None = None,
        expected_end: int | None = None,
    ) -> int:
        if producer is None and any(record.key == HOLDER_KEY for record in records):
            self.claim_ends.append(expected_end)
        if expected_end is not None and expected_end != len(self.records):
            raise PositionError
        key = (producer.epoch, producer.sequence) if producer else None
        if key not in self.ends:
            self.records += records
            if key is not None:
                self.ends[key] = len(self.records)
        if self.lost_count:
            self.lost_count -= 1
            raise StoreUnavailableError("no answer", may_have_run=True)
        return self.ends[key] if key is not None else len(self.records)

    async def read_newest(self, topic: str) -> tuple[list[KeyedRecord], int]:
        newest = {record.key: record for record in self.records}
        return [*newest.values()], len(self.records)

    async def read(
        self, topic: str, offset: int, wait_ms: int
    ) -> tuple[list[KeyedRecord], int]:
        if offset < self.first_offset:
            raise RecordsDroppedError
        if offset == len(self.records):
            await asyncio.sleep(0.01)
        return self.records[offset:], len(self.records)


class LeaseWorld:
    """One instance on the topic; its tasks run only as ``act`` says."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.topic = LeaderTopic()
        self.reasons: list[str] = []

    def play(self, action: Callable[[], Awaitable[None]]) -> None:
        """Run an action with this world's clock."""
        with ExitStack() as stack:
            for module in MODULES:
                name = f"cicadatraild.scheduling.{module}.boot_now_s"
                stack.enter_context(patch(name, lambda: self.now_s))
            asyncio.run(self._play(action))

    async def _play(self, action: Callable[[], Awaitable[None]]) -> None:
        self.leadership = Leadership(
            self.topic,  # type: ignore[arg-type]
            "a",
            "h1",
            lambda epoch: None,
            self.reasons.append,
        )
        await self.leadership._follow()
        await self.leadership._register()
        await self.leadership._follow()
        await action()
        self.leadership.close()

    async def claim(self) -> None:
        await self.leadership._claim()
        await self.leadership._follow()

    async def renew(self) -> None:
        """Send one renewal, as the renewing task would, and read what is stored."""
        self.leadership.renewals.stop()
        await self.send_renewal()
        await self.leadership._follow()

    async def send_renewal(self) -> None:
        await self.leadership.renewals.append(self.record())

    def record(self) -> LeaderRecord:
        """Return the record that the instance renews while it leads."""
        epoch = self.leadership.held_epoch
        return LeaderRecord(epoch, "a", "h1", self.leadership._process_id)

    def fall_silent(self) -> None:
        """Have the instance claim, as it has read no record for long."""
        self.leadership._seen_s -= SILENCE_LIMIT_S

    def claim_of_another(self, epoch: int) -> None:
        self.topic.records.append(encode_leader(LeaderRecord(epoch, "b", "h2", "p2")))
