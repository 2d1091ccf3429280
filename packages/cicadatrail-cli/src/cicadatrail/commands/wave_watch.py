"""The ``wave watch`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from cicadatrail.commands.base import AdminCommand

if TYPE_CHECKING:
    from returns.result import Result

    from cicadatrail.network.admin import AdminClient
    from cicadatrail.network.problems import Problem
    from cicadatrail.utils.replies import Reply
    from cicadatrail_core.models.status import WaveReport


class WaveWatchCommand(AdminCommand):
    """Command that watches a wave until it ends."""

    name = "wave watch"
    description = "Shows the progress of a wave until it is done or aborted."
    arguments: ClassVar[list[Argument]] = [
        argument("wave", description="Id of the wave."),
    ]
    options: ClassVar[list[Option]] = [
        option(
            "wait-limit-s",
            description="Maximum wait in seconds; when it expires, the exit code is 3.",
            flag=False,
            default="28800",
        ),
    ]

    async def perform(self, client: AdminClient) -> Result[Reply, Problem]:
        """Wait until the wave ends and return its final status."""
        from returns.result import Failure

        from cicadatrail.network.problems import BadInput
        from cicadatrail.utils.options import OptionReader
        from cicadatrail.utils.waiting import watch_wave

        reader = OptionReader()
        limit_s = reader.number("--wait-limit-s", self.option("wait-limit-s"))
        if reader.findings:
            return Failure(BadInput(tuple(reader.findings)))
        watched = await watch_wave(client, self.argument("wave"), limit_s, self.io)
        return watched.map(_reply)


def _reply(report: WaveReport) -> Reply:
    from cicadatrail.utils.exit_codes import ExitCode
    from cicadatrail.utils.replies import Reply
    from cicadatrail_core.models.maintenance import WaveStatus
    from cicadatrail_core.models.status import WaveReport
    from cicadatrail_core.utils import codec

    progress = report.progress
    done = progress.status is WaveStatus.DONE
    line = f"wave {progress.wave.wave_id} is {progress.status.value}"
    document = codec.to_map(report, WaveReport)
    return Reply(ExitCode.DONE if done else ExitCode.REFUSED, (line,), document)
