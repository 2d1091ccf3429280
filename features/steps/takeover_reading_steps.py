"""Steps about the reading of the stored jobs at a takeover."""

from __future__ import annotations

import asyncio
import base64
import json
from types import SimpleNamespace
from typing import Any
from urllib.parse import parse_qs, urlsplit

from behave import given, then, when
from returns.result import Failure, Success

from cicadatraild.network.client_exchange import Address, ClientError, ClientFault
from cicadatraild.platform.store import JOBS_TOPIC, KeyedRecord, StoreClient
from cicadatraild.scheduling.clocks import loop_now_s
from cicadatraild.scheduling.fenced_reading import FencedReading
from cicadatraild.scheduling.journal import Journal
from cicadatraild.scheduling.leader import Leader
from features.support.paused_loop import run_paused

PAGE_COUNT = 50
GIVEN_UP_S = 60.0


class SlowLink:
    """A connection to the store over which pages take long or are lost."""

    def __init__(self, page_count: int, page_s: float) -> None:
        self.keys = [f"j/{number:04}" for number in range(page_count * PAGE_COUNT)]
        self.page_s = page_s
        self.loses_third = False
        self.calls: list[str] = []
        self._page_count = 0

    async def fetch(
        self, _: Any, method: str, target: str, *, timeout_s: float, **__: Any
    ) -> Any:
        self.calls.append(method)
        if method == "POST":
            return Success(SimpleNamespace(status=200, body=b'{"end": 0}'))
        self._page_count += 1
        is_lost = self.loses_third and self._page_count % 3 == 0
        if is_lost or timeout_s < self.page_s:
            await asyncio.sleep(timeout_s)
            return Failure(ClientError(ClientFault.NO_ANSWER, "no answer"))
        await asyncio.sleep(self.page_s)
        (after,) = parse_qs(urlsplit(target).query).get("after", [""])
        rest = [key for key in self.keys if key > after]
        value = base64.b64encode(b"x").decode()
        items = [{"key": key, "value": value} for key in rest[:PAGE_COUNT]]
        page = {"items": items, "more": len(rest) > PAGE_COUNT, "end": 9}
        return Success(SimpleNamespace(status=200, body=json.dumps(page).encode()))


@given("{count:d} pages of jobs in the store, each of which takes {page_s:g} s")
def step_pages(context: Any, count: int, page_s: float) -> None:
    context.link = SlowLink(count, page_s)


@given("every third page is lost")
def step_lost(context: Any) -> None:
    context.link.loses_third = True


@when("a leader takes over")
def step_take_over(context: Any) -> None:
    store = StoreClient(Address("store", 1))
    store.pool = context.link

    async def load() -> None:
        return None

    def restore(records: list[KeyedRecord]) -> float:
        context.keys = [record.key for record in records]
        return loop_now_s()

    async def scenario() -> None:
        leader: Any = SimpleNamespace(
            _store=store,
            journal=Journal(store, 2, lambda: ([], lambda: None), lambda _: None),
            _worker_list=SimpleNamespace(feed=SimpleNamespace(load=load)),
            _records=SimpleNamespace(restore=restore, stored_worker_ids=set()),
            links=SimpleNamespace(stored_ids=set()),
            balance=SimpleNamespace(cordon_blocked=lambda: None),
            _dispatch_at=lambda _: None,
        )
        leader._stored_jobs = FencedReading(store, JOBS_TOPIC)
        leader._read_jobs = Leader._read_jobs.__get__(leader)
        began_s = loop_now_s()
        async with asyncio.timeout(GIVEN_UP_S):
            await Leader._take_over(leader)
        context.took_s = loop_now_s() - began_s

    run_paused(scenario())


@then("it has read each job once, after at most {limit_s:g} s")
def step_read(context: Any, limit_s: float) -> None:
    assert context.keys == context.link.keys, len(context.keys)
    assert context.took_s <= limit_s, context.took_s


@then("it reads no page before the fence is stored")
def step_fenced(context: Any) -> None:
    assert context.link.calls[0] == "POST", context.link.calls
