"""Stateful Hypothesis test of ``PartitionMemory`` against a plain record of runs."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch
from uuid import UUID

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from cicadatrail_core.admission import request_ids
from cicadatrail_core.admission.request_ids import (
    AlreadyDone,
    AlreadyRunning,
    FirstSeen,
    NotRun,
    PartitionMemory,
    RequestIdSettings,
    Unknowable,
)

SKEW_S = 5.0
START_S = 1_750_000_000.0
SETTINGS = RequestIdSettings(
    clock_skew_s=SKEW_S, window_s=60.0, entry_limit_count=12, answer_limit_bytes=8
)


def make_id(time_s: float, number: int) -> str:
    bits = (int(time_s * 1000) << 80) | (7 << 76) | (2 << 62) | number
    return str(UUID(int=bits))


# Any two clocks differ by at most one skew: each is within half of it of true time.
offsets = st.sampled_from([-SKEW_S / 2, 0.0, SKEW_S / 2])


class RequestIdMachine(RuleBasedStateMachine):
    """Hand a partition from holder to holder; no id may run twice."""

    def __init__(self) -> None:
        super().__init__()
        self.true_s = START_S
        self.offset_s = 0.0
        self.taken_s = START_S - 1000
        self.memory = PartitionMemory(SETTINGS, START_S - 1000)
        self.copied = self.memory.copy()
        self.count = 0
        self.ids: dict[str, float] = {}
        self.ran: set[str] = set()
        self.open: set[str] = set()
        self.answers: dict[str, bytes] = {}

    @property
    def now_s(self) -> float:
        return self.true_s + self.offset_s

    @rule(
        caller_s=offsets,
        far_s=st.sampled_from([0.0, 0.0, 0.0, -30.0, 5.5, 8.0]),
        count=st.integers(1, 5),
    )
    def ask_new(self, caller_s: float, far_s: float, count: int) -> None:
        for _ in range(count):
            self.count += 1
            time_s = self.true_s + caller_s + far_s
            name = make_id(time_s, self.count)
            self.ids[name] = time_s
            self.ask(name)

    @rule(pick=st.integers(0))
    def ask_again(self, pick: int) -> None:
        if self.ids:
            self.ask(sorted(self.ids)[-1 - pick % min(6, len(self.ids))])

    def ask(self, name: str) -> None:
        verdict = self.memory.begin(name, self.now_s)
        assert len(self.memory) <= SETTINGS.entry_limit_count, "memory grows"
        match verdict:
            case FirstSeen():
                assert name not in self.ran, "runs twice"
                self.ran.add(name)
                self.open.add(name)
            case AlreadyRunning():
                assert name in self.open, "does not run"
            case AlreadyDone(answer=answer):
                assert answer in (None, self.answers[name]), "another answer"
            case NotRun():
                assert name not in self.ran, "not run is untrue"
            case Unknowable():
                assert not self.must_be_known(name), "known to be new, yet refused"

    def must_be_known(self, name: str) -> bool:
        """Tell whether an honest caller's new id reaches a holder of some time."""
        is_fresh = abs(self.ids[name] - self.true_s) <= SKEW_S / 2
        is_settled = self.true_s - self.taken_s > 4 * SKEW_S
        return is_fresh and is_settled

    @rule(pick=st.integers(0), size=st.sampled_from([3, 9]))
    def finish(self, pick: int, size: int) -> None:
        if not self.open:
            return
        name = sorted(self.open)[pick % len(self.open)]
        self.open.remove(name)
        self.answers[name] = bytes([len(self.answers) % 256]) * size
        self.memory.finish(name, self.answers[name])

    @rule(pick=st.integers(0))
    def abandon(self, pick: int) -> None:
        """End a request that provably never left, so that it may come again."""
        if not self.open:
            return
        name = sorted(self.open)[pick % len(self.open)]
        self.open.remove(name)
        self.ran.remove(name)
        self.memory.abandon(name)

    @rule(passed_s=st.sampled_from([0.1, 1.0, 20.0, 59.0, 70.0]))
    def wait(self, passed_s: float) -> None:
        self.true_s += passed_s

    @rule(offset_s=offsets)
    def step_clock(self, offset_s: float) -> None:
        self.offset_s = offset_s

    @rule()
    def copy(self) -> None:
        self.copied = self.memory.copy()

    @rule(offset_s=offsets)
    def hand_over(self, offset_s: float) -> None:
        """Hand the partition over with a complete copy."""
        self.offset_s = offset_s
        self.memory = PartitionMemory.from_copy(SETTINGS, self.memory.copy())

    @rule(offset_s=offsets, copied=st.sampled_from(["none", "old", "newest"]))
    def lose_holder(self, offset_s: float, copied: str) -> None:
        """Take the partition of a lost holder, with a second copy or none."""
        if copied == "newest":
            self.copy()
        self.offset_s = offset_s
        self.open.clear()
        self.taken_s = self.true_s
        if copied != "none":
            self.memory = PartitionMemory.from_second_copy(
                SETTINGS, self.copied, self.now_s
            )
        else:
            self.memory = PartitionMemory.after_unknown_holder(SETTINGS, self.now_s)
        self.copied = self.memory.copy()


def _horizon_at(skews: float) -> Callable[..., Any]:
    """Return a constructor that sets the horizon ``skews`` skews after the start."""

    def begin(cls: Any, settings: Any, taken_s: float) -> Any:
        return cls(settings, taken_s + skews * settings.clock_skew_s)

    return classmethod(begin)  # type: ignore[return-value]


def _drop_without_horizon(memory: Any, now_s: float) -> None:
    """Drop old entries without moving the horizon."""
    oldest_s = now_s - memory._settings.window_s
    while memory._by_time and memory._by_time[0][0] <= oldest_s:
        memory._remove(memory._entries[memory._by_time[0][1]])


def _from_copy_with_running(cls: Any, settings: Any, copy: Any, taken_s: float) -> Any:
    memory = cls.after_unknown_holder(settings, taken_s)
    for entry in copy.entries:
        memory._put(entry)
    return memory


def _forget_finished(memory: Any, request_id: str, answer: bytes) -> None:
    memory.abandon(request_id)


def _accept_future_ids(memory: Any, request_id: str, now_s: float) -> Any:
    """Accept ids far in the future, which the next owner's horizon doesn't cover."""
    time_s = request_ids.id_time_s(request_id) or 0.0
    return REAL_BEGIN(memory, request_id, max(now_s, time_s))


def _always_unknowable(memory: Any, request_id: str, now_s: float) -> Any:
    return Unknowable()


def _ignore_entry_limit(memory: Any, request_id: str, now_s: float) -> Any:
    verdict = REAL_BEGIN(memory, request_id, now_s)
    if isinstance(verdict, NotRun) and "too many" in verdict.reason:
        memory._put(request_ids.IdEntry(request_id, now_s))
        return FirstSeen()
    return verdict


REAL_BEGIN = PartitionMemory.begin
AFTER_UNKNOWN = "after_unknown_holder"


def _mutant(name: str, change: Any) -> Callable[[], AbstractContextManager[Any]]:
    """Return a factory of patches that replace a method of ``PartitionMemory``."""
    return lambda: patch.object(PartitionMemory, name, change)


FAULTS: Mapping[str, Callable[[], AbstractContextManager[Any]]] = {
    "no horizon after an unknown holder": _mutant(AFTER_UNKNOWN, _horizon_at(-1e6)),
    "no skew in the horizon": _mutant(AFTER_UNKNOWN, _horizon_at(0)),
    "one skew too few in the horizon": _mutant(AFTER_UNKNOWN, _horizon_at(1)),
    "no horizon after dropping": _mutant("_drop_old", _drop_without_horizon),
    "running ids taken from an old copy": _mutant(
        "from_second_copy", classmethod(_from_copy_with_running)
    ),
    "future ids taken": _mutant("begin", _accept_future_ids),
    "ids forgotten when they end": _mutant("finish", _forget_finished),
    "unknown for everything": _mutant("begin", _always_unknowable),
    "no bound on entries": _mutant("begin", _ignore_entry_limit),
}
