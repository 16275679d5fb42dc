"""State of one Raft replica and the operations shared by all roles."""

from __future__ import annotations

import math
import random
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

import attrs

from verbenaplank.consensus.effects import Apply
from verbenaplank.consensus.effects import Effect
from verbenaplank.consensus.effects import Save
from verbenaplank.consensus.effects import Send
from verbenaplank.consensus.log import Log
from verbenaplank.protocol.consensus import LogEntry
from verbenaplank.protocol.consensus import LogEntryKind
from verbenaplank.protocol.consensus import PeerMessage
from verbenaplank.protocol.consensus import Replica
from verbenaplank.protocol.consensus import StorageState
from verbenaplank.storage.model import Identity
from verbenaplank.storage.model import Snapshot
from verbenaplank.storage.model import Vote
from verbenaplank.storage.model import Write

if TYPE_CHECKING:
    from collections.abc import Sequence

LEASE_FRACTION = 0.8
"""Leader lease as a fraction of the election timeout.

The remainder is a margin for clocks that run at different rates.
"""

NEVER_S = -math.inf
"""Time of an event that has not happened yet."""


class Role(Enum):
    """Raft role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen(kw_only=True)
class Timing:
    """Periods of the Raft timers.

    Attributes
    ----------
    heartbeat_s
        Interval between two heartbeats of the leader, in seconds.
    election_timeout_s
        Shortest time without a leader's message after which a follower starts
        an election, in seconds.
    """

    heartbeat_s: float
    election_timeout_s: float

    @property
    def lease_s(self) -> float:
        """Return the duration of the leader lease, in seconds.

        A lease starts when the leader sends requests that a quorum then answers.
        """
        return self.election_timeout_s * LEASE_FRACTION


@attrs.frozen(kw_only=True)
class GroupRules:
    """Rules for bootstrapping a Raft group and for choosing its voters.

    Attributes
    ----------
    may_found
        Whether this replica may bootstrap a cluster while its storage is empty.
    open
        Whether replicas that the settings do not name may join. The leader of an
        open group adds and replaces voters to reach ``2 * tolerated_losses + 1``.
    tolerated_losses
        Number of storages that may be lost at the same time. A quorum has at
        least one voter more than this; a group that has no more voters than this
        needs all of them.
    """

    may_found: bool = True
    open: bool = False
    tolerated_losses: int = 0

    @property
    def target_voter_count(self) -> int:
        """Return the number of voters that an open group should have."""
        return 2 * self.tolerated_losses + 1


@attrs.define(kw_only=True)
class Progress:
    """Replication progress of another replica, as the leader tracks it.

    Attributes
    ----------
    next_index
        Index of the next log entry to send.
    match_index
        Highest index up to which the replica's synced log is known to match the
        leader's.
    commit_index
        Commit index in the last append request sent to the replica.
    in_flight
        Whether no reply has arrived since the last request was sent.
    acknowledged_sent_s
        Time at which the leader sent the newest answered request, in seconds.
    echo_s
        Clock of the replica as given in its last reply, in seconds; the next
        request returns it.
    snapshot_index
        Index of the snapshot that is being sent, or was sent last.
    snapshot_offset_bytes
        Number of bytes of that snapshot that the replica has received.
    added_s
        Time at which the leader began to replicate to a learner, in seconds.
    leaving_until_s
        Time until which the replica counts as one that stops, in seconds.
    """

    next_index: int
    match_index: int = 0
    commit_index: int = 0
    in_flight: bool = False
    acknowledged_sent_s: float = NEVER_S
    echo_s: float | None = None
    snapshot_index: int = 0
    snapshot_offset_bytes: int = 0
    added_s: float = NEVER_S
    leaving_until_s: float = NEVER_S


@attrs.define(kw_only=True)
class PendingRead:
    """A linearizable read that waits for a quorum to confirm the leader.

    Attributes
    ----------
    read_id
        Identifier by which the requester matches the answer to its read.
    requester
        The follower that asked for the read index; ``None`` for a local read.
    index
        Read index: the entry that must be applied before the read.
    started_s
        Time at which the leader received the read, in seconds.
    """

    read_id: int
    requester: Replica | None
    index: int
    started_s: float


@attrs.define(kw_only=True)
class PartialSnapshot:
    """The chunks of a snapshot received so far.

    Attributes
    ----------
    index
        Index of the last log entry that the snapshot covers.
    term
        Term of the leader that sends the snapshot.
    data
        The bytes received, without gaps.
    """

    index: int = 0
    term: int = 0
    data: bytearray = attrs.field(factory=bytearray)


@attrs.define(kw_only=True)
class ReplicaState:
    """Complete in-memory state of one replica.

    Times are in seconds on the monotonic clock of this replica.

    Attributes
    ----------
    peer_ids
        Instances that the settings name, usually including this one.
    durable_index
        Index of the last log entry that this replica has synced to its storage.
    member_history
        Pairs of a log index and the voters that the entry at that index sets. The
        last pair is in force, even before its entry is committed.
    last_leader_contact_s
        Time of the last message from a leader. Vote requests are ignored for an
        election timeout after it. A replica that starts assumes its start time,
        since it does not know when it last heard from a leader.
    now_s
        Time of the event that is being handled.
    group
        Rules for bootstrapping the group and choosing its voters.
    learned_voter_ids
        Voters that other instances have named in their replies to a hello. In an
        open group, this replica sends its hello to them too.
    term_start_index
        Index of the first entry that this replica appended as leader of its term.
    quorum_confirmed_s
        Latest known time, on this follower's clock, at which the leader that it
        follows was confirmed by a quorum.
    storage_reports
        For each instance identifier, the replica and the state of its storage, as
        given in its last reply to a hello.
    founder
        The replica that may bootstrap a cluster; ``None`` until it sends a hello.
    transfer_deadline_s
        Time at which the leader aborts a leadership transfer in progress.
    is_leaving
        Whether this replica has asked to be replaced, because it stops.
    leave_pending
        Whether its replacement is in progress or may still begin, as far as it knows.
    writable
        Whether the storage accepts writes.
    sequence
        Sequence number of the last write requested.
    unsynced_writes
        Writes that are not durable yet: pairs of the sequence number and the last
        log index at the time of the write.
    effects
        Effects produced by the event that is being handled.
    """

    identity: Identity
    peer_ids: tuple[str, ...]
    timing: Timing
    random: random.Random
    started_s: float
    term: int
    voted_for: Replica | None
    log: Log
    snapshot: Snapshot | None
    durable_index: int
    member_history: list[tuple[int, tuple[Replica, ...]]]
    commit_index: int
    last_leader_contact_s: float
    now_s: float
    group: GroupRules = GroupRules()
    learned_voter_ids: set[str] = attrs.field(factory=set)
    election_due_s: float = math.inf
    heartbeat_due_s: float = math.inf
    hello_due_s: float = math.inf
    role: Role = Role.FOLLOWER
    leader: Replica | None = None
    leader_since_s: float = NEVER_S
    term_start_index: int = 0
    quorum_confirmed_s: float = NEVER_S
    votes: set[Replica] = attrs.field(factory=set)
    progress: dict[Replica, Progress] = attrs.field(factory=dict)
    reads: list[PendingRead] = attrs.field(factory=list)
    partial_snapshot: PartialSnapshot | None = None
    storage_reports: dict[str, tuple[Replica, StorageState]] = attrs.field(factory=dict)
    founder: Replica | None = None
    transfer_deadline_s: float = NEVER_S
    is_leaving: bool = False
    leave_pending: bool = True
    writable: bool = True
    sequence: int = 0
    unsynced_writes: deque[tuple[int, int]] = attrs.field(factory=deque)
    effects: list[Effect] = attrs.field(factory=list)

    @property
    def replica(self) -> Replica:
        """Return the identity of this replica: instance and storage incarnation."""
        return self.identity.replica

    @property
    def is_member(self) -> bool:
        """Return whether this replica's storage belongs to a cluster."""
        return self.identity.state is StorageState.MEMBER

    @property
    def members(self) -> tuple[Replica, ...]:
        """Return the voters in force."""
        return self.member_history[-1][1] if self.member_history else ()

    @property
    def is_transferring_leadership(self) -> bool:
        """Return whether a leadership transfer is in progress."""
        return self.now_s < self.transfer_deadline_s

    @property
    def members_committed(self) -> bool:
        """Return whether the entry that set the voters in force is committed."""
        return self.member_history[-1][0] <= self.commit_index

    @property
    def quorum(self) -> int:
        """Return the quorum size: a majority, and more voters than may be lost.

        While a group has at most ``tolerated_losses + 1`` voters, it needs all of them.
        """
        count = len(self.members)
        return max(count // 2 + 1, min(count, self.group.tolerated_losses + 1))

    def has_quorum(self, replicas: set[Replica]) -> bool:
        """Return whether these replicas include a quorum of the voters."""
        return len(replicas.intersection(self.members)) >= self.quorum

    def is_peer(self, instance_id: str) -> bool:
        """Return whether another instance may belong to this group."""
        if instance_id == self.replica.instance_id:
            return False
        return self.group.open or instance_id in self.peer_ids


def send(
    state: ReplicaState, recipient: Replica, *, after_sync: bool, **body: Any
) -> None:
    """Emit a message to ``recipient``, in the current term unless ``body`` sets one.

    With ``after_sync``, the message is sent once all earlier writes are durable.
    """
    message = PeerMessage(
        sender=state.replica,
        recipient=recipient,
        cluster_id=state.identity.cluster_id,
        **{"term": state.term, **body},
    )
    state.effects.append(Send(message=message, after_sync=after_sync))


def save(state: ReplicaState, **parts: Any) -> None:
    """Emit a write; once it is synced, the log is durable up to its current end."""
    state.sequence += 1
    write = Write(sequence=state.sequence, **parts)
    state.effects.append(Save(write=write))
    state.unsynced_writes.append((state.sequence, state.log.last_index))


def on_synced(state: ReplicaState, sequence: int) -> None:
    """Advance the durable index after writes up to ``sequence`` were synced."""
    while state.unsynced_writes and state.unsynced_writes[0][0] <= sequence:
        state.durable_index = state.unsynced_writes.popleft()[1]


def save_vote(state: ReplicaState) -> None:
    """Emit a write of the current term and vote."""
    save(state, vote=Vote(term=state.term, voted_for=state.voted_for))


def append_entries(state: ReplicaState, entries: Sequence[LogEntry]) -> None:
    """Append entries to the log, apply membership changes and emit the write."""
    state.log.append(entries)
    for entry in entries:
        if entry.kind is LogEntryKind.MEMBERSHIP:
            state.member_history.append((entry.index, entry.members))
    save(state, entries=tuple(entries))


def truncate_entries(state: ReplicaState, index: int) -> None:
    """Remove the entries from ``index`` on, which conflict with the leader's.

    Voters that a removed entry set are no longer in force.

    Raises
    ------
    AssertionError
        If the entry at ``index`` is committed.
    """
    if index <= state.commit_index:
        raise AssertionError(f"entry {index} is committed and cannot be truncated")
    state.log.truncate_from(index)
    last = index - 1
    state.durable_index = min(state.durable_index, last)
    state.unsynced_writes = deque(
        (number, min(i, last)) for number, i in state.unsynced_writes
    )
    while state.member_history and state.member_history[-1][0] > last:
        state.member_history.pop()


def commit(state: ReplicaState, index: int) -> None:
    """Advance the commit index and emit the newly committed entries for applying."""
    if index <= state.commit_index:
        return
    entries = state.log.entries_between(state.commit_index, index)
    state.commit_index = index
    state.effects.append(Apply(entries=entries))


def become_follower(state: ReplicaState, term: int, leader: Replica | None) -> None:
    """Become a follower in ``term``; ``leader`` is ``None`` while it is unknown."""
    if term > state.term:
        state.term = term
        state.voted_for = None
        save_vote(state)
        state.quorum_confirmed_s = NEVER_S
    if state.role is not Role.FOLLOWER or leader != state.leader:
        state.quorum_confirmed_s = NEVER_S
    state.role = Role.FOLLOWER
    state.leader = leader
    state.votes.clear()
    state.progress.clear()
    state.transfer_deadline_s = NEVER_S
    state.heartbeat_due_s = math.inf
    reset_election_timer(state)


def reset_election_timer(state: ReplicaState) -> None:
    """Schedule the next election one to two election timeouts from now.

    The random factor keeps replicas from starting elections at the same time.
    """
    factor = 1.0 + state.random.random()
    state.election_due_s = state.now_s + state.timing.election_timeout_s * factor


def has_live_leader(state: ReplicaState) -> bool:
    """Return whether this replica leads or heard from a leader recently.

    Recently means within an election timeout. That leader may hold a lease until
    then, so this replica must not help to elect another one.
    """
    if state.role is Role.LEADER:
        return True
    return state.now_s < state.last_leader_contact_s + state.timing.election_timeout_s
