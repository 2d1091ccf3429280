"""The ``job show`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cleo.helpers import argument

from cicadatrail.commands.base import AdminCommand

if TYPE_CHECKING:
    from returns.result import Result

    from cicadatrail.network.admin import AdminClient
    from cicadatrail.network.problems import Problem
    from cicadatrail.utils.replies import Reply
    from cicadatrail_core.jobs.job_report import JobReport


class JobShowCommand(AdminCommand):
    """Command that prints where a job runs and why the rest of it waits."""

    name = "job show"
    description = "Shows a job's steps, runs and leases, and why it waits."
    arguments = [argument("id", description="Id of the job, 16 hexadecimal digits.")]

    async def perform(self, client: AdminClient) -> Result[Reply, Problem]:
        """Call instances until the leader returns the report on the job."""
        read = await client.read_job(self.argument("id"))
        return read.map(_reply)


def _reply(report: JobReport) -> Reply:
    from cicadatrail.utils.exit_codes import ExitCode
    from cicadatrail.utils.replies import Reply, format_table
    from cicadatrail_core.jobs.job_report import JobReport
    from cicadatrail_core.utils import codec

    steps = format_table(
        (
            "STEP",
            "DONE",
            "RUNNING",
            "READY",
            "FAILED RUNS",
            "CRASHED RUNS",
            "WAITS BECAUSE",
        ),
        [
            (
                f"{step.occurrence}.{step.step}",
                f"{step.done_count}/{step.count}",
                len(step.runs),
                step.ready_count,
                step.failed_run_count,
                step.crashed_run_count,
                step.reason or "-",
            )
            for step in report.steps
        ],
    )
    runs = format_table(
        ("SUBTASK", "RUN", "WORKER", "STATE", "PERCENT", "AGE S", "LEASE S"),
        [
            (
                run.subtask,
                run.run,
                run.worker_id,
                run.phase,
                run.percent,
                run.age_s,
                run.lease_left_s,
            )
            for step in report.steps
            for run in step.runs
        ],
    )
    summary = (
        f"job {report.job_id}: {report.stored_phase}, queue {report.queue},"
        f" team {report.team or '-'}, {report.age_s:.1f} s old,"
        f" leader epoch {report.epoch}"
    )
    lines = (summary, "", *steps, "", *runs)
    document = codec.to_map(report, JobReport)
    return Reply(ExitCode.DONE, lines, document)
