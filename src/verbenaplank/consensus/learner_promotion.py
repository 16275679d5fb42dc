"""Promotion of learners that have caught up to voters.

The leader adds or removes one voter at a time, and only after the previous change
is committed, so that any two quorums in force have a common voter. When an
instance has lost its storage, it comes back as a new replica, and two changes are
needed: first the lost replica is removed, then the new one is added.

In a fixed group every learner becomes a voter, since its settings name it. The rules
of an open group are in :mod:`verbenaplank.consensus.open_group`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.consensus import open_group
from verbenaplank.consensus.effects import MembershipProposed
from verbenaplank.consensus.leaving import is_leaving
from verbenaplank.consensus.membership_change import ChangeReason
from verbenaplank.consensus.membership_change import addition
from verbenaplank.consensus.membership_change import removal
from verbenaplank.consensus.replication import heard_s
from verbenaplank.consensus.replication import propose
from verbenaplank.consensus.state import Role
from verbenaplank.protocol.consensus import LogEntryKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from verbenaplank.consensus.membership_change import MembershipChange
    from verbenaplank.consensus.state import Progress
    from verbenaplank.consensus.state import ReplicaState
    from verbenaplank.protocol.consensus import Replica

LEARNER_SILENCE_ELECTION_TIMEOUTS = 1.0
"""Silence, in election timeouts, after which a learner is not promoted.

It applies only to open groups.
"""


def promote_learners(state: ReplicaState) -> None:
    """Propose the next change of the voters, if one is needed.

    Nothing is proposed before the leader has committed an entry of its own term
    and the previous membership change.
    """
    if state.role is not Role.LEADER or state.is_transferring_leadership:
        return
    if state.commit_index < state.term_start_index or not state.members_committed:
        return
    learners = _caught_up_learners(state)
    if state.group.open:
        change = open_group.next_change(state, learners)
    else:
        change = _next_change_of_fixed_group(state, learners)
    if change is not None:
        _propose_change(state, change)


def _next_change_of_fixed_group(
    state: ReplicaState, learners: Sequence[Replica]
) -> MembershipChange | None:
    if not learners:
        return None
    learner, members = learners[0], state.members
    for voter in members:
        if voter.instance_id == learner.instance_id:
            return removal(members, voter, ChangeReason.LOST_STORAGE)
    return addition(members, learner, ChangeReason.VACANCY)


def _propose_change(state: ReplicaState, change: MembershipChange) -> None:
    silence_s = state.now_s - heard_s(state, change.voter)
    index = propose(state, LogEntryKind.MEMBERSHIP, members=change.members)
    if change.reason is ChangeReason.LOST_STORAGE:
        state.progress.pop(change.voter, None)
    proposed = MembershipProposed(change=change, index=index, silence_s=silence_s)
    state.effects.append(proposed)


def _caught_up_learners(state: ReplicaState) -> list[Replica]:
    return [
        replica
        for replica, progress in state.progress.items()
        if replica not in state.members
        and progress.match_index >= state.commit_index
        and (not state.group.open or _is_available(state, progress))
    ]


def _is_available(state: ReplicaState, learner: Progress) -> bool:
    """Return whether a learner answers and does not leave."""
    limit_s = LEARNER_SILENCE_ELECTION_TIMEOUTS * state.timing.election_timeout_s
    answers = state.now_s - learner.acknowledged_sent_s < limit_s
    return answers and not is_leaving(state, learner)
