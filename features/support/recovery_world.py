"""A leader with a store that may be silent, and an entry with leaders that may be."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from cicadatrail_core.jobs.records import encode_definition
from cicadatraild.platform.store import StoreUnavailableError
from cicadatraild.scheduling.clocks import loop_now_s
from cicadatraild.scheduling.entry import Entry
from cicadatraild.scheduling.journal import Journal
from cicadatraild.scheduling.leader import Leader
from cicadatraild.scheduling.leader_record import LeaderRecord
from cicadatraild.scheduling.leader_records import JOB_PREFIX
from cicadatraild.scheduling.messages import (
    CandidateIs,
    CountQueued,
    QueuedCount,
    Reply,
    Request,
    Submit,
)
from cicadatraild.scheduling.peers import PeerUnreachableError
from features.support.job_world import JobWorld, definition

# ruff: noqa: SLF001


class FakeStore:
    """A store that fails until ``answers`` is set; it keeps the keys of appends."""

    def __init__(self, takes_s: float = 0.01) -> None:
        self._takes_s = takes_s
        self.answers = asyncio.Event()
        self.keys: list[str] = []

    async def append(self, topic: str, records: Any, **_: Any) -> None:
        await asyncio.sleep(self._takes_s)
        if not self.answers.is_set():
            raise StoreUnavailableError("503", False)
        self.keys += [record.key for record in records]


def submission(job_id: str) -> Submit:
    return Submit(job_id, encode_definition(definition(1)))


def new_leader(store: Any) -> Any:
    """Return the parts of a leader that submissions need."""
    scheduler = JobWorld(1).scheduler

    def collect() -> Any:
        changed, scheduler.changed_jobs = scheduler.changed_jobs, {}
        jobs = [scheduler.jobs[name] for name in changed if name in scheduler.jobs]

        def on_stored() -> None:
            for job in jobs:
                job.is_stored = True

        return [
            SimpleNamespace(key=JOB_PREFIX + job.job_id, value=b"") for job in jobs
        ], on_stored

    leader = SimpleNamespace(
        scheduler=scheduler,
        journal=Journal(store, 1, collect, lambda _: None),
        _records=SimpleNamespace(unreadable_job_ids=set()),
        admission=SimpleNamespace(consider=lambda *_: None),
        open_subtasks=SimpleNamespace(admits=lambda *_: True),
        _leadership=SimpleNamespace(is_lease_valid=lambda: True),
    )
    for name in ("_submit", "_store_submission", "_cancel", "_missing_phase"):
        setattr(leader, name, getattr(Leader, name).__get__(leader))
    return leader


class KnownLeadership:
    """The leader that an instance knows."""

    def __init__(self) -> None:
        self._changed = asyncio.Event()
        self.know(1)

    def know(self, epoch: int) -> None:
        self.current = LeaderRecord(epoch, "", f"host-{epoch}", "")
        self._changed.set()
        self._changed = asyncio.Event()

    async def changed(self, timeout_s: float) -> None:
        await asyncio.wait(
            {asyncio.ensure_future(self._changed.wait())}, timeout=timeout_s
        )


class RoutedEntry:
    """An entry that routes to host-1, the leader, and then to host-2.

    ``leader`` answers for host-1 if there is one.
    """

    def __init__(self, answers_after_s: float | None, leader: Any = None) -> None:
        self._answers_after_s = answers_after_s
        self._leader = leader
        self.asked: list[str] = []

    async def call(
        self, host: str, request: Request, timeout_s: float, on_sent: Callable[[], None]
    ) -> Reply:
        """Return a peer's reply."""
        self.asked.append(host)
        on_sent()
        if host == "host-2":
            return QueuedCount(2)
        if self._leader is not None:
            return await Leader.answer(self._leader, request)
        await asyncio.sleep(min(timeout_s, self._answers_after_s or timeout_s))
        if self._answers_after_s is None:
            raise PeerUnreachableError("no reply", True, False)
        return QueuedCount(1)

    def ask(self, then_epoch: int) -> tuple[Reply, float]:
        """Ask, with a leader's record read after 1 s; return the reply and its time."""

        async def scenario() -> tuple[Reply, float]:
            leadership: Any = KnownLeadership()
            peers: Any = self
            candidate = CandidateIs(False, False, 0.0)
            entry = Entry(leadership, peers, "own", (), lambda: None, lambda: candidate)
            asyncio.get_running_loop().call_later(0.9, leadership.know, then_epoch)
            began_s = loop_now_s()
            reply = await entry.ask(CountQueued("q"), began_s + 2.85)
            return reply, loop_now_s() - began_s

        return asyncio.run(scenario())
