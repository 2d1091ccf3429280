"""Leader election by conditional, fenced appends to the store.

The leader renews its record. Another instance claims the next epoch when it sees
no new record for a while, a record that releases leadership, or a leader whose
process has died. The store accepts one claim per epoch. The epoch is the fencing
token of the leader's appends and of its orders to workers.

The topic, its record key, the logger and peer messages call the leader "holder".
"""

from __future__ import annotations

import asyncio
import logging
import random
import uuid
from collections.abc import Callable
from dataclasses import asdict

from cicadatrail_core.leadership.acting_right import LEADERSHIP_LEASE_S
from cicadatraild.platform.store import (
    LEADER_TOPIC,
    KeyedRecord,
    PositionError,
    RecordsDroppedError,
    StoreClient,
    StoreUnavailableError,
)
from cicadatraild.scheduling.clocks import boot_now_s, loop_now_s
from cicadatraild.scheduling.leader_record import (
    HOLDER_KEY,
    LeaderRecord,
    decode_leader,
    encode_leader,
)
from cicadatraild.scheduling.leader_right import ConfirmationRound, LeaderRight
from cicadatraild.scheduling.membership import Membership
from cicadatraild.scheduling.renewals import RETRY_S, Renewals

logger = logging.getLogger("cicadatrail.leadership")

SILENCE_LIMIT_S = 1.3
"""Time without a renewal after which other instances claim leadership; covers a
store that is 60 times slower than usual."""

SUSPECTED_LIMIT_S = LEADERSHIP_LEASE_S + 0.1
"""The same for a leader whose machine refuses connections; its lease has ended."""

FOLLOW_WAIT_MS = 500
"""Time for which the store may delay a read until the next record (long poll)."""

SUCCESSOR_HEAD_START_S = 1.0
"""Time for which only the named successor claims leadership; three calls to a
store that is 60 times slower than usual."""

CLAIM_JITTER_S = 0.05
"""Upper bound of the random delay before a claim; makes collisions rare."""


class Leadership:
    """Track the current leader, and claim leadership when there is none.

    ``right`` has the time for which this instance may act while it is the leader.

    ``on_elected`` is called with the epoch that this instance has won,
    ``on_step_down`` with the reason when it is no longer the leader.
    ``claim_delay_s`` delays claims in favour of other instances. With
    ``claims_disabled`` this instance claims only as the named successor, with
    ``is_closed`` not at all.
    """

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
        self._changed = asyncio.Event()
        self._store_failed = False
        self.members = Membership(host)
        self.right = LeaderRight(self.members, node, host)
        self.renewals = Renewals(store, self.members, self.right, self)
        self._has_read = False
        # Newest epoch that this instance has promised a peer to follow.
        self._promised_epoch = 0
        # Where the newest claim without an answer expected the topic's end.
        self._open_claim_offset: int | None = None
        self.current: LeaderRecord | None = None
        self.held_epoch = 0
        self._left_epoch = 0
        self.claims_disabled = False
        self.is_closed = False
        self.suspected_epoch = 0
        self.store_answered_s: float | None = None
        self.claim_count = 0

    def is_lease_valid(self) -> bool:
        """Return whether the lease is valid: no other instance can have claimed."""
        return self.held_lease_after(boot_now_s())

    def may_start(self) -> bool:
        """Return whether subtasks may be started and workers' leases renewed.

        The fence of a worker isn't enough: after a restart it accepts any epoch, also
        that of a leader that was suspended or partitioned, and a newer leader may not
        reach the worker.
        """
        return self.held_epoch > 0 and boot_now_s() < self.right.acting.until_s

    def held_lease_after(self, boot_s: float) -> bool:
        """Return whether the lease was valid at or after a time on the boot clock."""
        return self.held_epoch > 0 and boot_s < self.right.acting.lease_until_s

    def needs_confirmation(self, ahead_s: float) -> bool:
        """Return whether others have to be asked, as the lease ends in ``ahead_s``.

        Also until it is known that no earlier leader can act.
        """
        is_held = self.held_lease_after(boot_now_s() + ahead_s)
        return self.held_epoch > 0 and not (is_held and self.right.is_settled)

    def apply_round(self, answers: ConfirmationRound) -> None:
        """Apply the answers of the other instances to a round of questions."""
        if answers.epoch == self.held_epoch:
            self.right.apply_round(answers)

    def promise(self, epoch: int) -> bool:
        """Promise to confirm no leader before ``epoch``; return False if impossible.

        A newer leader may rely on it, so that an instance that has restarted first
        reads the topic, which has every epoch that it may have promised to follow. A
        claim without an answer may be carried out until the topic has moved on.
        """
        is_open = self._open_claim_offset is not None
        if not self._has_read or is_open:
            return False
        if epoch < max(self._known_epoch, self._promised_epoch):
            return False
        self._promised_epoch = epoch
        if epoch > self.held_epoch > 0:
            self.step_down(f"a peer leads epoch {epoch}")
        return True

    @property
    def _known_epoch(self) -> int:
        """Return the newest epoch that this instance knows of, or 0."""
        current_epoch = self.current.epoch if self.current else 0
        return max(current_epoch, self.members.claimed_epoch)

    @property
    def read_offset(self) -> int:
        """Return up to where this process has read the leader's topic."""
        return self._offset or 0

    @property
    def has_read(self) -> bool:
        """Return whether this process has read the leader's topic."""
        return self._has_read

    async def changed(self, timeout_s: float) -> None:
        """Wait until the leader changes, for at most ``timeout_s``."""
        event = self._changed
        try:
            async with asyncio.timeout(timeout_s):
                await event.wait()
        except TimeoutError:
            return

    def learn_leader(self, epoch: int, host: str) -> None:
        """Route requests to a newer leader that a peer reported.

        Steps down when this instance leads an older epoch.
        """
        if epoch > (self.current.epoch if self.current else 0):
            if epoch > self.held_epoch > 0:
                self.step_down(f"a peer knows epoch {epoch}")
            self._set_current(LeaderRecord(epoch, "", host, ""))

    def suspect(self, epoch: int) -> None:
        """Record that the process of the leader of ``epoch`` has probably died."""
        self.suspected_epoch = max(self.suspected_epoch, epoch)

    def step_down(self, reason: str) -> None:
        """Stop leading at once, as the orders of this epoch must end.

        Doesn't write to the store. Does nothing unless this instance is the leader.
        """
        if not self.held_epoch:
            return
        logger.warning(
            "leadership: stepped down.",
            extra={"epoch": self.held_epoch, "reason": reason},
        )
        self._left_epoch, self.held_epoch = self.held_epoch, 0
        self.right.end()
        self.renewals.stop()
        self._on_step_down(reason)

    def close(self) -> None:
        """Stop renewing; others take over after the silence limit."""
        self.renewals.stop()

    async def release(self, successor: str) -> None:
        """Step down and store it, so that another instance claims at once.

        ``successor`` is the host that should claim, or "" for any. Disables further
        claims, also when this instance isn't the leader.
        """
        epoch = self.held_epoch
        self.claims_disabled = True
        if not epoch:
            return
        self.step_down("released")
        record = LeaderRecord(
            epoch, self._node, self._host, self._process_id, True, successor
        )
        await self.renewals.release(record)

    async def run(self) -> None:
        """Follow the leader's records and claim leadership, until cancelled."""
        while True:
            try:
                await self._follow()
                self._record_store_state(None)
            except RecordsDroppedError:
                # A claim has to name the end of what was read.
                self._offset = None
                continue
            except StoreUnavailableError as error:
                self._record_store_state(str(error))
                await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))
                continue
            if not self.members.is_registered:
                await self._register()
            elif self._may_claim():
                await self._claim()

    async def _register(self) -> None:
        """Store that this instance may claim; the next read has the record."""
        try:
            await self._store.append(LEADER_TOPIC, [self.members.registration()])
        except StoreUnavailableError as error:
            logger.warning(
                "leadership: failed to register.", extra={"reason": str(error)}
            )
            await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))

    def _record_store_state(self, failure: str | None) -> None:
        if failure is None:
            self.store_answered_s = loop_now_s()
            if self._store_failed:
                logger.info("leadership: store is available again.")
        else:
            # The silence limit counts only while the store answers.
            self._seen_s = loop_now_s()
            if not self._store_failed:
                logger.warning(
                    "leadership: store unavailable.", extra={"reason": failure}
                )
        self._store_failed = failure is not None

    async def _follow(self) -> None:
        if self._offset is None:
            records, self._offset = await self._store.read_newest(LEADER_TOPIC)
            self.members.reset()
            self._has_read = True
            self.right.forget_stored()
            if not any(record.key == HOLDER_KEY for record in records):
                self._seen_s = loop_now_s() - SILENCE_LIMIT_S
        else:
            records, self._offset = await self._store.read(
                LEADER_TOPIC, self._offset, FOLLOW_WAIT_MS
            )
        claim_offset = self._open_claim_offset
        if claim_offset is not None and self._offset > claim_offset:
            # The topic has another end now, or the claim is among the records.
            self._open_claim_offset = None
        for record in records:
            if not (self.members.apply(record) or self.right.apply(record)):
                self._apply_record(record)
        if self.members.claimed_epoch > self.held_epoch > 0:
            self.step_down(f"epoch {self.members.claimed_epoch} was claimed")
        self.right.note_offset(self._offset)
        if self.members.needs_acknowledgement:
            self.renewals.renew_soon()

    def _apply_record(self, record: KeyedRecord) -> None:
        self.right.note_record()
        leader = decode_leader(record)
        if leader is None:
            return
        if self.current is not None and leader.epoch < self.current.epoch:
            return
        self._seen_s = loop_now_s()
        is_own = leader.process_id == self._process_id
        if leader.epoch >= self.held_epoch > 0 and not is_own:
            self.step_down(f"epoch {leader.epoch} of {leader.node}")
        is_new = leader.epoch > max(self.held_epoch, self._left_epoch)
        has_won = is_own and not leader.released and is_new
        if has_won and not self.is_closed:
            # A claim that was not answered has succeeded.
            self._become_leader(leader.epoch)
        if leader != self.current:
            self._set_current(leader)

    def _set_current(self, leader: LeaderRecord) -> None:
        self.current = leader
        logger.info("leadership: leader changed.", extra=asdict(leader))
        self._changed.set()
        self._changed = asyncio.Event()

    def _may_claim(self) -> bool:
        if self.held_epoch or self.is_closed:
            return False
        current = self.current
        if current is not None and current.released and self._is_successor(current):
            # Also when told to stop since: other instances wait for this claim.
            return True
        if self.claims_disabled:
            return False
        if current is None:
            return True
        if current.released:
            is_mine = not current.successor
            silent_s = loop_now_s() - self._seen_s
            return is_mine or silent_s > SUCCESSOR_HEAD_START_S
        if current.node == self._node and current.process_id != self._process_id:
            return bool(current.process_id)
        # A refused connection is no proof that the leader has ended.
        is_suspected = current.epoch <= self.suspected_epoch
        limit_s = SUSPECTED_LIMIT_S if is_suspected else SILENCE_LIMIT_S
        return loop_now_s() - self._seen_s > limit_s

    def _is_successor(self, leader: LeaderRecord) -> bool:
        return leader.successor == self._host

    async def _claim(self) -> None:
        if self._offset is None:
            return
        if self.current is None or not self._is_successor(self.current):
            await asyncio.sleep(self._claim_delay_s + random.uniform(0, CLAIM_JITTER_S))
            if not self._may_claim():
                return
        epoch = self._known_epoch + 1
        record = LeaderRecord(epoch, self._node, self._host, self._process_id)
        self.claim_count += 1
        logger.info(
            "leadership: claiming leadership.",
            extra={
                "epoch": epoch,
                "silence_s": round(loop_now_s() - self._seen_s, 3),
                "suspected_epoch": self.suspected_epoch,
            },
        )
        self._open_claim_offset = self._offset
        try:
            # Claims have no producer: the store would treat the claims of two
            # instances with the same producer and sequence as one, retried.
            await self._store.append(
                LEADER_TOPIC,
                [encode_leader(record), *self.members.begin_term(epoch)],
                expected_end=self._offset,
            )
        except PositionError:
            self._open_claim_offset = None
            return
        except StoreUnavailableError as error:
            logger.warning(
                "leadership: outcome of the claim is unknown.",
                extra={"reason": str(error)},
            )
            return
        self._open_claim_offset = None
        self._become_leader(epoch)
        self._set_current(record)
        if self.is_closed:
            await self.release("")

    def _become_leader(self, epoch: int) -> None:
        self.right.begin(self.current)
        self.held_epoch = epoch
        self._seen_s = loop_now_s()
        self.renewals.begin(
            LeaderRecord(epoch, self._node, self._host, self._process_id)
        )
        logger.info("leadership: elected.", extra={"epoch": epoch})
        self._on_elected(epoch)
