"""What an entry instance knows of a request that it has brought to a leader."""

from __future__ import annotations

from cicadatraild.scheduling.messages import Refused, Reply, Unsettled
from cicadatraild.scheduling.peers import PeerUnreachableError


class PendingRequest:
    """What is known of a request that has no reply yet."""

    __slots__ = ("is_under_way", "may_have_run", "reason")

    def __init__(self) -> None:
        self.is_under_way = False
        self.may_have_run = False
        self.reason = "no holder"

    def note_sent(self) -> None:
        """Record that a leader may have the request from now on."""
        self.is_under_way = True

    def note_failure(self, error: PeerUnreachableError, epoch: int) -> None:
        """Record that the leader of an epoch did not reply."""
        self.is_under_way = False
        self.may_have_run = self.may_have_run or error.may_have_run
        self.reason = f"holder of epoch {epoch}: {error}"

    @property
    def final_reply(self) -> Reply:
        """Return the reply to the caller if the request is given up now."""
        if self.may_have_run or self.is_under_way:
            return Unsettled(self.reason)
        return Refused(self.reason)
