"""Answers the control messages of peers."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import Any

from cicadatrail_core.fold.snapshots import dump_state
from cicadatrail_core.models.loans import LoanRequest
from cicadatrail_core.models.peer_messages import (
    Done,
    FetchRecords,
    FetchSnapshot,
    IdOutcome,
    IdQuery,
    PackedDigest,
    PartitionHandover,
    Records,
    Snapshot,
)
from cicadatrail_core.models.rights import IncarnationId
from cicadatrail_core.models.support import SupportRequest
from cicadatrail_core.placement.dispatcher import Dispatcher
from cicadatraild.serving.id_partitions import IdPartitions
from cicadatraild.sharing.digests import Digests
from cicadatraild.sharing.replica import Replica
from cicadatraild.sharing.rights_manager import RightsManager
from cicadatraild.sharing.slot_loans import SlotLoans

logger = logging.getLogger("cicadatrail.peer")

RECORDS_PER_ANSWER = 500
"""Largest number of records in one answer to a peer."""


@dataclass(frozen=True, slots=True)
class ControlMessageHandler:
    """Dispatch each control message to the component that answers it."""

    replica: Replica
    rights_manager: RightsManager
    digests: Digests
    loans: SlotLoans
    partitions: IdPartitions
    dispatcher: Dispatcher

    async def serve(self, sender: IncarnationId, message: Any) -> Any:
        """Return the answer to a peer's message."""
        match message:
            case SupportRequest():
                return self.rights_manager.answer(message)
            case LoanRequest():
                return self.loans.answer(message)
            case IdQuery():
                return self.partitions.answer(message)
            case FetchRecords(from_offset):
                found = self.replica.records_from(from_offset, RECORDS_PER_ANSWER)
                return Records(from_offset, found or ())
            case FetchSnapshot():
                return Snapshot(dump_state(self.replica.state))
        self._handle(sender, message)
        return Done()

    def _handle(self, sender: IncarnationId, message: Any) -> None:
        """Process a message that is answered by Done alone."""
        match message:
            case PackedDigest():
                self.digests.take(message)
                self.dispatcher.configure_peer_usage(self.digests.peer_usage())
            case IdOutcome():
                self.partitions.record_outcome(message)
            case PartitionHandover():
                self.partitions.receive_handover(sender, message)
            case _:
                logger.warning(
                    "peer: ignored an unexpected control message from %s.", sender
                )
