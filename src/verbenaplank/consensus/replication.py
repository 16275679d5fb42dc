"""Leader operations: replication, commit, lease and leadership transfer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.consensus.state import NEVER_S
from verbenaplank.consensus.state import Progress
from verbenaplank.consensus.state import Role
from verbenaplank.consensus.state import append_entries
from verbenaplank.consensus.state import become_follower
from verbenaplank.consensus.state import commit
from verbenaplank.consensus.state import send
from verbenaplank.protocol.consensus import AppendRequest
from verbenaplank.protocol.consensus import LogEntry
from verbenaplank.protocol.consensus import LogEntryKind
from verbenaplank.protocol.consensus import SnapshotChunk
from verbenaplank.protocol.consensus import TimeoutNow

if TYPE_CHECKING:
    from verbenaplank.consensus.state import ReplicaState
    from verbenaplank.protocol.consensus import AppendReply
    from verbenaplank.protocol.consensus import PeerMessage
    from verbenaplank.protocol.consensus import Replica
    from verbenaplank.protocol.consensus import SnapshotReply

MAX_BATCH_ENTRIES = 256
MAX_BATCH_BYTES = 1024 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024

LEARNER_DROP_ELECTION_TIMEOUTS = 20.0
"""Silence, in election timeouts, after which nothing more is sent to a learner."""


def become_leader(state: ReplicaState) -> None:
    """Become leader of the current term and append a no-op entry in it.

    Entries of earlier terms can be committed only through an entry of this term.
    """
    state.role = Role.LEADER
    state.leader = state.replica
    state.leader_since_s = state.now_s
    state.term_start_index = state.log.last_index + 1
    state.progress = {
        member: Progress(next_index=state.term_start_index)
        for member in state.members
        if member != state.replica
    }
    propose(state, LogEntryKind.NO_OPERATION)


def propose(
    state: ReplicaState,
    kind: LogEntryKind,
    data: bytes = b"",
    members: tuple[Replica, ...] = (),
) -> int:
    """Append an entry to the leader's log, replicate it and return its index.

    Replication also starts to voters that the entry adds.
    """
    index = state.log.last_index + 1
    entry = LogEntry(
        index=index, term=state.term, kind=kind, data=data, members=members
    )
    append_entries(state, [entry])
    for member in state.members:
        if member != state.replica and member not in state.progress:
            state.progress[member] = Progress(next_index=index)
    replicate(state)
    return index


def replicate(state: ReplicaState) -> None:
    """Send the next entries to each replica that has no request in flight."""
    for replica, progress in state.progress.items():
        if not progress.in_flight:
            _send_next(state, replica, progress)


def send_heartbeats(state: ReplicaState) -> None:
    """Send a request to each replica, to renew the lease and replace lost requests.

    A replica that has not answered its last request is sent an append request
    without entries, whose reply makes the leader send the missing entries. While it
    needs a snapshot, it is sent the unanswered chunk again.
    """
    state.heartbeat_due_s = state.now_s + state.timing.heartbeat_s
    _drop_silent_learners(state)
    for replica, progress in state.progress.items():
        if progress.in_flight and progress.next_index > state.log.base_index:
            _send_append(state, replica, progress, [])
        else:
            _send_next(state, replica, progress)


def quorum_acknowledged_s(state: ReplicaState) -> float:
    """Return the latest time such that a quorum answered requests sent since then.

    The time is in seconds on the leader's clock.
    """
    times = sorted(_acknowledged_s(state, member) for member in state.members)
    return times[len(times) - state.quorum]


def heard_s(state: ReplicaState, replica: Replica) -> float:
    """Return when the leader last heard from a replica, on the leader's clock.

    That is the time of sending the newest request that the replica answered, but not
    before this replica became the leader.
    """
    progress = state.progress.get(replica)
    answered_s = progress.acknowledged_sent_s if progress else NEVER_S
    return max(answered_s, state.leader_since_s)


def failures_to_spare(state: ReplicaState) -> int:
    """Return how many of the voters that answer this leader the quorum can do without.

    A voter answers if it has done so within an election timeout.
    """
    since_s = state.now_s - state.timing.election_timeout_s
    alive = sum(_acknowledged_s(state, member) >= since_s for member in state.members)
    return max(0, alive - state.quorum)


def holds_lease(state: ReplicaState) -> bool:
    """Return whether this replica leads and its lease excludes any other leader."""
    if state.role is not Role.LEADER:
        return False
    return state.now_s < quorum_acknowledged_s(state) + state.timing.lease_s


def step_down_without_quorum(state: ReplicaState) -> None:
    """Become a follower if no quorum has answered for an election timeout."""
    last_quorum_contact_s = max(state.leader_since_s, quorum_acknowledged_s(state))
    if state.now_s >= last_quorum_contact_s + state.timing.election_timeout_s:
        become_follower(state, state.term, None)


def on_append_reply(
    state: ReplicaState, message: PeerMessage, reply: AppendReply
) -> None:
    """Update the progress of a replica and send it the next entries."""
    progress = state.progress.get(message.sender)
    if state.role is not Role.LEADER or progress is None:
        return
    progress.in_flight = False
    _record_reply(progress, reply.echo_s, reply.sent_s)
    if reply.accepted:
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        advance_commit(state)
    else:
        highest = min(progress.next_index - 1, reply.match_index + 1)
        progress.next_index = max(progress.match_index + 1, highest)
    if not reply.accepted or _has_updates(state, progress):
        _send_next(state, message.sender, progress)


def on_snapshot_reply(
    state: ReplicaState, message: PeerMessage, reply: SnapshotReply
) -> None:
    """Update the progress of a snapshot and send its next chunk or later entries."""
    progress = state.progress.get(message.sender)
    if state.role is not Role.LEADER or progress is None:
        return
    progress.in_flight = False
    _record_reply(progress, reply.echo_s, reply.sent_s)
    snapshot = state.snapshot
    if snapshot is None or reply.index != snapshot.index:
        return
    progress.snapshot_offset_bytes = reply.received_bytes
    if reply.received_bytes >= len(snapshot.data):
        progress.match_index = max(progress.match_index, snapshot.index)
        progress.next_index = max(progress.next_index, snapshot.index + 1)
        progress.snapshot_offset_bytes = 0
    _send_next(state, message.sender, progress)


def advance_commit(state: ReplicaState) -> None:
    """Commit the entries that are durable on a quorum.

    The last of them must be of the current term: an entry of an earlier term may
    still be overwritten although a quorum holds it.
    """
    durable = sorted(_durable_index(state, member) for member in state.members)
    index = durable[len(durable) - state.quorum]
    if index > state.commit_index and state.log.term_at(index) == state.term:
        commit(state, index)
        replicate(state)


def start_leadership_transfer(state: ReplicaState) -> None:
    """Start a leadership transfer, unless this replica is the only voter.

    The leader rejects commands until it steps down or an election timeout passes.
    """
    if state.role is Role.LEADER and len(state.members) > 1:
        state.transfer_deadline_s = state.now_s + state.timing.election_timeout_s


def finish_leadership_transfer(state: ReplicaState) -> None:
    """Step down and ask a voter that has the whole log to start an election.

    If several have it, one that is not about to stop is asked, and of these the one
    whose newest answered request is the latest: it is the most likely to be alive.
    Stepping down gives up the lease. While no voter has the whole log, this replica
    stays leader.
    """
    ready = [
        (progress.leaving_until_s <= state.now_s, progress.acknowledged_sent_s, member)
        for member, progress in state.progress.items()
        if member in state.members and progress.match_index == state.log.last_index
    ]
    if not ready:
        return
    successor = max(ready, key=lambda item: item[:2])[2]
    send(state, successor, after_sync=False, hand_over=TimeoutNow())
    become_follower(state, state.term, None)


def _drop_silent_learners(state: ReplicaState) -> None:
    """Stop to replicate to learners that are probably gone for good.

    One that is back says hello, since it hears from no leader.
    """
    limit_s = LEARNER_DROP_ELECTION_TIMEOUTS * state.timing.election_timeout_s
    for replica, progress in list(state.progress.items()):
        heard_s = max(progress.acknowledged_sent_s, progress.added_s)
        heard_s = max(heard_s, state.leader_since_s)
        if replica not in state.members and state.now_s - heard_s > limit_s:
            del state.progress[replica]


def _durable_index(state: ReplicaState, member: Replica) -> int:
    if member == state.replica:
        return state.durable_index
    return state.progress[member].match_index


def _acknowledged_s(state: ReplicaState, member: Replica) -> float:
    if member == state.replica:
        return state.now_s
    return state.progress[member].acknowledged_sent_s


def _record_reply(progress: Progress, echo_s: float, sent_s: float) -> None:
    progress.acknowledged_sent_s = max(progress.acknowledged_sent_s, echo_s)
    progress.echo_s = sent_s


def _has_updates(state: ReplicaState, progress: Progress) -> bool:
    unsent = progress.next_index <= state.log.last_index
    return unsent or progress.commit_index < state.commit_index


def _send_next(state: ReplicaState, replica: Replica, progress: Progress) -> None:
    progress.in_flight = True
    if progress.next_index <= state.log.base_index:
        _send_snapshot_chunk(state, replica, progress)
        return
    previous = progress.next_index - 1
    entries = state.log.next_batch(previous, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES)
    _send_append(state, replica, progress, entries)


def _send_append(
    state: ReplicaState, replica: Replica, progress: Progress, entries: list[LogEntry]
) -> None:
    previous = progress.next_index - 1
    progress.commit_index = state.commit_index
    request = AppendRequest(
        previous_index=previous,
        previous_term=state.log.term_at(previous) or 0,
        commit_index=state.commit_index,
        entries=tuple(entries),
        sent_s=state.now_s,
        echo_s=progress.echo_s,
        backed=holds_lease(state) and state.commit_index >= state.term_start_index,
    )
    send(state, replica, after_sync=False, append_request=request)


def _send_snapshot_chunk(
    state: ReplicaState, replica: Replica, progress: Progress
) -> None:
    snapshot = state.snapshot
    if snapshot is None:
        raise AssertionError("the log is compacted but there is no snapshot")
    if progress.snapshot_index != snapshot.index:
        progress.snapshot_index = snapshot.index
        progress.snapshot_offset_bytes = 0
    start = progress.snapshot_offset_bytes
    end = min(start + SNAPSHOT_CHUNK_BYTES, len(snapshot.data))
    chunk = SnapshotChunk(
        index=snapshot.index,
        entry_term=snapshot.term,
        members=snapshot.members,
        offset_bytes=start,
        data=snapshot.data[start:end],
        final=end == len(snapshot.data),
        sent_s=state.now_s,
    )
    send(state, replica, after_sync=False, snapshot_chunk=chunk)
