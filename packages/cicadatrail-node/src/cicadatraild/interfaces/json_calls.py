"""Calls to JSON services that return failures as values."""

from __future__ import annotations

import json
from typing import Any

from returns.result import Failure, Result, Success

from cicadatrail_core.models.platform import PlatformError
from cicadatrail_core.utils import codec
from cicadatraild.network.http_client import Address, ClientFault, ConnectionPool

ANSWER_LIMIT_BYTES = 8 * 1024 * 1024
"""Largest accepted response."""


async def call_json(
    pool: ConnectionPool,
    address: Address,
    method: str,
    target: str,
    as_type: Any,
    timeout_s: float,
) -> Result[Any, PlatformError]:
    """Call a service and decode its JSON response as ``as_type``.

    With None as ``as_type`` the content of the response is ignored.
    """
    fetched = await pool.fetch(
        address,
        method,
        target,
        timeout_s=timeout_s,
        body_limit_bytes=ANSWER_LIMIT_BYTES,
    )
    if not isinstance(fetched, Success):
        error = fetched.failure()
        maybe_done = error.fault is not ClientFault.NOT_SENT
        return Failure(PlatformError(str(error), maybe_done))
    response = fetched.unwrap()
    if response.status >= 300:
        return Failure(PlatformError(f"status {response.status}", True))
    try:
        raw = json.loads(response.body or b"null")
    except ValueError:
        return Failure(PlatformError("the response is not JSON", True))
    if as_type is None:
        return Success(None)
    match codec.from_map(raw, as_type):
        case Success(value):
            return Success(value)
        case Failure(findings):
            faults = "; ".join(str(finding) for finding in findings[:3])
            return Failure(PlatformError(f"the response is malformed: {faults}", True))
    raise AssertionError("a result is a success or a failure")
