"""Starts a maintenance wave."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar
from uuid import uuid4

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from cicadatrail.commands.change import ChangeCommand

if TYPE_CHECKING:
    from returns.result import Result

    from cicadatrail.utils.options import OptionReader
    from cicadatrail.utils.replies import Reply
    from cicadatrail_core.models.maintenance import WorkingHours
    from cicadatrail_core.models.patches import Operation, Verdict
    from cicadatrail_core.models.status import ConfigurationView
    from cicadatrail_core.utils.findings import Findings


class WaveStartCommand(ChangeCommand):
    """Starts a maintenance wave."""

    name = "wave start"
    description = "Starts a wave that drains, reboots or replaces workers."
    arguments: ClassVar[list[Argument]] = [
        argument("action", description="What to do: drain, reboot or replace."),
    ]
    options: ClassVar[list[Option]] = [
        option("pool", description="Pool whose workers to take.", flag=False),
        option(
            "worker",
            description="Id of a worker to take; repeat it for more.",
            flag=False,
            multiple=True,
        ),
        option(
            "order",
            description="Domain finished before the next: rack or data-centre.",
            flag=False,
            default="rack",
        ),
        option(
            "concurrency-limit",
            description="Most workers out at once.",
            flag=False,
            default="1",
        ),
        option(
            "failure-limit",
            description="Failed workers that pause the wave.",
            flag=False,
            default="2",
        ),
        option(
            "hours",
            description="Hours (UTC) in which drains may start.",
            flag=False,
            default="0-24",
        ),
        option(
            "id", description="Id of the wave; one is made if left out.", flag=False
        ),
    ]

    _wave_id: str

    def build_operations(
        self, configuration: ConfigurationView
    ) -> Result[tuple[Operation, ...], Findings]:
        """Return the one operation of this command."""
        from returns.result import Failure, Success

        from cicadatrail.utils.options import OptionReader
        from cicadatrail_core.models.maintenance import DomainOrder, Wave, WaveAction
        from cicadatrail_core.models.patches import StartWave

        reader = OptionReader()
        self._wave_id = self.option("id") or f"wave-{uuid4().hex[:12]}"
        wave = Wave(
            wave_id=self._wave_id,
            action=reader.choice("action", self.argument("action"), WaveAction),
            pool_id=self.option("pool") or "",
            worker_ids=tuple(self.option("worker")),
            order=reader.choice("--order", self.option("order"), DomainOrder),
            concurrency_limit_count=reader.integer(
                "--concurrency-limit", self.option("concurrency-limit"), 1
            ),
            failure_limit_count=reader.integer(
                "--failure-limit", self.option("failure-limit"), 1
            ),
            working_hours=_read_hours(reader, self.option("hours")),
        )
        if not wave.pool_id and not wave.worker_ids:
            reader.add("--pool", "or --worker must say which workers")
        if reader.findings:
            return Failure(tuple(reader.findings))
        return Success((StartWave(wave),))

    def extend_reply(self, reply: Reply, verdict: Verdict) -> Reply:
        """Tell the id, as it may have been made here."""
        from cicadatrail.utils.replies import add_id

        return add_id(reply, "wave", self._wave_id)


def _read_hours(reader: OptionReader, text: str) -> WorkingHours:
    """Read ``START-END`` in whole hours of a UTC day; they may span midnight."""
    from cicadatrail_core.models.maintenance import WorkingHours

    start_text, _, end_text = text.partition("-")
    start = reader.integer("--hours", start_text)
    end = reader.integer("--hours", end_text)
    return WorkingHours(start, end)
