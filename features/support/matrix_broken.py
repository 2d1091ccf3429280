"""Broken copies of the product, each of which a cell of the matrix must catch."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import ExitStack
from typing import Any
from unittest.mock import patch

from cicadatrail_core.admission.request_ids import PartitionMemory
from cicadatrail_core.fold import maintenance_records, move_operations
from cicadatrail_core.models.state import State
from cicadatraild.app import Instance
from cicadatraild.serving import id_partitions
from cicadatraild.serving.placed_tasks import GivenUpTasks
from cicadatraild.sharing.fleet_maintenance import FleetMaintenance
from cicadatraild.sharing.replica import Replica
from cicadatraild.sharing.rights_manager import RightsManager
from cicadatraild.sharing.worker_watch import WorkerWatch
from cicadatraild.utils.in_flight_work import InFlightWork


def _spends_always(stack: ExitStack) -> None:
    stack.enter_context(patch.object(RightsManager, "may_use_rights", lambda *_: True))


def _asks_no_support(stack: ExitStack) -> None:
    _spends_always(stack)
    _judges_keys_always(stack)


def _judges_keys_always(stack: ExitStack) -> None:
    stack.enter_context(patch.object(RightsManager, "may_check_keys", lambda *_: True))


def _frees_given_up_at_once(stack: ExitStack) -> None:
    def give_up(self: Any, lease: Any, ended: Any) -> None:
        self._dispatch_queue.finish(lease.task_id, ended)

    stack.enter_context(patch.object(GivenUpTasks, "give_up", give_up))


def _ignores_budget(stack: ExitStack) -> None:
    for module in (maintenance_records, move_operations):
        always = patch.object(module, "may_take_out", lambda *_: True)
        stack.enter_context(always)


def _maintains_busy_workers(stack: ExitStack) -> None:
    init: Any = FleetMaintenance.__init__

    def idle(self: Any, *arguments: Any) -> None:
        init(self, *arguments[:-1], lambda _: 0)

    stack.enter_context(patch.object(FleetMaintenance, "__init__", idle))


def _forgets_ids(stack: ExitStack) -> None:
    def fresh(self: Any, partition: int) -> PartitionMemory:
        return PartitionMemory(id_partitions.ID_SETTINGS, 0.0)

    target = id_partitions.IdPartitions
    stack.enter_context(patch.object(target, "_new_memory", fresh))


def _cuts_on_shutdown(stack: ExitStack) -> None:
    async def at_once(_: Any) -> None:
        return

    stack.enter_context(patch.object(InFlightWork, "ended", at_once))


def _ignores_leaving(stack: ExitStack) -> None:
    stack.enter_context(patch.object(Instance, "_note_leaving", lambda *_: None))
    stack.enter_context(patch.object(WorkerWatch, "_take_report", lambda *_: None))


def _takes_older_state(stack: ExitStack) -> None:
    """Go back to an older state whenever the log fails."""
    note = Replica._note_failure

    def go_back(self: Any, reason: str) -> None:
        note(self, reason)
        self.state = State()
        self._publish()

    stack.enter_context(patch.object(Replica, "_note_failure", go_back))


BROKEN: dict[str, Callable[[ExitStack], None]] = {
    "asks for no support": _asks_no_support,
    "judges keys by any state": _judges_keys_always,
    "frees given-up tasks at once": _frees_given_up_at_once,
    "folds without a budget": _ignores_budget,
    "maintains busy workers": _maintains_busy_workers,
    "forgets ids with their holder": _forgets_ids,
    "cuts requests on shutdown": _cuts_on_shutdown,
    "ignores leaving workers": _ignores_leaving,
    "takes an older state": _takes_older_state,
}
