"""Fake admin listener for tests of the command line, backed by the real fold."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from dataclasses import dataclass, field, replace
from hashlib import sha256
from typing import Any

import h11

from cicadatrail_core.fold.apply import fold_record
from cicadatrail_core.models.maintenance import WaveStatus
from cicadatrail_core.models.patches import Patch, UnknownVerdict, Verdict
from cicadatrail_core.models.records import PatchRecord
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import HistoryEntry, State
from cicadatrail_core.models.status import (
    Alarm,
    AlarmName,
    ConfigurationView,
    InstanceStatus,
    LogCondition,
    LogState,
    MemberStatus,
    TeamStatus,
    WaveReport,
    verdict_http_status,
    view_configuration,
)
from cicadatrail_core.utils import codec
from cicadatrail_core.utils.keys import token_matches

TOKEN = "example-token"
TOKEN_SHA256_HEX = sha256(TOKEN.encode()).hexdigest()
HUGE_BODY_BYTES = 17 * 1024 * 1024


@dataclass(slots=True)
class FakeLog:
    """The state that all fake instances share, and the patches they received."""

    state: State = State()
    patches: list[Patch] = field(default_factory=list)

    def submit(self, patch: Patch) -> Verdict:
        self.patches.append(patch)
        record = PatchRecord(patch)
        self.state = fold_record(self.state, self.state.next_offset, record)
        return self.state.verdicts[patch.patch_id]


@dataclass(slots=True)
class FakeAdmin:
    """The admin listener of one instance; ``fault`` names the fault it injects.

    It reports the newest version only after ``lag_count`` reads of its status,
    and never if that is negative. Each read reports the next of ``wave_statuses``;
    the last one is repeated.
    """

    instance_id: str
    log: FakeLog
    fault: str = "none"
    lag_count: int = 0
    wave_statuses: list[WaveStatus] = field(default_factory=list)
    noise: bytes = b""
    port: int = 0
    members: tuple[MemberStatus, ...] = ()
    seen: list[tuple[str, str, bytes]] = field(default_factory=list)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        if self.fault == "down":
            await self.stop()

    async def stop(self) -> None:
        if self.server:
            self.server.close()
            await self.server.wait_closed()
            self.server = None

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = h11.Connection(h11.SERVER)
        with suppress(OSError):
            request, body = await _read_request(connection, reader)
            target = request.target.decode()
            self.seen.append((request.method.decode(), target, body))
            if self.fault == "silent":
                await reader.read()
            elif self.fault == "noise":
                writer.write(self.noise)
                await writer.drain()
            else:
                await self._answer(connection, writer, request, body)
        writer.close()

    async def _answer(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        request: h11.Request,
        body: bytes,
    ) -> None:
        status, document = self._route(request, body)
        answer = json.dumps(document).encode()
        length = len(answer)
        match self.fault:
            case "lost":
                return
            case "failing":
                status = 500
            case "page":
                answer = b"<html>it works</html>"
            case "truncated":
                answer = answer[: length // 2]
            case "huge":
                answer = b" " * HUGE_BODY_BYTES
        if self.fault != "truncated":
            length = len(answer)
        headers = [("Content-Length", str(length)), ("Connection", "close")]
        head = connection.send(h11.Response(status_code=status, headers=headers))
        writer.write((head or b"") + answer)
        await writer.drain()

    def _route(self, request: h11.Request, body: bytes) -> tuple[int, Any]:
        headers = dict(request.headers)
        token = headers.get(b"authorization", b"").decode().removeprefix("Bearer ")
        if self.fault == "wrong token" or not token_matches(token, TOKEN_SHA256_HEX):
            return 401, {}
        match (request.method, request.target.decode()):
            case (b"GET", "/config"):
                view = view_configuration(self.log.state)
                return 200, codec.to_map(view, ConfigurationView)
            case (b"GET", "/config/history"):
                history = self.log.state.history
                return 200, codec.to_map(history, tuple[HistoryEntry, ...])
            case (b"GET", "/status"):
                return 200, codec.to_map(self._status(), InstanceStatus)
            case (b"POST", "/patches"):
                return self._submit_patch(body)
            case (b"GET", target) if target.startswith("/patches/"):
                return self._find_verdict(target.removeprefix("/patches/"))
        return 404, {}

    def _submit_patch(self, body: bytes) -> tuple[int, Any]:
        patch = codec.from_map(json.loads(body), Patch).unwrap()
        match self.fault:
            case "bad input":
                return 400, {"findings": [{"place": "operations", "fault": "odd"}]}
            case "log down once":
                self.fault = "none"
                return self._encode_verdict(
                    UnknownVerdict(patch.patch_id, "the log is down")
                )
            case "log down":
                return self._encode_verdict(
                    UnknownVerdict(patch.patch_id, "the log is down")
                )
            case "forgetful":
                return 404, {}
        verdict = self.log.submit(patch)
        if self.fault == "crossed":
            verdict = replace(verdict, patch_id="another")
        if self.fault == "mismatched":
            return 409, self._encode_verdict(verdict)[1]
        return self._encode_verdict(verdict)

    def _find_verdict(self, patch_id: str) -> tuple[int, Any]:
        verdict = self.log.state.verdicts.get(patch_id)
        return (404, {}) if verdict is None else self._encode_verdict(verdict)

    def _encode_verdict(self, verdict: Verdict) -> tuple[int, Any]:
        return verdict_http_status(verdict), codec.to_map(verdict, Verdict)

    def _status(self) -> InstanceStatus:
        state = self.log.state
        version = state.version if self.lag_count == 0 else 0
        self.lag_count -= self.lag_count > 0
        waves = tuple(map(WaveReport, state.waves.values()))
        if self.wave_statuses:
            status = self.wave_statuses[0]
            del self.wave_statuses[: len(self.wave_statuses) > 1]
            waves = tuple(
                WaveReport(replace(report.progress, status=status), 90.0)
                for report in waves
            )
        return InstanceStatus(
            instance_id=self.instance_id,
            incarnation=IncarnationId(f"{self.instance_id}#1"),
            data_centre="ro-a",
            version=version,
            next_offset=state.next_offset,
            log_state=LogState(LogCondition.DOWN, 12.0),
            members=self.members,
            teams=(TeamStatus("weddings", 3, 1, 20, 0.4, 0.25),),
            waves=waves,
            alarms=(Alarm(AlarmName.LOG_DOWN, 12.0, "<b>no\x1banswer</b>"),),
        )


async def _read_request(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> tuple[h11.Request, bytes]:
    request: h11.Request | None = None
    body = b""
    while True:
        match connection.next_event():
            case h11.NEED_DATA:
                connection.receive_data(await reader.read(65536))
            case h11.Request() as request:
                pass
            case h11.Data(data=data):
                body += data
            case h11.EndOfMessage() if request:
                return request, body
            case _:
                raise ConnectionError("the caller closed the connection")
