"""Linearizable reads: the index that a read must wait for."""

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
    """Ask the leader for the index of a read on this replica."""
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
    """Find the index for a follower's read."""
    if state.role is Role.LEADER:
        _read_as_leader(state, request.read_id, message.sender)
    else:
        _send_answer(state, request.read_id, message.sender, None)


def on_read_reply(state: ReplicaState, message: PeerMessage, reply: ReadReply) -> None:
    """Pass the leader's answer on to the requester."""
    del message
    state.effects.append(ReadAnswered(read_id=reply.read_id, index=reply.index))


def answer_ready_reads(state: ReplicaState) -> None:
    """Answer the reads that a quorum has confirmed, or all if not leading."""
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
    """Note a read; it waits at least for the first entry of this term.

    That entry is committed only together with all that earlier leaders have
    committed, so an index at or above it covers their acknowledged commands.
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
