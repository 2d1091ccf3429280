"""The ``patch apply`` command."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from cicadatrail.commands.change import ChangeCommand

if TYPE_CHECKING:
    from returns.result import Result

    from cicadatrail.network.admin import AdminClient
    from cicadatrail.network.problems import Problem
    from cicadatrail.utils.patch_file import PatchFile
    from cicadatrail.utils.replies import Reply
    from cicadatrail_core.models.patches import Operation, Patch
    from cicadatrail_core.models.status import ConfigurationView
    from cicadatrail_core.utils.findings import Findings


class PatchApplyCommand(ChangeCommand):
    """Command that submits a patch file."""

    name = "patch apply"
    description = "Submits the operations of a TOML file as one patch."
    arguments: ClassVar[list[Argument]] = [
        argument("file", description="Patch file; see docs/OPERATIONS.md."),
    ]
    options: ClassVar[list[Option]] = [
        option(
            "base",
            description="Version that the patch is based on; defaults to the"
            " file's base_version, else to the version in force.",
            flag=False,
        ),
    ]

    _file: PatchFile

    async def perform(self, client: AdminClient) -> Result[Reply, Problem]:
        """Submit the file's patch; call no instance if the input has findings."""
        from returns.result import Failure

        from cicadatrail.network.problems import BadInput
        from cicadatrail.utils.options import OptionReader
        from cicadatrail.utils.patch_file import read_patch_file

        reader = OptionReader()
        base = self.option("base")
        base_version = None if base is None else reader.integer("--base", base)
        read = read_patch_file(Path(self.argument("file")))
        findings = (*reader.findings, *read.swap().value_or(()))
        if findings:
            return Failure(BadInput(findings))
        self._file = file = read.unwrap()
        if base_version is None:
            base_version = file.base_version
        if base_version is None:
            return await super().perform(client)
        return await self.submit(client, self.make_patch(base_version, file.operations))

    def make_patch(
        self, base_version: int, operations: tuple[Operation, ...], patch_id: str = ""
    ) -> Patch:
        """Return a patch with the file's id, if any, so that a repeat is recognised."""
        patch_id = patch_id or self._file.patch_id or ""
        return super().make_patch(base_version, operations, patch_id)

    def build_operations(
        self, configuration: ConfigurationView
    ) -> Result[tuple[Operation, ...], Findings]:
        """Return the operations of the file."""
        from returns.result import Success

        return Success(self._file.operations)
