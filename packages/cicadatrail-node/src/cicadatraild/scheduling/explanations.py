"""The leader's explanation of where a job would go now, for operators."""

from __future__ import annotations

from urllib.parse import parse_qs, urlsplit

from returns.result import Failure, Result, Success

from cicadatrail_core.jobs.explanation import (
    NEW_JOB_ID,
    AdmissionForecast,
    Explanation,
    describe_admission,
    explain,
)
from cicadatrail_core.jobs.models import FleetConfiguration, JobDefinition
from cicadatrail_core.jobs.open_subtasks import TOO_MANY
from cicadatrail_core.jobs.records import encode_definition
from cicadatrail_core.utils.findings import Finding, Findings
from cicadatraild.platform.job_submissions import decode_job
from cicadatraild.scheduling.clocks import loop_now_s, unix_now_ms
from cicadatraild.scheduling.journal import refusal_to_store
from cicadatraild.scheduling.leader import Leader


def explain_submission(
    leader: Leader, target: str, body: bytes
) -> Result[Explanation, Findings]:
    """Return where a job would go, or all findings in the request.

    The target names ``queue`` and ``team``; the body is that of a submission.
    """
    query = parse_qs(urlsplit(target).query)
    queue, team = (query.get(name, [""])[0] for name in ("queue", "team"))
    now_unix_ms = unix_now_ms()
    decoded = decode_job(body, queue, team, now_unix_ms)
    findings = (
        *_check_names(leader.scheduler.configuration, queue, team),
        *decoded.swap().value_or(()),
    )
    if findings:
        return Failure(findings)
    definition = decoded.unwrap()
    now_s = loop_now_s()
    return Success(
        explain(
            leader.scheduler,
            definition,
            _foresee_admission(leader, definition, now_s),
            leader.may_start(),
            now_s,
            now_unix_ms,
        )
    )


def _check_names(
    configuration: FleetConfiguration, queue_name: str, team: str
) -> Findings:
    queues = {queue.name: queue for queue in configuration.queues}
    queue = queues.get(queue_name)
    findings = []
    if queue is None:
        known = ", ".join(sorted(queues))
        findings.append(Finding("queue", f"{queue_name!r} is none of: {known}"))
    is_open = not team and queue is not None and queue.public
    if team not in configuration.teams and not is_open:
        known = ", ".join(sorted(configuration.teams))
        findings.append(Finding("team", f"{team!r} is none of: {known}"))
    return tuple(findings)


def _foresee_admission(
    leader: Leader, definition: JobDefinition, now_s: float
) -> AdmissionForecast:
    """Return whether the leader would accept a job, in the order of its checks."""
    reason = refusal_to_store(leader.journal, len(encode_definition(definition)))
    if reason:
        return AdmissionForecast(False, reason)
    forecast = describe_admission(
        leader.admission.foresee(NEW_JOB_ID, definition, now_s)
    )
    if forecast.is_accepted and not leader.open_subtasks.would_admit(definition, now_s):
        return AdmissionForecast(False, TOO_MANY)
    return forecast
