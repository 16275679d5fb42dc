"""Promotion of learners that have caught up to voters.

The leader adds or removes one voter at a time, and only after the previous change
is committed, so that any two quorums in force have a common voter. When an
instance has lost its storage, it comes back as a new replica, and two changes are
needed: first the lost replica is removed, then the new one is added.

An open group grows to its target number of voters. From then on, a learner
replaces a voter only if that voter has been silent for a long time; other learners
stay learners. A voter is removed only while the group has at least its target
number, so the group never shrinks to more than one voter below it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.consensus.effects import MembershipProposed
from verbenaplank.consensus.membership_change import ChangeReason
from verbenaplank.consensus.membership_change import addition
from verbenaplank.consensus.membership_change import removal
from verbenaplank.consensus.replication import heard_s
from verbenaplank.consensus.replication import propose
from verbenaplank.consensus.state import Role
from verbenaplank.protocol.consensus import LogEntryKind

if TYPE_CHECKING:
    from verbenaplank.consensus.membership_change import MembershipChange
    from verbenaplank.consensus.state import ReplicaState
    from verbenaplank.protocol.consensus import Replica

VOTER_SILENCE_ELECTION_TIMEOUTS = 10.0
"""Silence, in election timeouts, after which an open group replaces a voter.

Restarts, process pauses and short network partitions end sooner.
"""

LEARNER_SILENCE_ELECTION_TIMEOUTS = 1.0
"""Silence, in election timeouts, after which a learner is not promoted.

It applies only to open groups.
"""


def promote_learners(state: ReplicaState) -> None:
    """Propose the next membership change to promote a caught-up learner, if any.

    Nothing is proposed before the leader has committed an entry of its own term
    and the previous membership change.
    """
    if state.role is not Role.LEADER or state.is_transferring_leadership:
        return
    if state.commit_index < state.term_start_index or not state.members_committed:
        return
    for learner in _caught_up_learners(state):
        change = _next_change(state, learner)
        if change is not None:
            _propose_change(state, change)
            _drop_removed_replicas(state, learner)
            return


def _propose_change(state: ReplicaState, change: MembershipChange) -> None:
    silence_s = state.now_s - heard_s(state, change.voter)
    index = propose(state, LogEntryKind.MEMBERSHIP, members=change.members)
    proposed = MembershipProposed(change=change, index=index, silence_s=silence_s)
    state.effects.append(proposed)


def _next_change(state: ReplicaState, learner: Replica) -> MembershipChange | None:
    """Return the next change that the promotion of a learner needs.

    ``None`` means that no change is allowed or needed.
    """
    members = state.members
    lost = next((m for m in members if m.instance_id == learner.instance_id), None)
    target = state.group.target_voter_count if state.group.open else 0
    if lost is not None and len(members) >= target:
        return removal(members, lost, ChangeReason.LOST_STORAGE)
    if lost is None and (not state.group.open or len(members) < target):
        return addition(members, learner, ChangeReason.VACANCY)
    silent = _silent_voter(state)
    if lost is None and silent is not None:
        return removal(members, silent, ChangeReason.SILENCE)
    return None


def _silent_voter(state: ReplicaState) -> Replica | None:
    """Return the voter that has been silent the longest, if for long enough."""
    limit_s = VOTER_SILENCE_ELECTION_TIMEOUTS * state.timing.election_timeout_s
    others = [member for member in state.members if member in state.progress]
    silent = min(others, key=lambda voter: heard_s(state, voter), default=None)
    if silent is None or state.now_s - heard_s(state, silent) < limit_s:
        return None
    return silent


def _caught_up_learners(state: ReplicaState) -> list[Replica]:
    limit_s = LEARNER_SILENCE_ELECTION_TIMEOUTS * state.timing.election_timeout_s
    return [
        replica
        for replica, progress in state.progress.items()
        if replica not in state.members
        and progress.match_index >= state.commit_index
        and (
            not state.group.open or state.now_s - progress.acknowledged_sent_s < limit_s
        )
    ]


def _drop_removed_replicas(state: ReplicaState, learner: Replica) -> None:
    for replica in list(state.progress):
        if replica.instance_id != learner.instance_id or replica == learner:
            continue
        if replica not in state.members:
            del state.progress[replica]
