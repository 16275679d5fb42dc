"""Follower operations: receive log entries and snapshots from the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.consensus.effects import Restore
from verbenaplank.consensus.formation import join_cluster
from verbenaplank.consensus.state import PartialSnapshot
from verbenaplank.consensus.state import Role
from verbenaplank.consensus.state import append_entries
from verbenaplank.consensus.state import become_follower
from verbenaplank.consensus.state import commit
from verbenaplank.consensus.state import reset_election_timer
from verbenaplank.consensus.state import save
from verbenaplank.consensus.state import send
from verbenaplank.consensus.state import truncate_entries
from verbenaplank.protocol.consensus import AppendReply
from verbenaplank.protocol.consensus import SnapshotReply
from verbenaplank.storage.model import Snapshot

if TYPE_CHECKING:
    from verbenaplank.consensus.state import ReplicaState
    from verbenaplank.protocol.consensus import AppendRequest
    from verbenaplank.protocol.consensus import LogEntry
    from verbenaplank.protocol.consensus import PeerMessage
    from verbenaplank.protocol.consensus import SnapshotChunk


SNAPSHOT_NOT_NEEDED_BYTES = 2**62
"""Larger than any snapshot: tells the leader that it need not send one."""


def on_append_request(
    state: ReplicaState, message: PeerMessage, request: AppendRequest
) -> None:
    """Append the leader's entries if the log contains the entry before them.

    Otherwise the reply rejects them and names the highest index that may match.
    """
    if not _accept_leader(state, message):
        _reply(state, message, request, accepted=False, match_index=0)
        return
    previous = max(request.previous_index, state.log.base_index)
    covered = request.previous_index < state.log.base_index
    if not covered and state.log.term_at(previous) != request.previous_term:
        hint = _highest_possible_match(state, previous)
        _reply(state, message, request, accepted=False, match_index=hint)
        return
    _append_missing(state, request.entries)
    match = max(previous, request.previous_index + len(request.entries))
    commit(state, min(request.commit_index, match))
    _record_quorum_confirmation(state, request)
    _reply(state, message, request, accepted=True, match_index=match)


def on_snapshot_chunk(
    state: ReplicaState, message: PeerMessage, chunk: SnapshotChunk
) -> None:
    """Collect the chunks of a snapshot and install it when it is complete.

    Chunks of another snapshot or of another leader's term start it anew.
    """
    if not _accept_leader(state, message):
        _reply_to_chunk(state, message, chunk, 0)
        return
    if chunk.index <= state.commit_index:
        _reply_to_chunk(state, message, chunk, SNAPSHOT_NOT_NEEDED_BYTES)
        return
    partial = state.partial_snapshot
    if partial is None or (partial.index, partial.term) != (chunk.index, message.term):
        partial = PartialSnapshot(index=chunk.index, term=message.term)
        state.partial_snapshot = partial
    if len(partial.data) == chunk.offset_bytes:
        partial.data += chunk.data
        if chunk.final:
            _install_snapshot(state, chunk, bytes(partial.data))
    _reply_to_chunk(state, message, chunk, len(partial.data))


def _accept_leader(state: ReplicaState, message: PeerMessage) -> bool:
    if message.term < state.term:
        return False
    if not state.is_member:
        join_cluster(state, message)
    follows = state.role is Role.FOLLOWER and message.sender == state.leader
    if message.term > state.term or not follows:
        become_follower(state, message.term, message.sender)
    state.last_leader_contact_s = state.now_s
    reset_election_timer(state)
    return True


def _append_missing(state: ReplicaState, entries: tuple[LogEntry, ...]) -> None:
    for position, entry in enumerate(entries):
        if entry.index <= state.log.base_index:
            continue
        held_term = state.log.term_at(entry.index)
        if held_term == entry.term:
            continue
        if held_term is not None:
            truncate_entries(state, entry.index)
        append_entries(state, entries[position:])
        return


def _highest_possible_match(state: ReplicaState, previous: int) -> int:
    if previous > state.log.last_index:
        return state.log.last_index
    first = state.log.first_index_of_term_at(previous)
    return max(state.commit_index, first - 1)


def _record_quorum_confirmation(state: ReplicaState, request: AppendRequest) -> None:
    """Record the time at which a quorum confirmed the leader of this follower.

    The request returns this follower's own clock from an earlier reply. It counts
    only if everything that the leader had committed is committed here, and if the
    time lies between this replica's start and now: the clock of an earlier start
    is not comparable.
    """
    if not request.backed or request.echo_s is None:
        return
    if state.commit_index < request.commit_index:
        return
    if state.started_s <= request.echo_s <= state.now_s:
        state.quorum_confirmed_s = max(state.quorum_confirmed_s, request.echo_s)


def _reply(
    state: ReplicaState,
    message: PeerMessage,
    request: AppendRequest,
    *,
    accepted: bool,
    match_index: int,
) -> None:
    reply = AppendReply(
        accepted=accepted,
        match_index=match_index,
        echo_s=request.sent_s,
        sent_s=state.now_s,
    )
    send(state, message.sender, after_sync=True, append_reply=reply)


def _reply_to_chunk(
    state: ReplicaState, message: PeerMessage, chunk: SnapshotChunk, received_bytes: int
) -> None:
    reply = SnapshotReply(
        index=chunk.index,
        received_bytes=received_bytes,
        echo_s=chunk.sent_s,
        sent_s=state.now_s,
    )
    send(state, message.sender, after_sync=True, snapshot_reply=reply)


def _install_snapshot(state: ReplicaState, chunk: SnapshotChunk, data: bytes) -> None:
    snapshot = Snapshot(
        index=chunk.index, term=chunk.entry_term, members=chunk.members, data=data
    )
    state.partial_snapshot = None
    state.log.compact(snapshot.index, snapshot.term)
    kept = [item for item in state.member_history if item[0] > snapshot.index]
    kept = kept if state.log.entries else []
    state.member_history = [(snapshot.index, snapshot.members), *kept]
    state.snapshot = snapshot
    state.commit_index = snapshot.index
    state.durable_index = min(state.durable_index, state.log.last_index)
    state.unsynced_writes.clear()
    save(state, snapshot=snapshot, entries=tuple(state.log.entries))
    state.effects.append(Restore(snapshot=snapshot))
