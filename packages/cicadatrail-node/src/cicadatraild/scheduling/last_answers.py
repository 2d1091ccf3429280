"""What a leader tells its successor of leaders before it: their leases and orders.

Answers leaders that follow each other within seconds while a worker doesn't answer.
Each successor would wait for the lease that its predecessor may have given to the
worker, and the wait would begin anew each time. A leader gives no lease to a worker
that has not answered it. So when it hands over it stores until when leaders before it
may have given one to each of these workers. It stores times from then on, as instances
have no clock in common, and the successor counts them from its reading of the record.
Machines for which only leaders before it may have sent orders are told likewise.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgpack

from cicadatrail_core.jobs.scheduler_settings import CLOCK_DRIFT
from cicadatraild.platform.store import KeyedRecord
from cicadatraild.scheduling.clocks import boot_now_s, loop_now_s

logger = logging.getLogger("cicadatrail.leadership")

UNANSWERED_KEY = "unanswered"

ANY_WORKER = ""
"""Stands for all workers, by a leader that has not taken over and knows none."""

LONGEST_AGE_S = 1e6
"""Stands for all longer times since a lease was possible."""


@dataclass(frozen=True, slots=True)
class _HandedOver:
    """What the leader of ``epoch`` stored, and when this process read it.

    Leaders before it could act for ``former_left_s`` more. By worker id, they could
    give leases for ``left_s`` more, which is negative where that had ended before. By
    machine, it left those alone for ``blocked_left_s`` more for which it sent no order
    itself.
    """

    epoch: int
    read_boot_s: float = 0.0
    former_left_s: float = math.inf
    left_s: Mapping[str, float] = field(default_factory=dict)
    blocked_left_s: Mapping[str, float] = field(default_factory=dict)


class LastAnswers:
    """Track until when leases may have been given to workers, by what is handed over.

    ``unanswered`` returns, by worker id, for how many seconds more earlier leaders may
    give a lease to a worker that has not answered this instance as the leader.
    ``blocked`` returns for how many more it leaves machines alone, by name, for which
    only earlier leaders may have sent orders.
    """

    def __init__(self) -> None:
        self._stored = _HandedOver(0)
        self._inherited = _HandedOver(0)
        self.unanswered: Callable[[], Mapping[str, float]] = dict
        self.blocked: Callable[[], Mapping[str, float]] = dict

    def apply(self, record: KeyedRecord) -> bool:
        """Apply a record of the leader's topic; return whether it is of this kind."""
        if record.key != UNANSWERED_KEY:
            return False
        self._stored = _decode(record.value)
        return True

    def begin(self, predecessor_epoch: int) -> None:
        """Begin a term; what the predecessor stored counts, if it handed over."""
        is_newest = self._stored.epoch == predecessor_epoch
        self._inherited = self._stored if is_newest else _HandedOver(0)
        self.unanswered = self._unanswered_before_takeover
        # It has sent no order either.
        self.blocked = lambda: {
            name: until_s - loop_now_s()
            for name, until_s in self.blocked_until_loop_s().items()
        }

    def _unanswered_before_takeover(self) -> dict[str, float]:
        """Return what the predecessor told, as this instance has called no worker."""
        unanswered = {
            worker_id: self.until_loop_s(worker_id) - loop_now_s()
            for worker_id in self._inherited.left_s
        }
        if not math.isfinite(self._inherited.former_left_s):
            unanswered[ANY_WORKER] = 0.0
        return unanswered

    def end(self) -> None:
        """End a term: keep the times that it knows, and nothing that it refers to."""
        self.unanswered = _count_on(self.unanswered())
        self.blocked = _count_on(self.blocked())

    @property
    def former_until_loop_s(self) -> float:
        """Return until when any earlier leader may act, on the loop's clock.

        Infinite if the predecessor has not told it.
        """
        return self._time(self._inherited.former_left_s)

    def has_reached(self, worker_id: str) -> bool:
        """Return whether the predecessor told all leases that a worker may hold.

        It has then handed over, and stored which of them are longer than granted ones.
        """
        told = self._inherited
        has_handed_over = math.isfinite(told.former_left_s)
        return has_handed_over and not {worker_id, ANY_WORKER} & told.left_s.keys()

    def until_loop_s(self, worker_id: str) -> float:
        """Return until when a worker may get a lease by an earlier leader."""
        left_s = self._inherited.left_s.get(worker_id, math.inf)
        return min(self.former_until_loop_s, self._time(left_s))

    def blocked_until_loop_s(self) -> dict[str, float]:
        """Return until when to leave machines alone, on the loop's clock, by name.

        For machines that are not among them, the predecessor may have sent an order.
        """
        left_s = self._inherited.blocked_left_s
        return {name: self._time(seconds) for name, seconds in left_s.items()}

    def _time(self, left_s: float) -> float:
        """Return the latest time that a time of the predecessor stands for."""
        # Its clock may have run slow, or this one may.
        longest_s = max(left_s / (1 - CLOCK_DRIFT), left_s * (1 - CLOCK_DRIFT))
        return loop_now_s() + self._inherited.read_boot_s + longest_s - boot_now_s()

    def record(self, epoch: int, former_left_s: float) -> KeyedRecord:
        """Return what the leader of ``epoch`` has to store when it hands over.

        Leaders before it can act for ``former_left_s`` more.
        """
        rows = [
            [(name, max(-LONGEST_AGE_S, left_s)) for name, left_s in times_s.items()]
            for times_s in (self.unanswered(), self.blocked())
        ]
        value: bytes = msgpack.packb([epoch, max(0.0, former_left_s), *rows])
        return KeyedRecord(UNANSWERED_KEY, value)


def _count_on(times_s: Mapping[str, float]) -> Callable[[], Mapping[str, float]]:
    """Return a function that returns what is left of times that are left now."""
    began_s, left_s = boot_now_s(), dict(times_s)
    return lambda: {
        name: seconds - (boot_now_s() - began_s) for name, seconds in left_s.items()
    }


def _decode(value: bytes | None) -> _HandedOver:
    """Return a stored record as read now; one that tells nothing if it is invalid."""
    try:
        epoch, former_left_s, *rows = msgpack.unpackb(value or b"")
        workers, machines = rows
        left_s: dict[str, Any] = dict(workers)
        blocked_left_s: dict[str, Any] = dict(machines)
        times_s = (former_left_s, *left_s.values(), *blocked_left_s.values())
        if type(epoch) is not int or former_left_s < 0:
            raise ValueError("a number is out of range")
        if not all(type(s) is float and math.isfinite(s) for s in times_s):
            raise ValueError("a time is no number")
    except Exception as error:
        # Bytes of another writer may fail to decode in any way.
        logger.warning(
            "leadership: ignoring an invalid record of a hand-over.",
            extra={"reason": repr(error)},
        )
        return _HandedOver(0)
    return _HandedOver(epoch, boot_now_s(), former_left_s, left_s, blocked_left_s)
