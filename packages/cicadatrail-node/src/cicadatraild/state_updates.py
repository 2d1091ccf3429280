"""Passing on of new states, records and instance lists to the components."""

from __future__ import annotations

from dataclasses import dataclass

from cicadatrail_core.fold.apply import Envelope
from cicadatrail_core.models.platform import ListedInstance
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.state import State
from cicadatraild.network.http_client import Address
from cicadatraild.network.peer_client import PeerDirectory
from cicadatraild.serving.admission import Admission
from cicadatraild.serving.dispatch_queue import DispatchQueue
from cicadatraild.serving.id_partitions import IdPartitions
from cicadatraild.sharing.digests import Digests
from cicadatraild.sharing.holdings import Holdings
from cicadatraild.sharing.replica import Replica
from cicadatraild.sharing.rights_manager import RightsManager
from cicadatraild.sharing.slot_loans import SlotLoans


@dataclass(frozen=True, slots=True)
class StateUpdates:
    """Apply changes of the state and of the fleet to the components they concern."""

    incarnation: IncarnationId
    replica: Replica
    admission: Admission
    partitions: IdPartitions
    directory: PeerDirectory
    digests: Digests
    rights_manager: RightsManager
    holdings: Holdings
    loans: SlotLoans
    dispatch_queue: DispatchQueue

    def apply_state(self, state: State) -> None:
        """Apply a new state to admission, peer links, slot loans and the dispatcher."""
        self.admission.state = state
        self.partitions.take_state(state)
        members = {
            member.incarnation: Address(member.host, member.peer_port)
            for member in state.roster.values()
            if member.incarnation != self.incarnation
        }
        self.directory.set_members(members)
        self.digests.forget_others(frozenset(members))
        self.loans.take_state(state)
        self.configure_dispatch_queue()

    def apply_record(self, before: State, after: State, envelope: Envelope) -> None:
        """Pass on a record that has been applied to the state."""
        self.rights_manager.note_record(envelope.record)
        self.loans.note_record(before, after, envelope.record)
        self.partitions.note_record(envelope)

    def configure_dispatch_queue(self) -> None:
        """Give the dispatcher the workers and slots that this instance may use."""
        state = self.replica.state
        ejected = self.dispatch_queue.dispatcher.ejected_workers
        workers = self.holdings.usable(state, ejected).workers
        self.dispatch_queue.configure(state, workers, self.loans.slots(state))

    def apply_instance_list(self, listed: tuple[ListedInstance, ...]) -> None:
        """Stop using rights of instances that the platform lists as leaving."""
        leaving = {instance.instance_id for instance in listed if instance.leaving}
        if leaving != self.holdings.listed_leaving:
            self.holdings.listed_leaving = leaving
            self.configure_dispatch_queue()

    def note_leaving(self, worker_id: str, leaving: bool = True) -> None:
        """Stop or resume placing tasks on a worker as it starts or cancels leaving."""
        known = worker_id in self.holdings.leaving_workers
        if leaving == known:
            return
        if leaving:
            self.holdings.leaving_workers.add(worker_id)
        else:
            self.holdings.leaving_workers.discard(worker_id)
        self.configure_dispatch_queue()
