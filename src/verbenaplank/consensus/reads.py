"""Linearizable reads: find the log index that must be applied before a read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.consensus.effects import ReadAnswered
from verbenaplank.consensus.replication import holds_lease
from verbenaplank.consensus.replication import quorum_acknowledged_s
from verbenaplank.consensus.replication import send_heartbeats
from verbenaplank.consensus.state import PendingRead
from verbenaplank.consensus.state import Role
from verbenaplank.consensus.state import send
from verbenaplank.protocol.consensus import ReadReply
from verbenaplank.protocol.consensus import ReadRequest

if TYPE_CHECKING:
    from verbenaplank.consensus.state import ReplicaState
    from verbenaplank.protocol.consensus import PeerMessage
    from verbenaplank.protocol.consensus import Replica


def start_read(state: ReplicaState, read_id: int) -> None:
    """Request the read index for a read on this replica.

    A follower asks its leader. Without a known leader the read is refused.
    """
    if state.role is Role.LEADER:
        _read_as_leader(state, read_id, requester=None)
    elif state.leader is not None:
        request = ReadRequest(read_id=read_id)
        send(state, state.leader, after_sync=False, read_request=request)
    else:
        state.effects.append(ReadAnswered(read_id=read_id, index=None))


def on_read_request(
    state: ReplicaState, message: PeerMessage, request: ReadRequest
) -> None:
    """Answer a follower's request for a read index; refuse it if not leading."""
    if state.role is Role.LEADER:
        _read_as_leader(state, request.read_id, message.sender)
    else:
        _send_answer(state, request.read_id, message.sender, None)


def on_read_reply(state: ReplicaState, message: PeerMessage, reply: ReadReply) -> None:
    """Pass the leader's reply on to the local caller."""
    del message
    state.effects.append(ReadAnswered(read_id=reply.read_id, index=reply.index))


def answer_ready_reads(state: ReplicaState) -> None:
    """Answer the pending reads that a quorum has confirmed.

    A replica that no longer leads refuses all of them.
    """
    if not state.reads:
        return
    leading = state.role is Role.LEADER
    confirmed_s = quorum_acknowledged_s(state) if leading else state.now_s
    waiting: list[PendingRead] = []
    for read in state.reads:
        if leading and confirmed_s < read.started_s and not holds_lease(state):
            waiting.append(read)
            continue
        _send_answer(
            state, read.read_id, read.requester, read.index if leading else None
        )
    state.reads = waiting


def _read_as_leader(
    state: ReplicaState, read_id: int, requester: Replica | None
) -> None:
    """Answer a read at once if the lease holds; otherwise queue it for a quorum.

    The read index is at least that of the first entry of this term. When that entry
    is committed, so are all entries that earlier leaders committed, so the index
    covers the commands that they acknowledged.
    """
    index = max(state.commit_index, state.term_start_index)
    if holds_lease(state):
        _send_answer(state, read_id, requester, index)
        return
    state.reads.append(
        PendingRead(
            read_id=read_id, requester=requester, index=index, started_s=state.now_s
        )
    )
    send_heartbeats(state)


def _send_answer(
    state: ReplicaState, read_id: int, requester: Replica | None, index: int | None
) -> None:
    if requester is None:
        state.effects.append(ReadAnswered(read_id=read_id, index=index))
        return
    reply = ReadReply(read_id=read_id, index=index)
    send(state, requester, after_sync=False, read_reply=reply)
