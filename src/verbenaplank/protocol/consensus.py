"""Messages between control instances: Raft consensus and cluster formation."""

from __future__ import annotations

from enum import IntEnum
from enum import StrEnum

import attrs


class LogEntryKind(IntEnum):
    """Kind of an entry of the replicated log."""

    COMMAND = 0
    MEMBERSHIP = 1
    NO_OPERATION = 2


class StorageState(StrEnum):
    """State of the data folder of a control instance.

    ``EMPTY`` is a new folder, ``REJOINING`` one whose damaged files were
    replaced, and ``MEMBER`` one that belongs to a cluster.
    """

    EMPTY = "empty"
    REJOINING = "rejoining"
    MEMBER = "member"


class ForwardOutcome(StrEnum):
    """Outcome of a command that a follower forwarded to the leader."""

    APPLIED = "applied"
    NOT_ACCEPTED = "not_accepted"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class Replica:
    """A control instance together with one incarnation of its storage.

    An instance whose storage was lost returns as another replica, so the votes and
    acknowledgements of the lost storage do not count as those of the new one.
    """

    instance_id: str
    incarnation: str = ""


@attrs.frozen(kw_only=True)
class LogEntry:
    """One entry of the replicated log.

    Attributes
    ----------
    members
        The voters from this entry on, if it is of the kind ``MEMBERSHIP``.
    """

    index: int
    term: int
    kind: LogEntryKind = LogEntryKind.COMMAND
    data: bytes = b""
    members: tuple[Replica, ...] = ()


@attrs.frozen(kw_only=True)
class VoteRequest:
    """Request for a vote in the term of the message.

    Attributes
    ----------
    pre_vote
        Whether the candidate only asks if it would get the vote; a reply to it
        is not a binding vote.
    hand_over
        Whether the leader requested this election to transfer its leadership; it
        has given up its lease.
    """

    last_index: int
    last_term: int
    pre_vote: bool = False
    hand_over: bool = False


@attrs.frozen(kw_only=True)
class VoteReply:
    """Reply to :class:`VoteRequest`; a granted vote has the request's term."""

    granted: bool
    pre_vote: bool = False


@attrs.frozen(kw_only=True)
class AppendRequest:
    """Request that replicates entries and the commit index, and renews the lease.

    Attributes
    ----------
    sent_s
        The leader's monotonic clock when it sent the request, in seconds; the
        reply returns it.
    echo_s
        The receiver's monotonic clock from its last reply, in seconds.
    backed
        Whether the leader held its lease, and had committed an entry of its
        term, when it sent the request.
    """

    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[LogEntry, ...] = ()
    sent_s: float = 0.0
    echo_s: float | None = None
    backed: bool = False


@attrs.frozen(kw_only=True)
class AppendReply:
    """Reply to :class:`AppendRequest`, sent once its entries are synced.

    Attributes
    ----------
    match_index
        If accepted, the index up to which the log equals the leader's;
        otherwise the highest index up to which it may be equal.
    echo_s
        ``sent_s`` of the request.
    sent_s
        The sender's monotonic clock when it replied, in seconds.
    """

    accepted: bool
    match_index: int
    echo_s: float = 0.0
    sent_s: float = 0.0


@attrs.frozen(kw_only=True)
class SnapshotChunk:
    """Part of a snapshot, for a replica that needs already compacted entries.

    Attributes
    ----------
    index
        Index of the last log entry that the snapshot covers.
    entry_term
        Term of that entry.
    members
        The voters after that entry.
    final
        Whether this is the last chunk.
    sent_s
        The leader's monotonic clock when it sent the chunk, in seconds; the reply
        returns it.
    """

    index: int
    entry_term: int
    members: tuple[Replica, ...]
    offset_bytes: int
    data: bytes
    final: bool
    sent_s: float = 0.0


@attrs.frozen(kw_only=True)
class SnapshotReply:
    """Reply to :class:`SnapshotChunk`: the number of bytes received so far."""

    index: int
    received_bytes: int
    echo_s: float = 0.0
    sent_s: float = 0.0


@attrs.frozen(kw_only=True)
class Hello:
    """Announcement of a replica that hears from no leader."""

    state: StorageState


@attrs.frozen(kw_only=True)
class HelloReply:
    """Reply to :class:`Hello` with the state of the sender's storage.

    Attributes
    ----------
    voter_ids
        Instance ids of the voters that the sender knows.
    """

    state: StorageState
    voter_ids: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Foundation:
    """Notification to a first member that a new cluster was bootstrapped.

    Attributes
    ----------
    members
        The first voters of the cluster, whose storage was empty.
    """

    members: tuple[Replica, ...]


@attrs.frozen(kw_only=True)
class TimeoutNow:
    """Request of the leader that the receiver start an election at once.

    The leader sends it to transfer its leadership.
    """


@attrs.frozen(kw_only=True)
class LeaveRequest:
    """Request to the leader of a replica that stops: let a learner replace it."""


@attrs.frozen(kw_only=True)
class LeaveReply:
    """Reply to :class:`LeaveRequest`.

    Attributes
    ----------
    pending
        Whether the replica should wait, because its replacement is in progress or
        may still begin.
    """

    pending: bool


@attrs.frozen(kw_only=True)
class ReadRequest:
    """Request to the leader for the index that a linearizable read waits for."""

    read_id: int


@attrs.frozen(kw_only=True)
class ReadReply:
    """Reply to :class:`ReadRequest`; ``index`` is ``None`` if it was refused."""

    read_id: int
    index: int | None


@attrs.frozen(kw_only=True)
class Forward:
    """A command that a follower forwards to the leader."""

    proposal_id: int
    command: bytes
    timeout_s: float


@attrs.frozen(kw_only=True)
class ForwardReply:
    """Reply to :class:`Forward`.

    Attributes
    ----------
    index
        Log index of the command, if it was applied.
    """

    proposal_id: int
    outcome: ForwardOutcome
    result: bytes = b""
    index: int = 0


@attrs.frozen(kw_only=True)
class PeerMessage:
    """One message between two replicas; exactly one of the bodies is set.

    Attributes
    ----------
    recipient
        An empty incarnation stands for any incarnation and is allowed only for a
        hello.
    """

    sender: Replica
    recipient: Replica
    cluster_id: str = ""
    term: int = 0
    vote_request: VoteRequest | None = None
    vote_reply: VoteReply | None = None
    append_request: AppendRequest | None = None
    append_reply: AppendReply | None = None
    snapshot_chunk: SnapshotChunk | None = None
    snapshot_reply: SnapshotReply | None = None
    hello: Hello | None = None
    hello_reply: HelloReply | None = None
    foundation: Foundation | None = None
    hand_over: TimeoutNow | None = None
    read_request: ReadRequest | None = None
    read_reply: ReadReply | None = None
    leave_request: LeaveRequest | None = None
    leave_reply: LeaveReply | None = None
    forward: Forward | None = None
    forward_reply: ForwardReply | None = None


@attrs.frozen(kw_only=True)
class ConsensusEnvelope:
    """Messages from one control instance to another, oldest first."""

    messages: tuple[PeerMessage, ...] = ()
