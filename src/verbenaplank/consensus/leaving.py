"""Planned stop of a replica: a learner takes over its vote before it ends.

A replica that stops cannot tell whether it stops for good. It asks the leader to
replace it, and again until the leader has nothing left to do: the replica is no voter
any more, or no learner can take its place. The leader adds the learner first, so that
the group tolerates as many losses during the replacement as before. A replica that
comes back is a learner if its place was taken.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.consensus.state import Role
from verbenaplank.consensus.state import send
from verbenaplank.protocol.consensus import LeaveReply
from verbenaplank.protocol.consensus import LeaveRequest

if TYPE_CHECKING:
    from verbenaplank.consensus.state import Progress
    from verbenaplank.consensus.state import ReplicaState
    from verbenaplank.protocol.consensus import PeerMessage
    from verbenaplank.protocol.consensus import Replica

LEAVING_ELECTION_TIMEOUTS = 2.0
"""Time after a leave request, in election timeouts, for which the sender is leaving.

Its process repeats the request more often than that, and needs longer to start again.
"""

LEARNERS_KNOWN_ELECTION_TIMEOUTS = 2.0
"""Time after which a new leader knows the learners, in election timeouts.

They are not in the log. Each says hello when it hears from no leader.
"""

LEARNER_ANSWER_ELECTION_TIMEOUTS = 1.0
"""Silence, in election timeouts, after which a learner is not expected to answer."""


def request_leave(state: ReplicaState) -> None:
    """Ask the leader to replace this replica, which is about to stop.

    A leader transfers its leadership first. If it could not, nobody can replace it.
    """
    state.is_leaving = True
    if state.role is Role.LEADER:
        state.leave_pending = False
    elif state.leader is not None:
        send(state, state.leader, after_sync=False, leave_request=LeaveRequest())


def on_leave_request(
    state: ReplicaState, message: PeerMessage, request: LeaveRequest
) -> None:
    """Remember that the sender is leaving, and reply whether it should wait."""
    del request
    if state.role is not Role.LEADER:
        return
    progress = state.progress.get(message.sender)
    if progress is not None:
        duration_s = LEAVING_ELECTION_TIMEOUTS * state.timing.election_timeout_s
        progress.leaving_until_s = state.now_s + duration_s
    reply = LeaveReply(pending=_is_replacement_possible(state, message.sender))
    send(state, message.sender, after_sync=False, leave_reply=reply)


def on_leave_reply(
    state: ReplicaState, message: PeerMessage, reply: LeaveReply
) -> None:
    """Record whether this replica should go on waiting for its replacement."""
    if message.sender == state.leader and message.term == state.term:
        state.leave_pending = reply.pending


def leaving_voters(state: ReplicaState) -> list[Replica]:
    """Return the voters that have asked this leader to be replaced."""
    return [
        replica
        for replica, progress in state.progress.items()
        if replica in state.members and is_leaving(state, progress)
    ]


def is_leaving(state: ReplicaState, progress: Progress) -> bool:
    """Return whether a replica has lately told this leader that it stops."""
    return state.now_s < progress.leaving_until_s


def _is_replacement_possible(state: ReplicaState, voter: Replica) -> bool:
    if voter not in state.members:
        return not state.members_committed
    known_s = LEARNERS_KNOWN_ELECTION_TIMEOUTS * state.timing.election_timeout_s
    if state.now_s < state.leader_since_s + known_s:
        return True
    if len(state.members) > state.group.target_voter_count:
        return True
    return any(
        _may_answer(state, progress)
        for replica, progress in state.progress.items()
        if replica not in state.members
    )


def _may_answer(state: ReplicaState, learner: Progress) -> bool:
    """Return whether a learner that does not leave answers, or has just been added."""
    limit_s = LEARNER_ANSWER_ELECTION_TIMEOUTS * state.timing.election_timeout_s
    heard_s = max(learner.acknowledged_sent_s, learner.added_s)
    return state.now_s < heard_s + limit_s and not is_leaving(state, learner)
