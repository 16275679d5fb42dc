"""Duties of a leader: replicate entries, commit them, keep its lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

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
    from verbenaplank.consensus.state import State
    from verbenaplank.protocol.consensus import AppendReply
    from verbenaplank.protocol.consensus import PeerMessage
    from verbenaplank.protocol.consensus import Replica
    from verbenaplank.protocol.consensus import SnapshotReply

MAX_BATCH_ENTRIES = 256
MAX_BATCH_BYTES = 1024 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024


def become_leader(state: State) -> None:
    """Lead in the current term, beginning with an entry of this term."""
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
    state: State,
    kind: LogEntryKind,
    data: bytes = b"",
    members: tuple[Replica, ...] = (),
) -> int:
    """Append an entry to the leader's log, replicate it and return its index."""
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


def replicate(state: State) -> None:
    """Send news to every replica that has answered the last request."""
    for replica, progress in state.progress.items():
        if not progress.in_flight:
            _send_next(state, replica, progress)


def send_heartbeats(state: State) -> None:
    """Renew the lease, and repeat what may have been lost."""
    state.heartbeat_due_s = state.now_s + state.timing.heartbeat_s
    for replica, progress in state.progress.items():
        if progress.in_flight and progress.next_index > state.log.base_index:
            _send_append(state, replica, progress, [])
        else:
            _send_next(state, replica, progress)


def quorum_answered_s(state: State) -> float:
    """Return the newest time at which requests that a quorum answered left."""
    times = sorted(_answered_s(state, member) for member in state.members)
    return times[len(times) - state.quorum]


def holds_lease(state: State) -> bool:
    """Return whether no other replica can be leader now."""
    if state.role is not Role.LEADER:
        return False
    return state.now_s < quorum_answered_s(state) + state.timing.lease_s


def step_down_without_quorum(state: State) -> None:
    """Stop leading if no quorum has answered for an election timeout."""
    heard_s = max(state.leader_since_s, quorum_answered_s(state))
    if state.now_s >= heard_s + state.timing.election_timeout_s:
        become_follower(state, state.term, None)


def on_append_reply(state: State, message: PeerMessage, reply: AppendReply) -> None:
    """Note what a replica holds and send it what follows."""
    progress = state.progress.get(message.sender)
    if state.role is not Role.LEADER or progress is None:
        return
    progress.in_flight = False
    _note_answer(progress, reply.echo_s, reply.sent_s)
    if reply.accepted:
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        advance_commit(state)
    else:
        highest = min(progress.next_index - 1, reply.match_index + 1)
        progress.next_index = max(progress.match_index + 1, highest)
    if not reply.accepted or _has_news(state, progress):
        _send_next(state, message.sender, progress)


def on_snapshot_reply(state: State, message: PeerMessage, reply: SnapshotReply) -> None:
    """Send the next part of a snapshot, or what follows the snapshot."""
    progress = state.progress.get(message.sender)
    if state.role is not Role.LEADER or progress is None:
        return
    progress.in_flight = False
    _note_answer(progress, reply.echo_s, reply.sent_s)
    snapshot = state.snapshot
    if snapshot is None or reply.index != snapshot.index:
        return
    progress.snapshot_offset_bytes = reply.received_bytes
    if reply.received_bytes >= len(snapshot.data):
        progress.match_index = max(progress.match_index, snapshot.index)
        progress.next_index = max(progress.next_index, snapshot.index + 1)
        progress.snapshot_offset_bytes = 0
    _send_next(state, message.sender, progress)


def advance_commit(state: State) -> None:
    """Commit what a quorum holds durably, if it ends in the current term."""
    held = sorted(_held_index(state, member) for member in state.members)
    index = held[len(held) - state.quorum]
    if index > state.commit_index and state.log.term_at(index) == state.term:
        commit(state, index)
        replicate(state)


def start_hand_over(state: State) -> None:
    """Take no more commands until another replica leads, or none could."""
    if state.role is Role.LEADER and len(state.members) > 1:
        state.hand_over_until_s = state.now_s + state.timing.election_timeout_s


def finish_hand_over(state: State) -> None:
    """Give up the lease and ask a replica with the whole log to stand.

    Of those it asks the one that answered last, as it is most likely alive.
    """
    ready = [
        (progress.acknowledged_sent_s, member)
        for member, progress in state.progress.items()
        if member in state.members and progress.match_index == state.log.last_index
    ]
    if not ready:
        return
    successor = max(ready, key=lambda item: item[0])[1]
    send(state, successor, after_sync=False, hand_over=TimeoutNow())
    become_follower(state, state.term, None)


def _held_index(state: State, member: Replica) -> int:
    if member == state.replica:
        return state.durable_index
    return state.progress[member].match_index


def _answered_s(state: State, member: Replica) -> float:
    if member == state.replica:
        return state.now_s
    return state.progress[member].acknowledged_sent_s


def _note_answer(progress: Progress, echo_s: float, sent_s: float) -> None:
    progress.acknowledged_sent_s = max(progress.acknowledged_sent_s, echo_s)
    progress.echo_s = sent_s


def _has_news(state: State, progress: Progress) -> bool:
    unsent = progress.next_index <= state.log.last_index
    return unsent or progress.commit_index < state.commit_index


def _send_next(state: State, replica: Replica, progress: Progress) -> None:
    progress.in_flight = True
    if progress.next_index <= state.log.base_index:
        _send_chunk(state, replica, progress)
        return
    previous = progress.next_index - 1
    entries = state.log.batch(previous, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES)
    _send_append(state, replica, progress, entries)


def _send_append(
    state: State, replica: Replica, progress: Progress, entries: list[LogEntry]
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


def _send_chunk(state: State, replica: Replica, progress: Progress) -> None:
    snapshot = state.snapshot
    if snapshot is None:
        raise AssertionError("the log is compacted without a snapshot")
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
