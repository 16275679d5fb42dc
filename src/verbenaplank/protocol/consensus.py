"""Messages between control instances: the replicated log and its members."""

from __future__ import annotations

from enum import IntEnum
from enum import StrEnum

import attrs


class LogEntryKind(IntEnum):
    """What an entry of the replicated log holds."""

    COMMAND = 0
    MEMBERSHIP = 1
    NO_OPERATION = 2


class StorageState(StrEnum):
    """What the data folder of a control instance holds.

    ``EMPTY`` is a new folder, ``REJOINING`` one that replaced damaged files,
    and ``MEMBER`` one that belongs to a cluster.
    """

    EMPTY = "empty"
    REJOINING = "rejoining"
    MEMBER = "member"


class ForwardOutcome(StrEnum):
    """What became of a forwarded proposal."""

    APPLIED = "applied"
    NOT_ACCEPTED = "not_accepted"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class Replica:
    """A control instance together with one incarnation of its storage.

    An instance whose storage was lost comes back as another replica, so what
    the lost storage had promised is never expected of the new one.
    """

    instance_id: str
    incarnation: str = ""


@attrs.frozen(kw_only=True)
class LogEntry:
    """One entry of the replicated log; ``members`` are the voters it sets."""

    index: int
    term: int
    kind: LogEntryKind = LogEntryKind.COMMAND
    data: bytes = b""
    members: tuple[Replica, ...] = ()


@attrs.frozen(kw_only=True)
class VoteRequest:
    """Asks for a vote in the term of the message.

    Attributes
    ----------
    pre_vote
        Only asks whether a vote would be given; binds nobody.
    hand_over
        The leader itself asked for this election and has given up its lease.
    """

    last_index: int
    last_term: int
    pre_vote: bool = False
    hand_over: bool = False


@attrs.frozen(kw_only=True)
class VoteReply:
    """Answers a vote request of the same term, if granted."""

    granted: bool
    pre_vote: bool = False


@attrs.frozen(kw_only=True)
class AppendRequest:
    """Replicates entries, tells the commit index and renews the lease.

    Attributes
    ----------
    sent_s
        The leader's monotonic clock when it sent this; the reply returns it.
    echo_s
        The receiver's own clock, as its last reply told it.
    backed
        Whether the leader held its lease when it sent this.
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
    """Answers :class:`AppendRequest` once its entries are synced.

    Attributes
    ----------
    match_index
        If accepted, the log equals the leader's up to here; otherwise the
        highest index that may still be equal.
    """

    accepted: bool
    match_index: int
    echo_s: float = 0.0
    sent_s: float = 0.0


@attrs.frozen(kw_only=True)
class SnapshotChunk:
    """A part of a snapshot, for a replica that needs compacted entries."""

    index: int
    entry_term: int
    members: tuple[Replica, ...]
    offset_bytes: int
    data: bytes
    final: bool
    sent_s: float = 0.0


@attrs.frozen(kw_only=True)
class SnapshotReply:
    """Tells how much of a snapshot has been received."""

    index: int
    received_bytes: int
    echo_s: float = 0.0
    sent_s: float = 0.0


@attrs.frozen(kw_only=True)
class Hello:
    """Announces a replica that no leader talks to."""

    state: StorageState


@attrs.frozen(kw_only=True)
class HelloReply:
    """Tells the announced replica what the sender's storage holds.

    Attributes
    ----------
    voter_ids
        The voters as far as the sender knows them.
    """

    state: StorageState
    voter_ids: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Foundation:
    """The first members of a new cluster, whose storages were all empty."""

    members: tuple[Replica, ...]


@attrs.frozen(kw_only=True)
class TimeoutNow:
    """Asks the receiver to stand for election at once."""


@attrs.frozen(kw_only=True)
class ReadRequest:
    """Asks the leader for the index that a linearizable read must wait for."""

    read_id: int


@attrs.frozen(kw_only=True)
class ReadReply:
    """The index to wait for; a refused request has none."""

    read_id: int
    index: int | None


@attrs.frozen(kw_only=True)
class Forward:
    """A command that a follower passes to the leader."""

    proposal_id: int
    command: bytes
    timeout_s: float


@attrs.frozen(kw_only=True)
class ForwardReply:
    """Answers :class:`Forward`; ``index`` is where the command was applied."""

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
        An empty incarnation addresses whichever is there, for a hello only.
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
    forward: Forward | None = None
    forward_reply: ForwardReply | None = None


@attrs.frozen(kw_only=True)
class ConsensusEnvelope:
    """Messages from one control instance to another, oldest first."""

    messages: tuple[PeerMessage, ...] = ()
