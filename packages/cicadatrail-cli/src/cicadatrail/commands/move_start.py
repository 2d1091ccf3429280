"""Starts a move of a worker."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar
from uuid import uuid4

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from cicadatrail.commands.change import ChangeCommand

if TYPE_CHECKING:
    from returns.result import Result

    from cicadatrail.utils.replies import Reply
    from cicadatrail_core.models.patches import Operation, Verdict
    from cicadatrail_core.models.status import ConfigurationView
    from cicadatrail_core.utils.findings import Findings


class MoveStartCommand(ChangeCommand):
    """Starts a move of a worker."""

    name = "move start"
    description = "Drains a worker and moves it to another pool."
    arguments: ClassVar[list[Argument]] = [
        argument("worker", description="Id of the worker."),
        argument("to-pool", description="Id of the pool it moves to."),
    ]
    options: ClassVar[list[Option]] = [
        option(
            "id", description="Id of the move; one is made if left out.", flag=False
        ),
    ]

    _move_id: str

    def build_operations(
        self, configuration: ConfigurationView
    ) -> Result[tuple[Operation, ...], Findings]:
        """Return the one operation of this command."""
        from returns.result import Failure, Success

        from cicadatrail_core.models.patches import StartMove
        from cicadatrail_core.utils.findings import Finding

        worker_id = self.argument("worker")
        from_pool_id = configuration.pool_of.get(worker_id)
        if from_pool_id is None:
            return Failure((Finding("worker", f"{worker_id!r} is in no pool"),))
        self._move_id = self.option("id") or f"move-{uuid4().hex[:12]}"
        pools = (from_pool_id, self.argument("to-pool"))
        return Success((StartMove(self._move_id, worker_id, *pools),))

    def extend_reply(self, reply: Reply, verdict: Verdict) -> Reply:
        """Tell the id, as it may have been made here."""
        from cicadatrail.utils.replies import add_id

        return add_id(reply, "move", self._move_id)
