"""Leader election: pre-votes, votes and the rules for granting them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.consensus.replication import become_leader
from verbenaplank.consensus.state import Role
from verbenaplank.consensus.state import has_live_leader
from verbenaplank.consensus.state import reset_election_timer
from verbenaplank.consensus.state import save_vote
from verbenaplank.consensus.state import send
from verbenaplank.protocol.consensus import VoteReply
from verbenaplank.protocol.consensus import VoteRequest

if TYPE_CHECKING:
    from verbenaplank.consensus.state import ReplicaState
    from verbenaplank.protocol.consensus import PeerMessage


def is_electable(state: ReplicaState) -> bool:
    """Return whether this replica is a voter that writes and is not about to stop."""
    can_lead = state.writable and not state.is_leaving
    return state.is_member and can_lead and state.replica in state.members


def start_pre_vote(state: ReplicaState) -> None:
    """Become a pre-candidate and ask the voters whether they would vote for it.

    The term does not change, so a replica that cannot win does not disturb the
    leader.
    """
    state.role = Role.PRE_CANDIDATE
    state.leader = None
    state.votes = {state.replica}
    reset_election_timer(state)
    if state.has_quorum(state.votes):
        start_election(state, hand_over=False)
        return
    _request_votes(state, term=state.term + 1, pre_vote=True, hand_over=False)


def start_election(state: ReplicaState, *, hand_over: bool) -> None:
    """Become a candidate in a new term and request votes.

    With ``hand_over``, the requests say that the leader asked for this election.
    """
    state.role = Role.CANDIDATE
    state.leader = None
    state.term += 1
    state.voted_for = state.replica
    state.votes = {state.replica}
    save_vote(state)
    reset_election_timer(state)
    if state.has_quorum(state.votes):
        become_leader(state)
        return
    _request_votes(state, term=state.term, pre_vote=False, hand_over=hand_over)


def on_vote_request(
    state: ReplicaState, message: PeerMessage, request: VoteRequest
) -> None:
    """Grant a vote if the candidate's log is up to date; at most one per term."""
    granted = _can_grant(state, message, request)
    if granted and not request.pre_vote:
        if state.voted_for is None:
            state.voted_for = message.sender
            save_vote(state)
        reset_election_timer(state)
    reply = VoteReply(granted=granted, pre_vote=request.pre_vote)
    term = message.term if granted else state.term
    send(state, message.sender, after_sync=True, term=term, vote_reply=reply)


def on_vote_reply(state: ReplicaState, message: PeerMessage, reply: VoteReply) -> None:
    """Count a granted vote; with a quorum, start the election or become leader."""
    expected = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
    term = state.term + 1 if reply.pre_vote else state.term
    if state.role is not expected or not reply.granted or message.term != term:
        return
    state.votes.add(message.sender)
    if not state.has_quorum(state.votes):
        return
    if reply.pre_vote:
        start_election(state, hand_over=False)
    else:
        become_leader(state)


def ignores_vote_request(state: ReplicaState, request: VoteRequest) -> bool:
    """Return whether a vote request must be ignored because of a leader's lease.

    A leader that asked for the election has given up its lease.
    """
    return has_live_leader(state) and not request.hand_over


def _can_grant(state: ReplicaState, message: PeerMessage, request: VoteRequest) -> bool:
    if not state.writable or message.term < state.term:
        return False
    log = (request.last_term, request.last_index)
    if log < (state.log.last_term, state.log.last_index):
        return False
    if request.pre_vote:
        return message.term > state.term
    return state.voted_for in (None, message.sender)


def _request_votes(
    state: ReplicaState, *, term: int, pre_vote: bool, hand_over: bool
) -> None:
    request = VoteRequest(
        last_index=state.log.last_index,
        last_term=state.log.last_term,
        pre_vote=pre_vote,
        hand_over=hand_over,
    )
    for member in state.members:
        if member != state.replica:
            send(state, member, after_sync=True, term=term, vote_request=request)
