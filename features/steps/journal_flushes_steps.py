"""Steps of journal_flushes.feature."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from behave import then, when

from cicadatraild.platform.store import FencedError, KeyedRecord, StoreClient
from cicadatraild.scheduling.journal import Batch, Journal


class _Store:
    async def append(self, *_: Any, **__: Any) -> int:
        return 1


def _collect() -> Batch:
    def fail() -> None:
        raise KeyError("an unknown job")

    return [KeyedRecord("job", b"{}")], fail


@when("a journal fails while it marks its records as stored")
def step_fail_after_append(context: Any) -> None:
    async def scenario() -> None:
        store = cast(StoreClient, _Store())
        journal = Journal(store, 1, _collect, lambda reason: None)
        flush = journal.start_flush()
        outcomes = await asyncio.gather(journal.run(), return_exceptions=True)
        assert isinstance(outcomes[0], KeyError), outcomes
        journal.close()
        await asyncio.wait({flush}, timeout=0.1)
        context.is_failed = flush.done() and isinstance(flush.exception(), FencedError)

    asyncio.run(scenario())


@then("the flush that waited for them has failed")
def step_flush_failed(context: Any) -> None:
    assert context.is_failed
