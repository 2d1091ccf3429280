"""The ``config history`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cicadatrail.commands.base import AdminCommand

if TYPE_CHECKING:
    from returns.result import Result

    from cicadatrail.network.admin import AdminClient
    from cicadatrail.network.problems import Problem
    from cicadatrail.utils.replies import Reply
    from cicadatrail_core.models.state import HistoryEntry


class ConfigHistoryCommand(AdminCommand):
    """Command that lists the accepted patches."""

    name = "config history"
    description = "Lists the newest accepted patches and their operators."

    async def perform(self, client: AdminClient) -> Result[Reply, Problem]:
        """Read the history and return it as a table."""
        read = await client.read_history()
        return read.map(_reply)


def _reply(history: tuple[HistoryEntry, ...]) -> Reply:
    from cicadatrail.utils.exit_codes import ExitCode
    from cicadatrail.utils.replies import Reply, format_table
    from cicadatrail_core.models.state import HistoryEntry
    from cicadatrail_core.utils import codec

    rows = [
        (entry.version, entry.patch_id, entry.offset, entry.operator)
        for entry in history
    ]
    lines = format_table(("VERSION", "PATCH", "OFFSET", "OPERATOR"), rows)
    document = codec.to_map(history, tuple[HistoryEntry, ...])
    return Reply(ExitCode.DONE, lines, document)
