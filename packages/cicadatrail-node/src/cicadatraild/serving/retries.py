"""Retries of requests, within the retry budget and the request's deadline."""

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
    BufferedReply,
    NotRun,
    Reason,
    StreamedReply,
    Unknown,
    read_answer,
)

RETRIED_STATUSES = frozenset({502, 503, 504})
"""Upstream statuses after which another worker may succeed."""

RETRIED_NOT_RUN_REASONS = frozenset({Reason.NOT_CONNECTED, Reason.PEER_LOST})
"""Reasons of a NotRun that need not apply to another worker."""

RETRIED_UNKNOWN_REASONS = frozenset(
    {Reason.NO_ANSWER, Reason.ANSWER_CUT, Reason.PEER_LOST}
)
"""Reasons of an Unknown after which a repeatable request is sent again."""


class RetryRunner:
    """Run a request, retrying it until an attempt's outcome is final.

    Once any byte of a request was sent, it is retried only if it is repeatable.
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
        """Return the answer for the caller.

        The answer is never NotRun once any attempt may have run.
        """
        self._budget.count_first_attempt()
        best: Answer | None = None
        retry_number = 0
        while True:
            attempt = await self._attempt_runner.run(call)
            answer = await read_answer(attempt)
            best = _prefer_stronger(best, answer)
            retry_number += 1
            if not _may_retry(call, answer):
                return best
            if not await self._wait_for_retry(call, retry_number):
                return best
            # The previous attempt may still be charged, so the retry needs its own id.
            request = replace(call.request, request_id=self._new_id())
            call = replace(call, request=request)

    async def _wait_for_retry(self, call: UpstreamCall, retry_number: int) -> bool:
        """Wait before a retry; return False if time or budget doesn't allow one."""
        delay_s = self._budget.delay_s(retry_number, self._random)
        now_s = asyncio.get_running_loop().time()
        if now_s + delay_s >= call.request.deadline_s or not self._budget.try_acquire():
            return False
        self.retry_count += 1
        await asyncio.sleep(delay_s)
        return True


def _may_retry(call: UpstreamCall, answer: Answer) -> bool:
    if not call.body.can_resend:
        return False
    match answer:
        case NotRun(reason=reason):
            return reason in RETRIED_NOT_RUN_REASONS
        case Unknown(reason=reason):
            return call.request.repeatable and reason in RETRIED_UNKNOWN_REASONS
        case BufferedReply(status=status):
            return call.request.repeatable and status in RETRIED_STATUSES
        case StreamedReply():
            return False


def _prefer_stronger(before: Answer | None, after: Answer) -> Answer:
    """Return the answer to report; a possible run is never reported as NotRun."""
    if before is None or isinstance(before, NotRun):
        return after
    if isinstance(after, NotRun):
        return before
    if isinstance(after, Unknown) and isinstance(before, BufferedReply):
        return before
    return after
