"""Choice of the one holder by conditional, fenced records in the store.

The holder renews its record. An instance that sees no new record for a while,
a record that gives the office up, or a holder whose process is gone, claims the
next epoch; the store lets one claim win. The epoch fences the holder's appends
and its orders to workers.
"""

from __future__ import annotations

import asyncio
import logging
import random
import uuid
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

import msgpack

from cicadatraild.platform.store import (
    HOLDER_TOPIC,
    FencedError,
    HistoryGoneError,
    KeyedRecord,
    PositionError,
    Producer,
    SequenceError,
    StoreClient,
    StoreUnavailableError,
)
from cicadatraild.scheduling.clocks import boot_now_s, loop_now_s

logger = logging.getLogger("cicadatrail.leadership")

RENEWAL_S = 0.3
"""Time between renewals; four fit into the silence limit."""

SILENCE_LIMIT_S = 1.3
"""Time without a renewal after which others claim; covers a store 60 times slow."""

LEADERSHIP_LEASE_S = 1.0
"""Time after the sending of a renewal in which nobody can have claimed yet."""

CONFIRMATION_S = 0.7
"""Time for which the word of peers that none holds a newer epoch counts: a round
of questions with one that does not answer, and the pause before the next."""

FOLLOW_WAIT_MS = 500
"""Time that a read waits at the store for the next record."""

SUCCESSOR_HEAD_START_S = 1.0
"""Time that a named successor has before others claim; three calls to a store that
is 60 times slow."""

CLAIM_JITTER_S = 0.05
"""Spread of claims, so that few of them collide."""

RETRY_S = 0.1
"""Pause after the store was not available."""

PRODUCER = "holder"
HOLDER_KEY = "holder"


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """Name the holder of an epoch; ``process_id`` is one life of its process.

    ``successor`` is the host that should claim first after a release, or "".
    """

    epoch: int
    node: str
    host: str
    process_id: str
    released: bool = False
    successor: str = ""


def _encode(leader: LeaderRecord) -> KeyedRecord:
    value: bytes = msgpack.packb(asdict(leader))
    return KeyedRecord(HOLDER_KEY, value)


def _decode(record: KeyedRecord) -> LeaderRecord | None:
    try:
        value: Any = msgpack.unpackb(record.value or b"")
        return LeaderRecord(**value)
    except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
        logger.warning(
            "leadership: holder record can't be read.", extra={"reason": repr(error)}
        )
        return None


class Leadership:
    """Follow the holder's record, and hold the office when it falls vacant."""

    def __init__(
        self,
        store: StoreClient,
        node: str,
        host: str,
        on_elected: Callable[[int], None],
        on_step_down: Callable[[str], None],
        claim_delay_s: float = 0.0,
    ) -> None:
        self._store = store
        self._node = node
        self._host = host
        self._process_id = uuid.uuid4().hex
        self._on_elected = on_elected
        self._on_step_down = on_step_down
        self._claim_delay_s = claim_delay_s
        self._offset: int | None = None
        self._seen_s = 0.0
        self._sequence = 0
        self._lease_until_s = 0.0
        self._confirmed_until_s = 0.0
        self._renewing: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()
        self._store_failed = False
        self.current: LeaderRecord | None = None
        self.held_epoch = 0
        self.claims_disabled = False
        self.suspected_epoch = 0
        self.store_answered_s: float | None = None
        self.claim_count = 0

    def is_lease_valid(self) -> bool:
        """Tell whether no other instance can have claimed the office yet."""
        return self.held_epoch > 0 and boot_now_s() < self._lease_until_s

    def may_start(self) -> bool:
        """Tell whether subtasks may be started: no newer holder can be known.

        A worker that has restarted obeys any holder, so its fence alone does not
        keep a holder that was suspended or cut off from starting work again.
        """
        until_s = max(self._lease_until_s, self._confirmed_until_s)
        return self.held_epoch > 0 and boot_now_s() < until_s

    def confirm(self, epoch: int, asked_s: float) -> None:
        """Note that peers asked at a time of the boot clock know no newer holder."""
        if epoch == self.held_epoch:
            self._confirmed_until_s = asked_s + CONFIRMATION_S

    async def changed(self, timeout_s: float) -> None:
        """Wait for another holder, for a time at most."""
        event = self._changed
        try:
            async with asyncio.timeout(timeout_s):
                await event.wait()
        except TimeoutError:
            return

    def learn_leader(self, epoch: int, host: str) -> None:
        """Take a peer's word on a newer holder, to route to it."""
        if epoch > (self.current.epoch if self.current else 0):
            if epoch > self.held_epoch > 0:
                self.step_down(f"a peer knows epoch {epoch}")
            self._set_current(LeaderRecord(epoch, "", host, ""))

    def suspect(self, epoch: int) -> None:
        """Note that the process of an epoch's holder is gone."""
        self.suspected_epoch = max(self.suspected_epoch, epoch)

    def step_down(self, reason: str) -> None:
        """Give up the office at once; orders of this epoch must end."""
        if not self.held_epoch:
            return
        logger.warning(
            "leadership: deposed.", extra={"epoch": self.held_epoch, "reason": reason}
        )
        self.held_epoch = 0
        self._lease_until_s = 0.0
        self._confirmed_until_s = 0.0
        if self._renewing is not None:
            self._renewing.cancel()
            self._renewing = None
        self._on_step_down(reason)

    def close(self) -> None:
        """Renew nothing any more; the office falls vacant by silence."""
        if self._renewing is not None:
            self._renewing.cancel()

    async def release(self, successor: str) -> None:
        """Give up the office in the store, so that another claims at once.

        ``successor`` is the host that should claim, or "" for any.
        """
        epoch = self.held_epoch
        self.claims_disabled = True
        if not epoch:
            return
        self.step_down("released")
        record = LeaderRecord(
            epoch, self._node, self._host, self._process_id, True, successor
        )
        for _ in range(3):
            try:
                await self._append(record, epoch)
                return
            except (StoreUnavailableError, SequenceError) as error:
                logger.warning(
                    "leadership: release not stored.", extra={"reason": str(error)}
                )
            except FencedError:
                return

    async def run(self) -> None:
        """Follow and claim until cancelled."""
        while True:
            try:
                await self._follow()
                self._record_store_state(None)
            except HistoryGoneError:
                self._offset = None
            except StoreUnavailableError as error:
                self._record_store_state(str(error))
                await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))
                continue
            if self._may_claim():
                await self._claim()

    def _record_store_state(self, failure: str | None) -> None:
        if failure is None:
            self.store_answered_s = loop_now_s()
            if self._store_failed:
                logger.info("leadership: store is back.")
        else:
            # Silence counts only while the store answers.
            self._seen_s = loop_now_s()
            if not self._store_failed:
                logger.warning("leadership: store lost.", extra={"reason": failure})
        self._store_failed = failure is not None

    async def _follow(self) -> None:
        if self._offset is None:
            records, self._offset = await self._store.newest(HOLDER_TOPIC)
            if not records:
                self._seen_s = loop_now_s() - SILENCE_LIMIT_S
        else:
            records, self._offset = await self._store.read(
                HOLDER_TOPIC, self._offset, FOLLOW_WAIT_MS
            )
        for record in records:
            self._apply_record(record)

    def _apply_record(self, record: KeyedRecord) -> None:
        leader = _decode(record)
        if leader is None:
            return
        self._seen_s = loop_now_s()
        if self.current is not None and leader.epoch < self.current.epoch:
            return
        is_own = leader.process_id == self._process_id
        if leader.epoch > self.held_epoch > 0 and not is_own:
            self.step_down(f"epoch {leader.epoch} of {leader.node}")
        has_won = is_own and not leader.released and leader.epoch > self.held_epoch
        if has_won and not self.claims_disabled:
            # A claim without an answer has won after all.
            self._become_leader(leader.epoch, boot_now_s())
        if leader != self.current:
            self._set_current(leader)

    def _set_current(self, leader: LeaderRecord) -> None:
        self.current = leader
        logger.info("leadership: holder known.", extra=asdict(leader))
        self._changed.set()
        self._changed = asyncio.Event()

    def _may_claim(self) -> bool:
        if self.held_epoch or self.claims_disabled:
            return False
        current = self.current
        if current is None:
            return True
        if current.released:
            is_mine = current.successor in ("", self._host)
            silent_s = loop_now_s() - self._seen_s
            return is_mine or silent_s > SUCCESSOR_HEAD_START_S
        if current.epoch <= self.suspected_epoch:
            return True
        if current.node == self._node and current.process_id != self._process_id:
            return bool(current.process_id)
        return loop_now_s() - self._seen_s > SILENCE_LIMIT_S

    async def _claim(self) -> None:
        if self.current is None or self.current.successor != self._host:
            await asyncio.sleep(self._claim_delay_s + random.uniform(0, CLAIM_JITTER_S))
        epoch = (self.current.epoch if self.current else 0) + 1
        record = LeaderRecord(epoch, self._node, self._host, self._process_id)
        sent_s = boot_now_s()
        self.claim_count += 1
        logger.info(
            "leadership: claim.",
            extra={
                "epoch": epoch,
                "silence_s": round(loop_now_s() - self._seen_s, 3),
                "suspected_epoch": self.suspected_epoch,
            },
        )
        try:
            # Claims of one epoch must differ, so they name no producer: the
            # store takes the same numbers of one producer for a repeat.
            await self._store.append(
                HOLDER_TOPIC, [_encode(record)], expected_end=self._offset
            )
        except PositionError:
            return
        except StoreUnavailableError as error:
            logger.warning("leadership: claim unsettled.", extra={"reason": str(error)})
            return
        if not self.claims_disabled:
            self._become_leader(epoch, sent_s)
            self._set_current(record)

    async def _append(self, record: LeaderRecord, epoch: int) -> None:
        producer = Producer(PRODUCER, epoch, self._sequence)
        await self._store.append(HOLDER_TOPIC, [_encode(record)], producer=producer)
        self._sequence += 1

    def _become_leader(self, epoch: int, sent_s: float) -> None:
        self.held_epoch = epoch
        self._sequence = 0
        self._lease_until_s = sent_s + LEADERSHIP_LEASE_S
        self._seen_s = loop_now_s()
        self._renewing = asyncio.create_task(self._renew(epoch))
        logger.info("leadership: elected.", extra={"epoch": epoch})
        self._on_elected(epoch)

    async def _renew(self, epoch: int) -> None:
        record = LeaderRecord(epoch, self._node, self._host, self._process_id)
        while self.held_epoch == epoch:
            began_s = loop_now_s()
            sent_s = boot_now_s()
            try:
                await self._append(record, epoch)
                self._lease_until_s = max(
                    self._lease_until_s, sent_s + LEADERSHIP_LEASE_S
                )
            except FencedError as error:
                self._renewing = None
                self.step_down(str(error))
                return
            except SequenceError as error:
                self._sequence = error.expected
            except StoreUnavailableError as error:
                logger.warning(
                    "leadership: renewal failed.", extra={"reason": str(error)}
                )
                await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))
                continue
            pause_s = began_s + RENEWAL_S - loop_now_s()
            await asyncio.sleep(max(0.0, pause_s))
