"""The ``config show`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cicadatrail.commands.base import AdminCommand

if TYPE_CHECKING:
    from returns.result import Result

    from cicadatrail.network.admin import AdminClient
    from cicadatrail.network.problems import Problem
    from cicadatrail.utils.replies import Reply
    from cicadatrail_core.models.status import ConfigurationView


class ConfigShowCommand(AdminCommand):
    """Command that prints the configuration in force."""

    name = "config show"
    description = (
        "Shows the configuration in force at the first instance that responds."
    )

    async def perform(self, client: AdminClient) -> Result[Reply, Problem]:
        """Read the configuration and return all of it."""
        read = await client.read_configuration()
        return read.map(_reply)


def _reply(configuration: ConfigurationView) -> Reply:
    from cicadatrail.utils.exit_codes import ExitCode
    from cicadatrail.utils.replies import Reply
    from cicadatrail_core.models.status import ConfigurationView
    from cicadatrail_core.utils import codec

    document = codec.to_map(configuration, ConfigurationView)
    return Reply(ExitCode.DONE, tuple(_lines(configuration)), document)


def _lines(configuration: ConfigurationView) -> list[str]:
    weights = configuration.weights
    return [
        f"version {configuration.version}, next offset {configuration.next_offset}",
        f"weights: buffer cost {weights.buffer_cost:g}, roll-out time"
        f" {weights.roll_out_time:g}, moves {weights.moves:g}, share {weights.share:g}",
        f"teams: {len(configuration.teams)}, keys: {len(configuration.keys)},"
        f" waves: {len(configuration.waves)}, moves: {len(configuration.moves)}"
        " (team list, key list, wave list, move list)",
        "",
        *_services(configuration),
        "",
        *_queues(configuration),
        "",
        *_workers(configuration),
    ]


def _services(configuration: ConfigurationView) -> tuple[str, ...]:
    from cicadatrail.utils.replies import format_table

    rows = [
        (service.service_id, service.pool_id, service.unavailable_limit_count)
        for service in configuration.services
    ]
    return format_table(("SERVICE", "POOL", "UNAVAILABLE LIMIT"), rows)


def _queues(configuration: ConfigurationView) -> tuple[str, ...]:
    from cicadatrail.utils.replies import format_table

    rows = [
        (
            queue.queue_id,
            queue.service_id,
            "yes" if queue.open_to_all else "no",
            queue.owner_team_id,
            queue.drain_policy.value,
            f"{queue.drain_deadline_s:g}",
        )
        for queue in configuration.queues
    ]
    header = ("QUEUE", "SERVICE", "OPEN", "OWNER", "DRAIN", "DEADLINE S")
    return format_table(header, rows)


def _workers(configuration: ConfigurationView) -> tuple[str, ...]:
    from cicadatrail.utils.replies import format_table

    rows = [
        (
            worker.worker_id,
            configuration.pool_of.get(worker.worker_id, ""),
            worker.place.data_centre,
            worker.place.rack,
            worker.capacity.cpu_millicores,
            worker.capacity.memory_mib,
            worker.capacity.accelerator_count,
        )
        for worker in configuration.workers
    ]
    header = ("WORKER", "POOL", "DATA CENTRE", "RACK", "MILLICORES", "MIB", "ACC")
    return format_table(header, rows)
