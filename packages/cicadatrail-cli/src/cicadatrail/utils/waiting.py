"""Waiting with a time limit for a verdict, a version in force or the end of a wave."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from cleo.formatters.formatter import Formatter
from cleo.io.io import IO
from cleo.ui.progress_bar import ProgressBar
from returns.result import Failure, Result, Success

from cicadatrail.network.admin import AdminClient
from cicadatrail.network.problems import BadInput, Problem, WaitTimeout, WrongToken
from cicadatrail.utils.access import Address, parse_address
from cicadatrail.utils.replies import printable
from cicadatrail_core.models.maintenance import StepStatus, WaveStatus
from cicadatrail_core.models.patches import (
    Accepted,
    Patch,
    Refused,
    UnknownVerdict,
    Verdict,
)
from cicadatrail_core.models.status import InstanceStatus, WaveReport
from cicadatrail_core.utils.findings import Finding

POLL_S = 0.2
"""Interval in seconds between status polls after a patch."""

SUBMIT_AGAIN_S = 1.0
"""Delay in seconds before a patch without a verdict is resubmitted."""

WAVE_POLL_S = 1.0
"""Interval in seconds between polls of a wave."""

BAR_FORMAT = " %current%/%max% [%bar%] %message%"


@dataclass(frozen=True, slots=True)
class Rollout:
    """Instances known to have reached a version, and those not known to."""

    reached: frozenset[str]
    missing: frozenset[str]


class ProgressDisplay:
    """Progress bar on the error output, whose total may change while it is shown."""

    __slots__ = ("_bar", "_drawn", "_io", "_maximum")

    def __init__(self, io: IO) -> None:
        self._io = io
        self._bar = ProgressBar(io, min_seconds_between_redraws=0)
        self._bar.set_format(BAR_FORMAT)
        self._maximum = 0
        self._drawn: tuple[int, int, str] | None = None

    def update(
        self, done_count: int, total_count: int, message: str, forecast: str = ""
    ) -> None:
        """Draw the bar.

        A change of ``forecast`` alone is drawn only on a terminal.
        """
        drawn = (done_count, total_count, message)
        if drawn == self._drawn and not self._io.error_output.is_decorated():
            return
        self._drawn = drawn
        self._bar.set_message(Formatter.escape(printable(message + forecast)))
        if total_count != self._maximum:
            self._maximum = total_count
            self._bar.start(total_count)
        self._bar.set_progress(done_count)

    def finish(self) -> None:
        """Draw the bar a last time and end its line."""
        self._bar.display()
        self._io.error_output.write_line("")


async def wait_for_verdict(
    client: AdminClient, patch: Patch, unknown: UnknownVerdict, limit_s: float
) -> Verdict:
    """Resubmit the patch until a verdict is received or the time limit expires.

    A query by patch id would not suffice, because the patch may never have been
    received. Return ``unknown`` if the limit expires.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + limit_s
    while loop.time() < deadline_s:
        await asyncio.sleep(SUBMIT_AGAIN_S)
        match await client.submit(patch):
            case Success(UnknownVerdict()):
                pass
            case Success(Accepted() | Refused() as verdict):
                return verdict
    return unknown


async def wait_for_version(
    client: AdminClient, version: int, limit_s: float, io: IO
) -> Rollout:
    """Wait until all instances have reached ``version`` or the time limit expires."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + limit_s
    progress = ProgressDisplay(io)
    while True:
        rollout = await _poll_instances(client, version)
        total_count = len(rollout.reached) + len(rollout.missing)
        message = ", ".join(sorted(rollout.missing)) or "all instances have reached it"
        progress.update(len(rollout.reached), total_count, message)
        if not rollout.missing or loop.time() >= deadline_s:
            progress.finish()
            return rollout
        await asyncio.sleep(POLL_S)


async def _poll_instances(client: AdminClient, version: int) -> Rollout:
    """Poll the given instances, then the other members that they report."""
    statuses = await _read_statuses(client, set(client.addresses))
    asked = set(client.addresses)
    others = {
        address
        for status in statuses
        for member in status.members
        if (address := parse_address(member.admin_address or "")) is not None
    }
    statuses += await _read_statuses(client, others - asked)
    versions: dict[str, int] = {}
    for status in statuses:
        _keep_highest(versions, status.instance_id, status.version)
        for member in status.members:
            _keep_highest(versions, member.instance_id, member.version)
    reached = frozenset(name for name, seen in versions.items() if seen >= version)
    missing = frozenset(versions) - reached
    return Rollout(reached, missing or _no_answer_placeholder(versions))


def _no_answer_placeholder(versions: dict[str, int]) -> frozenset[str]:
    return frozenset() if versions else frozenset({"(no instance answers)"})


def _keep_highest(versions: dict[str, int], name: str, version: int | None) -> None:
    """Record a version unless a higher one is known: versions never go back."""
    known = -1 if version is None else version
    versions[name] = max(versions.get(name, -1), known)


async def _read_statuses(
    client: AdminClient, addresses: set[Address]
) -> list[InstanceStatus]:
    calls = (client.read_status(address) for address in addresses)
    answers = await asyncio.gather(*calls)
    return [answer.unwrap() for answer in answers if isinstance(answer, Success)]


async def watch_wave(
    client: AdminClient, wave_id: str, limit_s: float, io: IO
) -> Result[WaveReport, Problem]:
    """Return the report on the wave once it is done or aborted.

    Calls that fail are retried until the time limit expires, except when the token
    is rejected.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + limit_s
    progress = ProgressDisplay(io)
    problem: Problem = WaitTimeout(f"no status of wave {wave_id} was received")
    while True:
        read = await client.read_status()
        if isinstance(read, Failure):
            problem = read.failure()
        else:
            report = _find_wave(read.unwrap(), wave_id)
            if report is None:
                return Failure(BadInput((Finding("wave", f"{wave_id!r} is unknown"),)))
            _show_wave(progress, report)
            status = report.progress.status
            if status in (WaveStatus.DONE, WaveStatus.ABORTED):
                progress.finish()
                return Success(report)
            problem = WaitTimeout(f"wave {wave_id} is still {status.value}")
        if isinstance(problem, WrongToken) or loop.time() >= deadline_s:
            return Failure(problem)
        await asyncio.sleep(WAVE_POLL_S)


def _find_wave(status: InstanceStatus, wave_id: str) -> WaveReport | None:
    for report in status.waves:
        if report.progress.wave.wave_id == wave_id:
            return report
    return None


def _show_wave(progress: ProgressDisplay, report: WaveReport) -> None:
    wave = report.progress
    done_count = sum(step is StepStatus.DONE for _, step in wave.steps)
    message = wave.status.value
    if wave.pause_reason:
        message += f": {wave.pause_reason}"
    forecast = ""
    if report.remaining_s is not None:
        forecast = f", forecast to end in {report.remaining_s:.0f} s"
    progress.update(done_count, len(wave.steps), message, forecast)
