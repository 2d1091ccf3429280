"""Mutants of the product, each of which a cell of the matrix must detect."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import ExitStack
from typing import Any
from unittest.mock import patch

from cicadatrail_core.admission.request_ids import PartitionMemory
from cicadatrail_core.fold import maintenance_records, move_operations
from cicadatrail_core.models.state import State
from cicadatraild.network.http_server import HttpServer
from cicadatraild.serving import id_partitions
from cicadatraild.serving.placed_tasks import GivenUpTasks
from cicadatraild.sharing.fleet_maintenance import FleetMaintenance
from cicadatraild.sharing.replica import Replica
from cicadatraild.sharing.rights_manager import RightsManager
from cicadatraild.sharing.worker_watch import WorkerWatch
from cicadatraild.state_updates import StateUpdates
from cicadatraild.utils.in_flight_work import InFlightWork


def _always_use_rights(stack: ExitStack) -> None:
    stack.enter_context(patch.object(RightsManager, "may_use_rights", lambda *_: True))


def _use_rights_without_leases(stack: ExitStack) -> None:
    _always_use_rights(stack)
    _always_judge_keys(stack)


def _always_judge_keys(stack: ExitStack) -> None:
    stack.enter_context(patch.object(RightsManager, "may_check_keys", lambda *_: True))


def _free_abandoned_tasks_at_once(stack: ExitStack) -> None:
    def give_up(self: Any, lease: Any, ended: Any) -> None:
        self._dispatch_queue.finish(lease.task_id, ended)

    stack.enter_context(patch.object(GivenUpTasks, "give_up", give_up))


def _ignore_budget(stack: ExitStack) -> None:
    for module in (maintenance_records, move_operations):
        always = patch.object(module, "may_take_out", lambda *_: True)
        stack.enter_context(always)


def _maintain_busy_workers(stack: ExitStack) -> None:
    init: Any = FleetMaintenance.__init__

    def init_without_task_counts(self: Any, *arguments: Any) -> None:
        init(self, *arguments[:-1], lambda _: 0)

    stack.enter_context(
        patch.object(FleetMaintenance, "__init__", init_without_task_counts)
    )


def _forget_ids(stack: ExitStack) -> None:
    def empty_memory(self: Any, partition: int) -> PartitionMemory:
        return PartitionMemory(id_partitions.ID_SETTINGS, 0.0)

    target = id_partitions.IdPartitions
    stack.enter_context(patch.object(target, "_new_memory", empty_memory))


def _cut_requests_on_shutdown(stack: ExitStack) -> None:
    async def at_once(*_: Any) -> None:
        return

    stack.enter_context(patch.object(InFlightWork, "ended", at_once))
    stack.enter_context(patch.object(HttpServer, "drain", at_once))


def _ignore_leaving_workers(stack: ExitStack) -> None:
    stack.enter_context(patch.object(StateUpdates, "note_leaving", lambda *_: None))
    stack.enter_context(patch.object(WorkerWatch, "_take_report", lambda *_: None))


def _return_to_older_state(stack: ExitStack) -> None:
    """Return to the empty state whenever the log fails."""
    note_failure = Replica._note_failure

    def reset_state(self: Any, reason: str) -> None:
        note_failure(self, reason)
        self.state = State()
        self._publish()

    stack.enter_context(patch.object(Replica, "_note_failure", reset_state))


MUTANTS: dict[str, Callable[[ExitStack], None]] = {
    "asks for no support": _use_rights_without_leases,
    "judges keys by any state": _always_judge_keys,
    "frees given-up tasks at once": _free_abandoned_tasks_at_once,
    "folds without a budget": _ignore_budget,
    "maintains busy workers": _maintain_busy_workers,
    "forgets ids with their holder": _forget_ids,
    "cuts requests on shutdown": _cut_requests_on_shutdown,
    "ignores leaving workers": _ignore_leaving_workers,
    "takes an older state": _return_to_older_state,
}
