"""Typed client of the admin API that falls back to other instances on failure."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any
from urllib.parse import quote, urlencode

from returns.result import Failure, Result, Success

from cicadatrail.network.http import NoResponse, Request, Response, exchange
from cicadatrail.network.problems import (
    BadInput,
    NoVerdict,
    Problem,
    Unreachable,
    WrongToken,
)
from cicadatrail.utils.access import Access, Address
from cicadatrail_core.jobs.explanation import Explanation
from cicadatrail_core.jobs.job_report import JobReport
from cicadatrail_core.models.patches import (
    Accepted,
    Patch,
    Refused,
    UnknownVerdict,
    Verdict,
)
from cicadatrail_core.models.state import HistoryEntry
from cicadatrail_core.models.status import (
    ConfigurationView,
    InstanceStatus,
    verdict_http_status,
)
from cicadatrail_core.utils import codec
from cicadatrail_core.utils.findings import Finding, Findings

OK = 200
BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
TOO_LARGE = 413

_Outcome = Verdict | WrongToken | BadInput | NoVerdict | NoResponse


class AdminClient:
    """Client that calls the given instances in turn until one responds."""

    __slots__ = ("_access", "_timeout_s")

    def __init__(self, access: Access, timeout_s: float) -> None:
        self._access = access
        self._timeout_s = timeout_s

    @property
    def addresses(self) -> tuple[Address, ...]:
        """Return the addresses of the instances given by the operator."""
        return self._access.addresses

    async def read_configuration(self) -> Result[ConfigurationView, Problem]:
        """Return the configuration in force at the first instance that responds."""
        return await self._read("/config", ConfigurationView)

    async def read_history(self) -> Result[tuple[HistoryEntry, ...], Problem]:
        """Return the accepted patches that the instances still keep."""
        return await self._read("/config/history", tuple[HistoryEntry, ...])

    async def read_status(
        self, address: Address | None = None
    ) -> Result[InstanceStatus, Problem]:
        """Return the status of ``address``, or of the first instance that responds."""
        return await self._read("/status", InstanceStatus, address)

    async def read_job(self, job_id: str) -> Result[JobReport, Problem]:
        """Return the report on a job from the first instance that has it."""
        return await self._read(f"/jobs/{quote(job_id, safe='')}", JobReport)

    async def explain_job(
        self, body: bytes, queue: str, team: str
    ) -> Result[Explanation, Problem]:
        """Return where a job would go now, from the first instance that leads."""
        target = f"/explanations?{urlencode({'queue': queue, 'team': team})}"
        request = Request("POST", target, self._access.token, body)
        return await self._exchange(request, Explanation, self.addresses)

    async def submit(self, patch: Patch) -> Result[Verdict, Problem]:
        """Submit a patch to the instances in turn until one decides on it.

        Every attempt sends the same patch id, so a repeat gets the first verdict.
        A problem means that the patch was not applied. If it may have been, the
        result is a verdict, ``UnknownVerdict`` if no instance returned one.
        """
        body = json.dumps(codec.to_map(patch, Patch)).encode()
        request = Request("POST", "/patches", self._access.token, body)
        outcomes = await self._request_verdict(request, patch.patch_id)
        unanswered = [
            item for item in outcomes if isinstance(item, NoResponse) and item.sent
        ]
        decided = isinstance(outcomes[-1], Accepted | Refused)
        if unanswered and not decided:
            faults = "; ".join(str(_to_finding(item)) for item in unanswered)
            return Success(
                UnknownVerdict(patch.patch_id, f"no verdict was received ({faults})")
            )
        return _select_result(outcomes)

    async def read_verdict(self, patch_id: str) -> Result[Verdict, Problem]:
        """Return the verdict of a patch that was already submitted."""
        target = f"/patches/{quote(patch_id, safe='')}"
        request = Request("GET", target, self._access.token)
        return _select_result(await self._request_verdict(request, patch_id))

    async def _request_verdict(self, request: Request, patch_id: str) -> list[_Outcome]:
        """Call instances in turn until one gives a final outcome; return them all."""
        outcomes: list[_Outcome] = []
        for address in self.addresses:
            exchanged = await exchange(address, request, self._timeout_s)
            if isinstance(exchanged, Failure):
                outcomes.append(exchanged.failure())
                continue
            outcome = _read_outcome(exchanged.unwrap(), address, patch_id)
            outcomes.append(outcome)
            if not isinstance(outcome, NoResponse | NoVerdict | UnknownVerdict):
                break
        return outcomes

    async def _read(
        self, target: str, as_type: Any, address: Address | None = None
    ) -> Result[Any, Problem]:
        request = Request("GET", target, self._access.token)
        addresses = (address,) if address else self.addresses
        return await self._exchange(request, as_type, addresses)

    async def _exchange(
        self, request: Request, as_type: Any, addresses: Sequence[Address]
    ) -> Result[Any, Problem]:
        findings: list[Finding] = []
        for target_address in addresses:
            exchanged = await exchange(target_address, request, self._timeout_s)
            if isinstance(exchanged, Failure):
                findings.append(_to_finding(exchanged.failure()))
                continue
            response = exchanged.unwrap()
            if response.status == UNAUTHORIZED:
                return Failure(WrongToken(target_address))
            if request.body and response.status == BAD_REQUEST:
                return Failure(_read_bad_input(response, target_address))
            if request.body and response.status == TOO_LARGE:
                return Failure(BadInput((Finding("body", "is too large"),)))
            if response.status != OK:
                findings.append(
                    Finding(str(target_address), f"answered {response.status}")
                )
                continue
            match _decode_json(response.body, as_type):
                case Success(value):
                    return Success(value)
                case Failure(faults):
                    findings += _findings_at(target_address, faults)
        return Failure(Unreachable(tuple(findings)))


def _read_outcome(response: Response, address: Address, patch_id: str) -> _Outcome:
    """Return the outcome that the response states.

    A verdict counts only if it is for the requested patch and matches the HTTP
    status.
    """
    if response.status == UNAUTHORIZED:
        return WrongToken(address)
    if response.status == NOT_FOUND:
        return NoVerdict(patch_id)
    if response.status == BAD_REQUEST:
        return _read_bad_input(response, address)
    verdict = _decode_json(response.body, Verdict).value_or(None)
    if verdict is None:
        return NoResponse(
            address, f"answered {response.status} without a verdict", True
        )
    if verdict.patch_id != patch_id:
        return NoResponse(address, "returned the verdict of another patch", True)
    if verdict_http_status(verdict) != response.status:
        return NoResponse(
            address,
            f"answered {response.status} with a mismatched verdict",
            True,
        )
    return verdict  # type: ignore[no-any-return]


def _read_bad_input(response: Response, address: Address) -> BadInput:
    read: Result[Any, Findings] = _decode_json(response.body, dict[str, Findings])
    document: dict[str, Findings] = read.value_or({"findings": ()})
    findings = document.get("findings", ())
    return BadInput(
        findings or (Finding(str(address), "rejected the request as invalid"),)
    )


def _select_result(outcomes: Sequence[_Outcome]) -> Result[Verdict, Problem]:
    """Return the most conclusive outcome: a verdict or the reason for having none."""
    match outcomes[-1]:
        case Accepted() | Refused() as verdict:
            return Success(verdict)
        case WrongToken() | BadInput() as problem:
            return Failure(problem)
    for outcome in outcomes:
        if isinstance(outcome, UnknownVerdict):
            return Success(outcome)
    for outcome in outcomes:
        if isinstance(outcome, NoVerdict):
            return Failure(outcome)
    unanswered = (item for item in outcomes if isinstance(item, NoResponse))
    return Failure(Unreachable(tuple(map(_to_finding, unanswered))))


def _to_finding(failure: NoResponse) -> Finding:
    return Finding(str(failure.address), failure.fault)


def _decode_json(body: bytes, as_type: Any) -> Result[Any, Findings]:
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError):
        return Failure((Finding("$", "did not respond with JSON"),))
    return codec.from_map(raw, as_type)


def _findings_at(address: Address, faults: Findings) -> list[Finding]:
    return [Finding(str(address), str(fault)) for fault in faults]
