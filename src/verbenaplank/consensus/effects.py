"""What the core of the replicated log wants done, in this order."""

from __future__ import annotations

import attrs

from verbenaplank.protocol.consensus import LogEntry
from verbenaplank.protocol.consensus import PeerMessage
from verbenaplank.storage.model import Snapshot
from verbenaplank.storage.model import Write


@attrs.frozen(kw_only=True)
class Send:
    """Send a message, if asked only after all earlier writes are durable."""

    message: PeerMessage
    after_sync: bool


@attrs.frozen(kw_only=True)
class Save:
    """Make a write durable."""

    write: Write


@attrs.frozen(kw_only=True)
class Apply:
    """Apply committed entries to the state machine."""

    entries: tuple[LogEntry, ...]


@attrs.frozen(kw_only=True)
class Restore:
    """Replace the state machine's content."""

    snapshot: Snapshot


@attrs.frozen(kw_only=True)
class ProposalAppended:
    """A proposed command stands in the leader's log, not yet committed."""

    proposal_id: int
    index: int
    term: int


@attrs.frozen(kw_only=True)
class ProposalRejected:
    """A proposed command was not taken into the log."""

    proposal_id: int


@attrs.frozen(kw_only=True)
class ReadAnswered:
    """A read may go on once ``index`` is applied; ``None`` refuses it."""

    read_id: int
    index: int | None


Effect = (
    Send | Save | Apply | Restore | ProposalAppended | ProposalRejected | ReadAnswered
)
