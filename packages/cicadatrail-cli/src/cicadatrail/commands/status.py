"""The ``status`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cicadatrail.commands.base import AdminCommand

if TYPE_CHECKING:
    from returns.result import Result

    from cicadatrail.network.admin import AdminClient
    from cicadatrail.network.problems import Problem
    from cicadatrail.utils.replies import Reply
    from cicadatrail_core.models.status import InstanceStatus


class StatusCommand(AdminCommand):
    """Command that prints instances, teams, waves and alarms."""

    name = "status"
    description = "Shows instances, teams, waves and alarms as known to one instance."

    async def perform(self, client: AdminClient) -> Result[Reply, Problem]:
        """Read the status of the first instance that answers."""
        read = await client.read_status()
        return read.map(_reply)


def _reply(status: InstanceStatus) -> Reply:
    from cicadatrail.utils.exit_codes import ExitCode
    from cicadatrail.utils.replies import Reply
    from cicadatrail_core.models.status import InstanceStatus
    from cicadatrail_core.utils import codec

    lines = [
        *_summary(status),
        "",
        *_members(status),
        "",
        *_teams(status),
        *_waves(status),
    ]
    document = codec.to_map(status, InstanceStatus)
    return Reply(ExitCode.DONE, tuple(lines), document)


def _summary(status: InstanceStatus) -> list[str]:
    """Return the lines on alarms, version, log and rights, most urgent first."""
    log = status.log_state
    rights = status.rights
    alarms = [
        f"ALARM {alarm.name.value} for {alarm.since_s:.0f} s: {alarm.detail}"
        for alarm in status.alarms
    ]
    return [
        *(alarms or ["no alarm"]),
        f"{status.instance_id} ({status.incarnation}) in {status.data_centre}:"
        f" version {status.version}, next offset {status.next_offset}",
        f"log {log.condition.value} for {log.since_s:.0f} s",
        f"rights held: workers {rights.worker_count}, slots {rights.slot_count},"
        f" partitions {rights.partition_count}; lent {rights.lent_count}",
    ]


def _members(status: InstanceStatus) -> tuple[str, ...]:
    from cicadatrail.utils.replies import format_table

    rows = [
        (
            member.instance_id,
            member.incarnation,
            "yes" if member.reachable else "no",
            "?" if member.version is None else member.version,
            member.admin_address or "?",
        )
        for member in status.members
    ]
    header = ("INSTANCE", "INCARNATION", "REACHABLE", "VERSION", "ADMIN")
    return format_table(header, rows)


def _teams(status: InstanceStatus) -> tuple[str, ...]:
    from cicadatrail.utils.replies import format_table

    rows = [
        (
            team.team_id,
            team.running_count,
            team.waiting_count,
            team.slots_held_count,
            f"{team.share_due:.1%}",
            f"{team.share_reached:.1%}",
        )
        for team in status.teams
    ]
    header = ("TEAM", "RUNNING", "WAITING", "SLOTS HELD", "SHARE DUE", "REACHED")
    return format_table(header, rows)


def _waves(status: InstanceStatus) -> list[str]:
    from collections import Counter

    lines = []
    for report in status.waves:
        progress = report.progress
        counts = Counter(step.value for _, step in progress.steps)
        steps = ", ".join(f"{count} {step}" for step, count in sorted(counts.items()))
        reason = f" ({progress.pause_reason})" if progress.pause_reason else ""
        forecast = report.remaining_s
        end = "" if forecast is None else f"; forecast to end in {forecast:.0f} s"
        wave_id, state = progress.wave.wave_id, progress.status.value
        lines.append(f"wave {wave_id} {state}{reason}: {steps}{end}")
    return ["", *lines] if lines else []
