"""The state of one replica, with the steps that all its duties share."""

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

LEASE_SHARE = 0.8
"""Lease over election timeout; the rest allows for clocks of unequal rate."""

NEVER_S = -math.inf


class Role(Enum):
    """What a replica does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen(kw_only=True)
class Timing:
    """Periods of the core."""

    heartbeat_s: float
    election_timeout_s: float

    @property
    def lease_s(self) -> float:
        """Return how long a quorum's answer backs the leader."""
        return self.election_timeout_s * LEASE_SHARE


@attrs.frozen(kw_only=True)
class GroupRules:
    """How the voters come together and which losses they bear.

    Attributes
    ----------
    may_found
        Whether a replica with empty storage may take part in a foundation.
    open
        Whether replicas that the settings do not name may join; then the voters
        are kept at ``2 * tolerated_losses + 1``.
    tolerated_losses
        Storages that may be lost at the same time; a quorum is always larger.
    """

    may_found: bool = True
    open: bool = False
    tolerated_losses: int = 0

    @property
    def voters(self) -> int:
        """Return how many voters an open group aims at."""
        return 2 * self.tolerated_losses + 1


@attrs.define(kw_only=True)
class Progress:
    """What the leader knows of another replica.

    Attributes
    ----------
    commit_index
        The commit index that it was last told.
    acknowledged_sent_s
        When the leader sent the newest request that was answered.
    echo_s
        The other replica's clock, as its last reply told it.
    """

    next_index: int
    match_index: int = 0
    commit_index: int = 0
    in_flight: bool = False
    acknowledged_sent_s: float = NEVER_S
    echo_s: float | None = None
    snapshot_index: int = 0
    snapshot_offset_bytes: int = 0


@attrs.define(kw_only=True)
class PendingRead:
    """A read that waits until a quorum answers the leader."""

    read_id: int
    reader: Replica | None
    index: int
    started_s: float


@attrs.define(kw_only=True)
class PartialSnapshot:
    """What has been received of a snapshot."""

    index: int = 0
    term: int = 0
    data: bytearray = attrs.field(factory=bytearray)


@attrs.define(kw_only=True)
class State:
    """Everything that one replica knows.

    Attributes
    ----------
    member_history
        The voters in force from an index on; the last ones are in force now,
        also while their entry is not committed.
    heard_s
        When a live leader was last heard; votes are refused for an election
        timeout after it, and after a start, when it is unknown.
    group
        How the voters come together.
    contact_ids
        Instances to which an open group's replica announces itself besides
        ``peer_ids``; learned from those that answered.
    backed_s
        A time at which a quorum backed the leader that this follower hears,
        on this follower's clock.
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
    heard_s: float
    now_s: float
    group: GroupRules = GroupRules()
    contact_ids: set[str] = attrs.field(factory=set)
    election_due_s: float = math.inf
    heartbeat_due_s: float = math.inf
    hello_due_s: float = math.inf
    role: Role = Role.FOLLOWER
    leader: Replica | None = None
    leader_since_s: float = NEVER_S
    term_start_index: int = 0
    backed_s: float = NEVER_S
    votes: set[Replica] = attrs.field(factory=set)
    progress: dict[Replica, Progress] = attrs.field(factory=dict)
    reads: list[PendingRead] = attrs.field(factory=list)
    partial: PartialSnapshot | None = None
    statements: dict[str, tuple[Replica, StorageState]] = attrs.field(factory=dict)
    founder: Replica | None = None
    hand_over_until_s: float = NEVER_S
    writable: bool = True
    sequence: int = 0
    unsynced: deque[tuple[int, int]] = attrs.field(factory=deque)
    effects: list[Effect] = attrs.field(factory=list)

    @property
    def replica(self) -> Replica:
        """Return this replica."""
        return self.identity.replica

    @property
    def is_member(self) -> bool:
        """Return whether the storage belongs to a cluster."""
        return self.identity.state is StorageState.MEMBER

    @property
    def members(self) -> tuple[Replica, ...]:
        """Return the voters in force."""
        return self.member_history[-1][1] if self.member_history else ()

    @property
    def hands_over(self) -> bool:
        """Return whether the leader is looking for another one."""
        return self.now_s < self.hand_over_until_s

    @property
    def members_committed(self) -> bool:
        """Return whether the voters in force are committed."""
        return self.member_history[-1][0] <= self.commit_index

    @property
    def quorum(self) -> int:
        """Return how many voters make a quorum: a majority, and more than may be lost.

        A small group that is still growing needs all of its voters.
        """
        count = len(self.members)
        return max(count // 2 + 1, min(count, self.group.tolerated_losses + 1))

    def has_quorum(self, replicas: set[Replica]) -> bool:
        """Return whether these replicas hold a majority of the voters."""
        return len(replicas.intersection(self.members)) >= self.quorum

    def is_peer(self, instance_id: str) -> bool:
        """Return whether an instance may belong to this group."""
        if instance_id == self.replica.instance_id:
            return False
        return self.group.open or instance_id in self.peer_ids


def send(state: State, recipient: Replica, *, after_sync: bool, **body: Any) -> None:
    """Send a message in the current term, unless ``body`` names another."""
    message = PeerMessage(
        sender=state.replica,
        recipient=recipient,
        cluster_id=state.identity.cluster_id,
        **{"term": state.term, **body},
    )
    state.effects.append(Send(message=message, after_sync=after_sync))


def save(state: State, **parts: Any) -> None:
    """Ask for a write; the log as it stands is durable once it is."""
    state.sequence += 1
    write = Write(sequence=state.sequence, **parts)
    state.effects.append(Save(write=write))
    state.unsynced.append((state.sequence, state.log.last_index))


def on_synced(state: State, sequence: int) -> None:
    """Note which entries are durable."""
    while state.unsynced and state.unsynced[0][0] <= sequence:
        state.durable_index = state.unsynced.popleft()[1]


def save_vote(state: State) -> None:
    """Make the term and the vote durable."""
    save(state, vote=Vote(term=state.term, voted_for=state.voted_for))


def append_entries(state: State, entries: Sequence[LogEntry]) -> None:
    """Add entries to the end of the log and make them durable."""
    state.log.append(entries)
    for entry in entries:
        if entry.kind is LogEntryKind.MEMBERSHIP:
            state.member_history.append((entry.index, entry.members))
    save(state, entries=tuple(entries))


def drop_entries(state: State, index: int) -> None:
    """Drop uncommitted entries from an index on, in favour of the leader's."""
    if index <= state.commit_index:
        raise AssertionError(f"entry {index} is committed and cannot be dropped")
    state.log.drop_from(index)
    last = index - 1
    state.durable_index = min(state.durable_index, last)
    state.unsynced = deque((number, min(i, last)) for number, i in state.unsynced)
    while state.member_history and state.member_history[-1][0] > last:
        state.member_history.pop()


def commit(state: State, index: int) -> None:
    """Commit entries up to an index and have them applied."""
    if index <= state.commit_index:
        return
    entries = state.log.between(state.commit_index, index)
    state.commit_index = index
    state.effects.append(Apply(entries=entries))


def become_follower(state: State, term: int, leader: Replica | None) -> None:
    """Follow a leader, known or not, in this term."""
    if term > state.term:
        state.term = term
        state.voted_for = None
        save_vote(state)
        state.backed_s = NEVER_S
    if state.role is not Role.FOLLOWER or leader != state.leader:
        state.backed_s = NEVER_S
    state.role = Role.FOLLOWER
    state.leader = leader
    state.votes.clear()
    state.progress.clear()
    state.hand_over_until_s = NEVER_S
    state.heartbeat_due_s = math.inf
    reset_election_timer(state)


def reset_election_timer(state: State) -> None:
    """Wait one to two election timeouts before the next election."""
    factor = 1.0 + state.random.random()
    state.election_due_s = state.now_s + state.timing.election_timeout_s * factor


def hears_leader(state: State) -> bool:
    """Return whether a leader may hold a lease that rests on this replica."""
    if state.role is Role.LEADER:
        return True
    return state.now_s < state.heard_s + state.timing.election_timeout_s
