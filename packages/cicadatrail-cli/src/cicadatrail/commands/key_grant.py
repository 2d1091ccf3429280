"""The ``key grant`` command."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from cicadatrail.commands.change import ChangeCommand

if TYPE_CHECKING:
    from returns.result import Result

    from cicadatrail.utils.replies import Reply
    from cicadatrail_core.models.patches import Operation, Verdict
    from cicadatrail_core.models.status import ConfigurationView
    from cicadatrail_core.utils.findings import Findings
    from cicadatrail_core.utils.keys import IssuedKey


class KeyGrantCommand(ChangeCommand):
    """Command that grants a key to a team."""

    name = "key grant"
    description = (
        "Generates a key locally, shows it once, and sends only its salted hash."
    )
    arguments: ClassVar[list[Argument]] = [
        argument("team", description="Id of the team."),
    ]

    _issued: IssuedKey

    def build_operations(
        self, configuration: ConfigurationView
    ) -> Result[tuple[Operation, ...], Findings]:
        """Generate a key and return the operation that grants it."""
        import secrets

        from returns.result import Success

        from cicadatrail_core.models.patches import GrantKey
        from cicadatrail_core.utils.keys import new_key

        self._issued = new_key(self.argument("team"), secrets.token_bytes)
        return Success((GrantKey(self._issued.entry),))

    def extend_reply(self, reply: Reply, verdict: Verdict) -> Reply:
        """Add the key to the reply, unless the patch was refused.

        The key is also shown if the verdict is unknown, because it may be in force.
        """
        from cicadatrail_core.models.patches import Refused

        if isinstance(verdict, Refused):
            return reply
        issued = self._issued
        lines = (f"key {issued.entry.key_id}, not shown again:", issued.text)
        shown = {"key_id": issued.entry.key_id, "key": issued.text}
        document = {**reply.document, **shown}
        return replace(reply, lines=(*reply.lines, *lines), document=document)
