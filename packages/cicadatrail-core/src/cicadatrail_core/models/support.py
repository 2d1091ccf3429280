"""Messages by which members support each other while the log is away."""

from __future__ import annotations

from dataclasses import dataclass

from cicadatrail_core.models.rights import IncarnationId


@dataclass(frozen=True, slots=True)
class SupportRequest:
    """Ask a member for support and for what it has folded.

    ``joined_offset`` tells the asker's membership from one that a repeated
    join record made under its name after it had been freed.
    """

    asker: IncarnationId
    joined_offset: int
    number: int


@dataclass(frozen=True, slots=True)
class SupportReply:
    """Grant or deny support; ``number`` is that of the request.

    ``folded_offset`` and ``version`` are those of the supporter's state
    (``next_offset`` and the configuration version).
    """

    supporter: IncarnationId
    asker: IncarnationId
    number: int
    granted: bool
    folded_offset: int
    version: int
