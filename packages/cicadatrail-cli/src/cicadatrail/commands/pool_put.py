"""The ``pool put`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from cicadatrail.commands.change import ChangeCommand

if TYPE_CHECKING:
    from returns.result import Result

    from cicadatrail_core.models.patches import Operation
    from cicadatrail_core.models.status import ConfigurationView
    from cicadatrail_core.utils.findings import Findings


class PoolPutCommand(ChangeCommand):
    """Command that creates or changes a pool."""

    name = "pool put"
    description = "Creates or changes a pool."
    arguments: ClassVar[list[Argument]] = [
        argument("pool", description="Id of the pool."),
    ]
    options: ClassVar[list[Option]] = [
        option("spare", description="Let this pool supply workers to the others."),
    ]

    def build_operations(
        self, configuration: ConfigurationView
    ) -> Result[tuple[Operation, ...], Findings]:
        """Return the operation that creates or changes the pool."""
        from returns.result import Success

        from cicadatrail_core.models.fleet import Pool
        from cicadatrail_core.models.patches import PutPool

        return Success((PutPool(Pool(self.argument("pool"), self.option("spare"))),))
