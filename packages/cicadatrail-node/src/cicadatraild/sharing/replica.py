"""Follows the log and maintains the folded state of this instance."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import deque
from collections.abc import Callable

from returns.result import Failure, Success

from cicadatrail_core.fold.apply import Envelope, decode_record, fold_decoded
from cicadatrail_core.fold.snapshots import SnapshotAssembler
from cicadatrail_core.models.platform import LogPage, LogService
from cicadatrail_core.models.records import SnapshotRecord
from cicadatrail_core.models.state import State
from cicadatraild.sharing.backoff import Backoff

logger = logging.getLogger("cicadatrail.replica")

READ_LIMIT_COUNT = 2_000
"""Largest number of records requested in one read."""

READ_WAIT_S = 1.0
"""Longest time that a read waits for the first record."""

READ_SPACING_S = 0.2
"""Time between two reads of the tail, so that one read covers many appends."""

TAIL_LIMIT_COUNT = 5_000
"""Number of newest records kept for peers that can't read the log."""

JOIN_SPAN_COUNT = 50_000
"""Number of records before the tail searched first for a snapshot."""

BACKOFF_BASE_S = 0.05
BACKOFF_LIMIT_S = 1.0

Listener = Callable[[State], None]
SnapshotListener = Callable[[State, State], None]
RecordListener = Callable[[State, State, Envelope], None]


class Replica:
    """Fold the log's records in order and notify listeners of each new state.

    ``next_offset`` never decreases: a page or snapshot that is older than the
    state is ignored.
    """

    __slots__ = (
        "_backoff",
        "_changed",
        "_listeners",
        "_log",
        "_record_listeners",
        "_snapshot_listeners",
        "_tail",
        "failing_since_s",
        "folded_count",
        "state",
    )

    def __init__(self, log: LogService, random_source: random.Random) -> None:
        self._log = log
        self._listeners: list[Listener] = []
        self._record_listeners: list[RecordListener] = []
        self._snapshot_listeners: list[SnapshotListener] = []
        self._changed = asyncio.Event()
        self._tail: deque[tuple[int, bytes]] = deque(maxlen=TAIL_LIMIT_COUNT)
        self._backoff = Backoff(BACKOFF_BASE_S, BACKOFF_LIMIT_S, random_source)
        self.state = State()
        self.folded_count = 0
        self.failing_since_s: float | None = None

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` with the state after each change."""
        self._listeners.append(listener)

    def listen_to_records(self, listener: RecordListener) -> None:
        """Call ``listener`` with each record and the states around it.

        It is called before the listeners of the state.
        """
        self._record_listeners.append(listener)

    def listen_to_snapshots(self, listener: SnapshotListener) -> None:
        """Call ``listener`` with the states before and after loading a snapshot."""
        self._snapshot_listeners.append(listener)

    async def wait_for(self, holds: Callable[[State], bool]) -> None:
        """Wait until ``holds`` returns true for the state."""
        while not holds(self.state):
            await self._changed.wait()

    def records_from(self, offset: int, limit_count: int) -> tuple[bytes, ...] | None:
        """Return kept records from an offset, or None if they are not all kept."""
        if not self._tail or offset < self._tail[0][0]:
            return None
        start = offset - self._tail[0][0]
        stop = min(len(self._tail), start + limit_count)
        return tuple(self._tail[index][1] for index in range(start, stop))

    def apply_records(self, from_offset: int, payloads: tuple[bytes, ...]) -> None:
        """Fold records from the log or a peer, skipping those already folded."""
        state = self.state
        folded: list[tuple[State, State, Envelope]] = []
        for offset, payload in enumerate(payloads, from_offset):
            if offset != state.next_offset:
                continue
            before, decoded = state, decode_record(payload)
            state = fold_decoded(before, offset, decoded)
            self._tail.append((offset, payload))
            self.folded_count += 1
            if isinstance(decoded, Envelope):
                folded.append((before, state, decoded))
        if state is self.state:
            return
        self.state = state
        for before, after, envelope in folded:
            for listener in self._record_listeners:
                listener(before, after, envelope)
        self._publish()

    def install_snapshot(self, state: State) -> None:
        """Replace the state by a newer snapshot; ignore an older one."""
        if state.next_offset <= self.state.next_offset:
            return
        self._tail.clear()
        before, self.state = self.state, state
        for listener in self._snapshot_listeners:
            listener(before, state)
        self._publish()

    async def run(self) -> None:
        """Follow the log until cancelled."""
        while True:
            answer = await self._log.read(
                self.state.next_offset, READ_LIMIT_COUNT, READ_WAIT_S
            )
            match answer:
                case Success(page):
                    self._note_success()
                    await self._apply_page(page)
                case Failure(error):
                    self._note_failure(error.reason)
                    await asyncio.sleep(self._backoff.next_delay_s())

    async def _apply_page(self, page: LogPage) -> None:
        behind_count = page.next_offset - self.state.next_offset
        expired = page.first_offset > self.state.next_offset
        if expired or behind_count > 2 * JOIN_SPAN_COUNT:
            await self._catch_up(page.first_offset, page.next_offset)
            return
        self.apply_records(page.from_offset, page.payloads)
        # Yields between pages so that requests are served during a long catch-up.
        at_tail = self.state.next_offset >= page.next_offset
        await asyncio.sleep(READ_SPACING_S if at_tail else 0)

    async def _catch_up(self, first_offset: int, next_offset: int) -> None:
        """Search for the newest snapshot, further back in each pass."""
        span_count = JOIN_SPAN_COUNT
        while True:
            start = max(first_offset, next_offset - span_count)
            found = await self._scan(start, next_offset)
            if found is not None:
                self.install_snapshot(found)
                return
            if start == first_offset:
                logger.error(
                    "replica: the log holds no snapshot; joining waits for one."
                )
                await asyncio.sleep(READ_WAIT_S)
                return
            span_count *= 4

    async def _scan(self, start: int, end: int) -> State | None:
        """Return the newest complete snapshot between two offsets."""
        assembler = SnapshotAssembler()
        offset = start
        while offset < end:
            answer = await self._log.read(offset, READ_LIMIT_COUNT, 0.0)
            if not isinstance(answer, Success):
                self._note_failure(answer.failure().reason)
                return assembler.newest
            page = answer.unwrap()
            if not page.payloads:
                break
            _collect_snapshots(assembler, page.payloads)
            offset = page.from_offset + len(page.payloads)
            await asyncio.sleep(0)
        return assembler.newest

    def _publish(self) -> None:
        for listener in self._listeners:
            listener(self.state)
        self._changed.set()
        self._changed = asyncio.Event()

    def _note_success(self) -> None:
        self._backoff.reset()
        if self.failing_since_s is not None:
            logger.info("replica: reading the log succeeded again.")
        self.failing_since_s = None

    def _note_failure(self, reason: str) -> None:
        if self.failing_since_s is None:
            logger.warning("replica: reading the log failed, retrying: %s.", reason)
            self.failing_since_s = asyncio.get_running_loop().time()


def _collect_snapshots(
    assembler: SnapshotAssembler, payloads: tuple[bytes, ...]
) -> None:
    for payload in payloads:
        match decode_record(payload):
            case Envelope(record=SnapshotRecord() as part):
                assembler.take(part)
