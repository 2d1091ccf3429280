"""Client of the platform's store of keyed topics, with fenced appends."""

from __future__ import annotations

import base64
import json
import logging
import struct
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from returns.result import Success

from cicadatraild.network.client_exchange import Address, WholeResponse
from cicadatraild.network.http_client import ConnectionPool

logger = logging.getLogger("cicadatrail.store")

CONNECT_TIMEOUT_S = 0.5
"""Time to open a connection; the store's stated response time is 4 ms."""

APPEND_TIMEOUT_S = 1.0
"""Time limit of an append: 60 times the stated response time including queueing."""

READ_TIMEOUT_S = 1.0
"""Time limit of a read, in addition to the time that it may wait at the store."""

IDLE_LIMIT_S = 15.0
"""Time after which an idle connection is no longer used."""

RECORD_HEAD = struct.Struct(">I")
OFFSETS_HEAD = struct.Struct(">QQ")

CONFIGURATION_TOPIC = "keyed.op"
WORKERS_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"

CONFIGURATION_KEY = "config"
WAVE_KEY_PREFIX = "wave/"
EVACUATION_KEY_PREFIX = "evacuate/"
JOBS_TOPIC = "keyed.jobs"
LEADER_TOPIC = "keyed.holder"


class StoreUnavailableError(Exception):
    """A call got no usable answer; with ``may_have_run`` it may have taken effect."""

    def __init__(self, reason: str, may_have_run: bool) -> None:
        super().__init__(reason)
        self.may_have_run = may_have_run


class FencedError(Exception):
    """A leader with a higher epoch now writes to the topic."""


class PositionError(Exception):
    """A topic does not end at the offset that a conditional append expects."""


class RecordsDroppedError(Exception):
    """The requested records are no longer in the store."""


class SequenceError(Exception):
    """An append is out of sequence; ``expected`` is the next sequence number."""

    def __init__(self, expected: int) -> None:
        super().__init__(f"append is out of sequence: expected number {expected}")
        self.expected = expected


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """Record of a key; ``value`` is None when the key was deleted."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class NewestPage:
    """Newest records of some keys of a topic that ends at ``end``."""

    records: tuple[KeyedRecord, ...]
    end: int
    has_more: bool


@dataclass(frozen=True, slots=True)
class Producer:
    """Producer, epoch and sequence number of a fenced append by one leader."""

    name: str
    epoch: int
    sequence: int


class StoreClient:
    """Client of the store; all calls may raise StoreUnavailableError."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self.pool = ConnectionPool(CONNECT_TIMEOUT_S, IDLE_LIMIT_S)
        self.call_count = 0

    async def append(
        self,
        topic: str,
        records: Sequence[KeyedRecord],
        *,
        producer: Producer | None = None,
        expected_end: int | None = None,
    ) -> int:
        """Append records to a keyed topic atomically; return its new end offset.

        An append without records only sets the producer's epoch.

        Raises FencedError, PositionError or SequenceError.
        """
        query: dict[str, object] = {"topic": topic, "part": 0}
        if producer is not None:
            query["producer"] = producer.name
            query["epoch"] = producer.epoch
            query["seq"] = producer.sequence
        if expected_end is not None:
            query["at"] = expected_end
        body = b"".join(_encode_record(record) for record in records)
        response = await self._call(
            "POST",
            f"/cicadatrail/log-append?{urlencode(query)}",
            body,
            APPEND_TIMEOUT_S,
        )
        match response.status:
            case 200:
                return _end_offset(response)
            case 409 if _json(response).get("reason") == "seq":
                raise SequenceError(_expected_sequence(response))
            case 409:
                raise FencedError(response.body.decode("utf-8", "replace"))
            case 412:
                raise PositionError
        raise StoreUnavailableError(f"append: {response.status}", may_have_run=False)

    async def read_newest(self, topic: str) -> tuple[list[KeyedRecord], int]:
        """Return the newest record of each key, and the offset to continue from.

        The offset is the one of the first page, so that a change made while later
        pages are read is not missed.
        """
        records: list[KeyedRecord] = []
        end = -1
        while True:
            page = await self.read_newest_page(
                topic, records[-1].key if records else ""
            )
            end = page.end if end < 0 else end
            records += page.records
            if not page.has_more:
                return records, end

    async def read_newest_page(
        self, topic: str, after: str, timeout_s: float = READ_TIMEOUT_S
    ) -> NewestPage:
        """Return the newest record of each key of a page, which follows a key."""
        query: dict[str, object] = {"topic": topic, "part": 0}
        if after:
            query["after"] = after
        response = await self._call(
            "GET", f"/cicadatrail/log-newest?{urlencode(query)}", b"", timeout_s
        )
        if response.status != 200:
            reason = f"newest: {response.status}"
            raise StoreUnavailableError(reason, may_have_run=False)
        page = _json(response)
        records = tuple(
            KeyedRecord(item["key"], base64.b64decode(item["value"]))
            for item in page["items"]
        )
        has_more = bool(page.get("more")) and bool(records)
        return NewestPage(records, int(page["end"]), has_more)

    async def read(
        self, topic: str, offset: int, wait_ms: int
    ) -> tuple[list[KeyedRecord], int]:
        """Return the records from ``offset`` on, and the next offset.

        Waits up to ``wait_ms`` milliseconds for a record. Raises
        RecordsDroppedError.
        """
        query = {"topic": topic, "part": 0, "from": offset, "wait-ms": wait_ms}
        response = await self._call(
            "GET",
            f"/cicadatrail/log-read?{urlencode(query)}",
            b"",
            READ_TIMEOUT_S + wait_ms / 1000,
        )
        if response.status == 410:
            raise RecordsDroppedError
        if response.status != 200:
            reason = f"read: {response.status}"
            raise StoreUnavailableError(reason, may_have_run=False)
        records = _decode_records(response.body)
        return records, offset + len(records)

    async def _call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> WholeResponse:
        self.call_count += 1
        result = await self.pool.fetch(
            self._address, method, target, body=body, timeout_s=timeout_s
        )
        if isinstance(result, Success):
            response: WholeResponse = result.unwrap()
            return response
        raise StoreUnavailableError(str(result.failure()), may_have_run=True)


def _json(response: WholeResponse) -> dict[str, Any]:
    try:
        value = json.loads(response.body or b"{}")
    except ValueError as error:
        raise StoreUnavailableError(
            f"response is not JSON: {error}", may_have_run=True
        ) from error
    return value if isinstance(value, dict) else {}


def _end_offset(response: WholeResponse) -> int:
    end = _json(response).get("end")
    if type(end) is not int:
        raise StoreUnavailableError("append: no end offset", may_have_run=True)
    return end


def _expected_sequence(response: WholeResponse) -> int:
    numbers = [v for v in _json(response).values() if isinstance(v, int)]
    return numbers[0] if numbers else 0


def _encode_record(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    content = bytes([len(key)]) + key + (record.value or b"")
    return RECORD_HEAD.pack(len(content)) + content


def _decode_records(body: bytes) -> list[KeyedRecord]:
    """Decode the records of a page, which begins with two offsets.

    A record that is truncated at the end is left out.
    """
    records = []
    position = OFFSETS_HEAD.size
    while position + RECORD_HEAD.size <= len(body):
        (length,) = RECORD_HEAD.unpack_from(body, position)
        position += RECORD_HEAD.size
        content = body[position : position + length]
        if len(content) < length:
            break
        position += length
        key_length = content[0] if content else 0
        key = content[1 : 1 + key_length].decode("utf-8", "replace")
        value = content[1 + key_length :]
        records.append(KeyedRecord(key, value or None))
    return records
