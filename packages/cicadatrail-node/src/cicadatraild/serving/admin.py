"""Admin API for operators: patches, configuration, status and metrics."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any
from urllib.parse import unquote, urlsplit

from returns.result import Failure, Result, Success

from cicadatrail_core.models.patches import (
    Accepted,
    Patch,
    Refused,
    UnknownVerdict,
    Verdict,
)
from cicadatrail_core.models.records import PatchRecord
from cicadatrail_core.models.state import HistoryEntry, State
from cicadatrail_core.models.status import (
    ConfigurationView,
    InstanceStatus,
    verdict_http_status,
    view_configuration,
)
from cicadatrail_core.utils import codec
from cicadatrail_core.utils.findings import Finding, Findings
from cicadatrail_core.utils.keys import token_matches
from cicadatraild.network.http_server import (
    BodyIncompleteError,
    BodyTooLargeError,
    HttpExchange,
)
from cicadatraild.sharing.appender import Appender
from cicadatraild.sharing.replica import Replica

logger = logging.getLogger("cicadatrail.admin")

VERDICT_TIMEOUT_S = 4.0
"""Longest wait for a patch's verdict; after it the verdict is reported as unknown."""

_RETRY_ADVICE = "ask again by the patch id, or send the same patch again"

JSON = ((b"Content-Type", b"application/json"),)
TEXT = ((b"Content-Type", b"text/plain; version=0.0.4"),)


class AdminApi:
    """Serve requests that carry the operators' bearer token; metrics need none."""

    __slots__ = (
        "_appender",
        "_may_report",
        "_metrics",
        "_replica",
        "_status",
        "_token_sha256_hex",
    )

    def __init__(
        self,
        replica: Replica,
        appender: Appender,
        token_sha256_hex: str,
        may_report: Callable[[int], bool],
        status: Callable[[], InstanceStatus],
        metrics: Callable[[], bytes],
    ) -> None:
        self._replica = replica
        self._appender = appender
        self._token_sha256_hex = token_sha256_hex
        self._may_report = may_report
        self._status = status
        self._metrics = metrics

    async def serve(self, exchange: HttpExchange) -> None:
        """Handle one request on the admin listener."""
        path = urlsplit(exchange.target).path
        parts = tuple(unquote(part) for part in path.split("/")[1:])
        if exchange.method == "GET" and parts == ("metrics",):
            await exchange.respond(200, self._metrics(), TEXT)
            return
        if not self._is_operator(exchange):
            await _respond(exchange, 401, _findings_map("authorization", "is wrong"))
            return
        await self._serve_operator(exchange, parts)

    async def _serve_operator(
        self, exchange: HttpExchange, parts: tuple[str, ...]
    ) -> None:
        state = self._replica.state
        match exchange.method, parts:
            case "POST", ("patches",):
                await self._handle_patch(exchange)
            case "GET", ("patches", patch_id):
                await _respond_verdict(exchange, self._find_verdict(state, patch_id))
            case "GET", ("config",):
                view = view_configuration(state)
                await _respond(exchange, 200, codec.to_map(view, ConfigurationView))
            case "GET", ("config", "history"):
                await _respond(exchange, 200, _history_map(state))
            case "GET", ("status",):
                status = codec.to_map(self._status(), InstanceStatus)
                await _respond(exchange, 200, status)
            case _, ("patches" | "config" | "status", *_):
                await _respond(exchange, 405, _findings_map("method", "is not served"))
            case _:
                await _respond(exchange, 404, _findings_map("path", "is not known"))

    def _is_operator(self, exchange: HttpExchange) -> bool:
        values = exchange.header_values(b"authorization")
        if len(values) != 1 or not values[0].startswith("Bearer "):
            return False
        return token_matches(values[0][len("Bearer ") :], self._token_sha256_hex)

    async def _handle_patch(self, exchange: HttpExchange) -> None:
        match await _read_patch(exchange):
            case Success(patch):
                await _respond_verdict(exchange, await self._submit(patch))
            case Failure(findings):
                await _respond(exchange, 400, _findings_list(findings))

    async def _submit(self, patch: Patch) -> Verdict:
        """Append the patch to the log and wait for its verdict.

        A patch whose verdict is known already, from an earlier submission, is not
        appended again.
        """
        known = patch.patch_id in self._replica.state.verdicts
        if not known and not self._appender.add(PatchRecord(patch)):
            return UnknownVerdict(patch.patch_id, _RETRY_ADVICE)
        try:
            async with asyncio.timeout(VERDICT_TIMEOUT_S):
                await self._replica.wait_for(
                    lambda state: self._may_report_verdict(state, patch.patch_id)
                )
        except TimeoutError:
            return UnknownVerdict(patch.patch_id, _RETRY_ADVICE)
        verdict = self._replica.state.verdicts[patch.patch_id]
        logger.info(
            "admin: patch %s: verdict %s.", patch.patch_id, type(verdict).__name__
        )
        return verdict

    def _find_verdict(self, state: State, patch_id: str) -> Verdict | None:
        if patch_id in state.verdicts and not self._may_report_verdict(state, patch_id):
            return UnknownVerdict(patch_id, _RETRY_ADVICE)
        return state.verdicts.get(patch_id)

    def _may_report_verdict(self, state: State, patch_id: str) -> bool:
        """Return whether a verdict is known and survives the loss of this instance.

        An accepted patch must be known to enough members that the others can't
        proceed without it while the log is unavailable.
        """
        match state.verdicts.get(patch_id):
            case Accepted(offset=offset):
                return self._may_report(offset)
            case Refused():
                return True
            case None:
                return False


async def _read_patch(exchange: HttpExchange) -> Result[Patch, Findings]:
    try:
        raw = json.loads(await exchange.read_body())
    except BodyTooLargeError:
        return Failure((Finding("$", "is too long"),))
    except (ValueError, RecursionError, BodyIncompleteError) as error:
        return Failure((Finding("$", f"is not JSON ({error})"),))
    return codec.from_map(raw, Patch)


async def _respond_verdict(exchange: HttpExchange, verdict: Verdict | None) -> None:
    if verdict is None:
        await _respond(exchange, 404, _findings_map("patch_id", "has no verdict here"))
        return
    status = verdict_http_status(verdict)
    await _respond(exchange, status, codec.to_map(verdict, Verdict))


def _history_map(state: State) -> Any:
    return codec.to_map(state.history, tuple[HistoryEntry, ...])


def _findings_map(place: str, fault: str) -> dict[str, Any]:
    return _findings_list((Finding(place, fault),))


def _findings_list(findings: Findings) -> dict[str, Any]:
    return {"findings": [{"place": f.place, "fault": f.fault} for f in findings]}


async def _respond(exchange: HttpExchange, status: int, value: Any) -> None:
    await exchange.respond(status, json.dumps(value).encode(), JSON)
