"""Repeats attempts of a request where that is allowed and may help."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

from cicadatrail_core.admission.retry_budget import RetryBudget
from cicadatraild.serving.attempt_runner import AttemptRunner
from cicadatraild.serving.calls import UpstreamCall
from cicadatraild.serving.outcomes import (
    Answer,
    LongReply,
    NotRun,
    Reason,
    Unknown,
    WholeReply,
    read_answer,
)

RETRIED_STATUSES = frozenset({502, 503, 504})
"""Statuses by which an upstream says that another may do better."""

NOT_SENT_REASONS = frozenset({Reason.NOT_CONNECTED, Reason.PEER_LOST})
"""Reasons of a NotRun that another worker may not have."""

RETRIED_REASONS = frozenset({Reason.NO_ANSWER, Reason.ANSWER_CUT, Reason.PEER_LOST})
"""Reasons of an Unknown after which an idempotent request is sent again."""


class RetryRunner:
    """Run a request until an attempt's outcome may be told.

    Only a repeatable request is sent again after a byte of it has left.
    """

    __slots__ = ("_attempt_runner", "_budget", "_new_id", "_random", "retry_count")

    def __init__(
        self,
        attempt_runner: AttemptRunner,
        budget: RetryBudget,
        random_source: random.Random,
        new_id: Callable[[], str],
    ) -> None:
        self._attempt_runner = attempt_runner
        self._budget = budget
        self._random = random_source
        self._new_id = new_id
        self.retry_count = 0

    async def run(self, call: UpstreamCall) -> Answer:
        """Return what is told to the caller.

        Once an attempt may have run, the answer is never NotRun.
        """
        self._budget.count_first_attempt()
        best: Answer | None = None
        retry_number = 0
        while True:
            attempt = await self._attempt_runner.run(call)
            answer = await read_answer(attempt)
            best = _better(best, answer)
            retry_number += 1
            if not _may_repeat(call, answer):
                return best
            if not await self._pause(call, retry_number):
                return best
            # The task before may still be charged: this one has its own id.
            request = replace(call.request, request_id=self._new_id())
            call = replace(call, request=request)

    async def _pause(self, call: UpstreamCall, retry_number: int) -> bool:
        """Wait before a retry; tell whether there is time and budget for one."""
        delay_s = self._budget.delay_s(retry_number, self._random)
        now_s = asyncio.get_running_loop().time()
        if now_s + delay_s >= call.request.deadline_s or not self._budget.try_spend():
            return False
        self.retry_count += 1
        await asyncio.sleep(delay_s)
        return True


def _may_repeat(call: UpstreamCall, answer: Answer) -> bool:
    if not call.body.can_repeat:
        return False
    match answer:
        case NotRun(reason=reason):
            return reason in NOT_SENT_REASONS
        case Unknown(reason=reason):
            return call.request.repeatable and reason in RETRIED_REASONS
        case WholeReply(status=status):
            return call.request.repeatable and status in RETRIED_STATUSES
        case LongReply():
            return False


def _better(before: Answer | None, after: Answer) -> Answer:
    """Return the truer answer: what may have run is not told as not run."""
    if before is None or isinstance(before, NotRun):
        return after
    if isinstance(after, NotRun):
        return before
    if isinstance(after, Unknown) and isinstance(before, WholeReply):
        return before
    return after
