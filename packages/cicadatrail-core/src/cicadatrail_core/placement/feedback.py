"""Learning from usage reports and from the results of tasks."""

from __future__ import annotations

from math import ceil

from cicadatrail_core.models.resources import NO_RESOURCES, Resources
from cicadatrail_core.models.usage import TaskUsage, UsageReport
from cicadatrail_core.placement.decisions import TaskEnd
from cicadatrail_core.placement.ejection import HealthChange, WorkerHealth
from cicadatrail_core.placement.estimates import Estimator
from cicadatrail_core.placement.fleet_view import FleetView
from cicadatrail_core.placement.never_run import shape_of
from cicadatrail_core.placement.placer import Placer
from cicadatrail_core.placement.running_tasks import RunningTask
from cicadatrail_core.placement.settings import DispatcherSettings


class Feedback:
    """Turn usage reports and task results into estimates, health and charges."""

    __slots__ = (
        "_estimator",
        "_health",
        "_last_measured_s",
        "_never_run",
        "_placer",
        "_settings",
        "_view",
    )

    def __init__(
        self,
        settings: DispatcherSettings,
        placer: Placer,
        view: FleetView,
        estimator: Estimator,
    ) -> None:
        self._settings = settings
        self._placer = placer
        self._health: WorkerHealth = placer.health
        self._view = view
        self._estimator = estimator
        self._never_run = placer.never_run
        self._last_measured_s: dict[str, float] = {}

    def forget_worker(self, worker_id: str) -> None:
        """Drop the state of a worker that is no longer owned."""
        self._last_measured_s.pop(worker_id, None)
        self._health.forget(worker_id)

    def record_end(
        self, task: RunningTask, ended: TaskEnd, now_s: float
    ) -> HealthChange:
        """Learn from the end of a task; return how its worker's health changed."""
        request = task.request
        run_s = now_s - task.started_s
        if ended is TaskEnd.SUCCEEDED:
            self._estimator.learn_run_time(request, run_s)
        if task.peak is not None:
            self._learn_size(task)
        return self._record_health(task, ended, now_s)

    def record_report(self, report: UsageReport) -> bool:
        """Process a usage report; return whether it may have freed capacity.

        A report that is older than the last one of its worker is ignored.
        """
        last_measured_s = self._last_measured_s.get(
            report.worker_id, report.measured_at_s
        )
        if report.measured_at_s < last_measured_s:
            return False
        if not self._placer.ledger.is_owned(report.worker_id):
            return False
        self._last_measured_s[report.worker_id] = report.measured_at_s
        external_load = NO_RESOURCES
        for usage in report.tasks:
            external_load += self._record_usage(usage, report)
        self._placer.ledger.set_outside(report.worker_id, external_load)
        return True

    def _record_usage(self, usage: TaskUsage, report: UsageReport) -> Resources:
        """Record the usage of a task; return it if the task is not this instance's."""
        running = self._placer.running
        task = running.get(usage.request_id) or running.ended(usage.request_id)
        if task is None or task.worker_id != report.worker_id:
            return usage.used
        if report.measured_at_s < task.started_s:
            return NO_RESOURCES
        peak = task.peak if task.peak is not None else NO_RESOURCES
        task.peak = peak.at_least(usage.used)
        task.observed_at_s = report.measured_at_s
        if task.ended_s is None:
            self._correct_charge(task)
        elif not task.is_learned:
            self._learn_size(task)
        return NO_RESOURCES

    def _correct_charge(self, task: RunningTask) -> None:
        """Update a running task's charge and usage from its reported peak."""
        assert task.peak is not None
        observed_s = task.observed_at_s - task.started_s
        charge = task.charge.at_least(task.peak)
        is_settled = observed_s >= self._settings.settle_s
        if is_settled and not self._estimator.is_learned(task.request):
            charge = _scale(task.peak, self._settings.settled_headroom)
        accelerators = Resources(accelerator_count=task.charge.accelerator_count)
        charge = charge.at_least(accelerators)
        used = task.used
        if observed_s >= self._settings.share_delay_s:
            used = task.peak.at_least(accelerators)
        self._placer.change_task(task, charge, used)

    def _learn_size(self, task: RunningTask) -> None:
        assert task.peak is not None
        assert task.ended_s is not None
        run_s = task.ended_s - task.started_s
        observed_s = min(task.observed_at_s, task.ended_s) - task.started_s
        covered = observed_s / run_s if run_s > 0 else 1.0
        task.is_learned = self._estimator.learn_size(task.request, task.peak, covered)

    def _record_health(
        self, task: RunningTask, ended: TaskEnd, now_s: float
    ) -> HealthChange:
        worker_id = task.worker_id
        request_id = task.request.request_id
        probed = self._health.end_probe(worker_id, request_id, ended, now_s)
        if probed is not None:
            return probed
        shape = shape_of(task.request)
        pool = self._view.pool_facts(task.pool_id)
        if not self._health.fails_everything(worker_id):
            self._never_run.record(shape, worker_id, pool, ended, now_s)
        return self._health.record(worker_id, pool, shape, ended, now_s)


def _scale(amount: Resources, factor: float) -> Resources:
    return Resources(
        ceil(amount.cpu_millicores * factor),
        ceil(amount.memory_mib * factor),
        amount.accelerator_count,
    )
