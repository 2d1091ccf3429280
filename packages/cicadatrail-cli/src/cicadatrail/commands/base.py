"""Base classes of the commands: shared options, calls to instances and output.

Command modules import heavy dependencies inside functions, so that ``--help``
starts fast.
"""

from __future__ import annotations

import json
import os
from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING, ClassVar, cast

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type, Verbosity

if TYPE_CHECKING:
    from returns.result import Result

    from cicadatrail.main import OperatorApplication
    from cicadatrail.network.admin import AdminClient
    from cicadatrail.network.problems import Problem
    from cicadatrail.utils.replies import Reply
    from cicadatrail_core.models.status import ConfigurationView

DEFAULT_TIMEOUT_S = "5"

SHARED_OPTIONS = (
    option(
        "instance",
        description="Admin listener to call, as IP:PORT; repeat it to add fallbacks."
        " Defaults to the listeners in CICADATRAIL_INSTANCES.",
        flag=False,
        multiple=True,
    ),
    option(
        "timeout-s",
        description="Seconds to wait for the response of one instance.",
        flag=False,
        default=DEFAULT_TIMEOUT_S,
    ),
    option("json", description="Print the reply as one JSON document."),
)


class AdminCommand(Command, ABC):
    """Command that calls instances with the operators' token and prints one reply."""

    shared_options: ClassVar[Sequence[Option]] = SHARED_OPTIONS

    def configure(self) -> None:
        """Add the shared options to those of the command."""
        super().configure()
        for shared in self.shared_options:
            self._definition.add_option(shared)

    @abstractmethod
    async def perform(self, client: AdminClient) -> Result[Reply, Problem]:
        """Perform the command and return the reply to print."""

    def handle(self) -> int:
        """Run the command, print its reply and return the exit code."""
        from cicadatrail.utils.replies import reply_to_problem

        result = self._validate_and_perform()
        reply = result.value_or(None)
        if reply is None:
            reply = reply_to_problem(result.failure())
        self._write_reply(reply)
        return reply.code

    def _validate_and_perform(self) -> Result[Reply, Problem]:
        from returns.result import Failure

        from cicadatrail.network.admin import AdminClient
        from cicadatrail.network.problems import BadInput, Interrupted
        from cicadatrail.utils.access import read_access
        from cicadatrail.utils.options import OptionReader

        reader = OptionReader()
        timeout_s = reader.number("--timeout-s", self.option("timeout-s"))
        access = read_access(self.option("instance"), os.environ)
        findings = (*reader.findings, *access.swap().value_or(()))
        if findings:
            return Failure(BadInput(findings))
        client = AdminClient(access.unwrap(), timeout_s)
        application = cast("OperatorApplication", self.application)
        try:
            return application.run_coroutine(self.perform(client))
        except KeyboardInterrupt:
            return Failure(Interrupted())

    def _write_reply(self, reply: Reply) -> None:
        from cicadatrail.utils.replies import printable

        lines: Iterable[str] = map(printable, reply.lines)
        if self.option("json"):
            lines = (json.dumps(reply.document),)
        for line in lines:
            self.io.output.write_line(line, Verbosity.QUIET, Type.RAW)

    def write_note(self, text: str) -> None:
        """Write a line to the error output, apart from the reply."""
        from cicadatrail.utils.replies import printable

        self.io.error_output.write_line(printable(text), type=Type.RAW)


class ListCommand(AdminCommand):
    """Command that prints one field of the configuration as a table."""

    field_name: ClassVar[str]
    header: ClassVar[Sequence[str]]

    @abstractmethod
    def rows(self, configuration: ConfigurationView) -> Iterable[Sequence[object]]:
        """Return the cells of each row, in the order of ``header``."""

    async def perform(self, client: AdminClient) -> Result[Reply, Problem]:
        """Read the configuration and return the table of the field."""
        read = await client.read_configuration()
        return read.map(self._reply)

    def _reply(self, configuration: ConfigurationView) -> Reply:
        from cicadatrail.utils.exit_codes import ExitCode
        from cicadatrail.utils.replies import Reply, format_table
        from cicadatrail_core.models.status import ConfigurationView
        from cicadatrail_core.utils import codec

        lines = format_table(self.header, self.rows(configuration))
        document = codec.to_map(configuration, ConfigurationView)[self.field_name]
        return Reply(ExitCode.DONE, lines, document)
