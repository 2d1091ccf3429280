"""Messages with which members grant each other leases while the log is down.

The wire names call a lease grant a support and the granting member a supporter.
"""

from __future__ import annotations

from dataclasses import dataclass

from cicadatrail_core.models.rights import IncarnationId


@dataclass(frozen=True, slots=True)
class SupportRequest:
    """Request a lease from a member, and its folded offset.

    ``joined_offset`` distinguishes the asker's membership from one that a repeated
    join record created under its name after it had been freed.
    """

    asker: IncarnationId
    joined_offset: int
    number: int


@dataclass(frozen=True, slots=True)
class SupportReply:
    """Grant or deny a lease; ``number`` is that of the request.

    ``folded_offset`` and ``version`` are those of the supporter's state
    (``next_offset`` and the configuration version).
    """

    supporter: IncarnationId
    asker: IncarnationId
    number: int
    granted: bool
    folded_offset: int
    version: int
