"""Effects that the Raft core returns, to be executed in order."""

from __future__ import annotations

import attrs

from verbenaplank.consensus.membership_change import MembershipChange
from verbenaplank.protocol.consensus import LogEntry
from verbenaplank.protocol.consensus import PeerMessage
from verbenaplank.storage.model import Snapshot
from verbenaplank.storage.model import Write


@attrs.frozen(kw_only=True)
class Send:
    """Send a message; with ``after_sync``, once all earlier writes are durable."""

    message: PeerMessage
    after_sync: bool


@attrs.frozen(kw_only=True)
class Save:
    """Write to the storage and sync it, then report :class:`~.events.WritesSynced`."""

    write: Write


@attrs.frozen(kw_only=True)
class Apply:
    """Apply committed entries to the state machine."""

    entries: tuple[LogEntry, ...]


@attrs.frozen(kw_only=True)
class Restore:
    """Replace the state of the state machine by that of a snapshot."""

    snapshot: Snapshot


@attrs.frozen(kw_only=True)
class ProposalAppended:
    """Report that a command was appended to the leader's log, not yet committed."""

    proposal_id: int
    index: int
    term: int


@attrs.frozen(kw_only=True)
class ProposalRejected:
    """Report that a command was not appended to the log and never will be."""

    proposal_id: int


@attrs.frozen(kw_only=True)
class ReadAnswered:
    """Report the index that must be applied before a read; ``None`` refuses it."""

    read_id: int
    index: int | None


@attrs.frozen(kw_only=True)
class MembershipProposed:
    """Report that this leader proposed a change of the voters, to be logged.

    Attributes
    ----------
    silence_s
        Time since the voter last answered a request, or since this replica became
        the leader if that is later, in seconds.
    """

    change: MembershipChange
    index: int
    silence_s: float


Effect = (
    Send
    | Save
    | Apply
    | Restore
    | ProposalAppended
    | ProposalRejected
    | ReadAnswered
    | MembershipProposed
)
