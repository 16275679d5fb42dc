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

from verbenaplank.consensus.replication import propose
from verbenaplank.consensus.state import Role
from verbenaplank.protocol.consensus import LogEntryKind

if TYPE_CHECKING:
    from verbenaplank.consensus.state import ReplicaState
    from verbenaplank.protocol.consensus import Replica

VOTER_SILENCE_ELECTION_TIMEOUTS = 10.0
"""Silence, in election timeouts, after which a voter of an open group is replaced.

Restarts, freezes and short network partitions end sooner.
"""

LEARNER_SILENCE_ELECTION_TIMEOUTS = 1.0
"""Silence, in election timeouts, after which a learner is not promoted."""


def promote_learners(state: ReplicaState) -> None:
    """Propose the next membership change that a caught-up learner needs, if any.

    Nothing is proposed before the leader has committed an entry of its own term
    and the previous membership change.
    """
    if state.role is not Role.LEADER or state.is_transferring_leadership:
        return
    if state.commit_index < state.term_start_index or not state.members_committed:
        return
    for learner in _caught_up_learners(state):
        members = _next_voters(state, learner)
        if members is not None:
            propose(state, LogEntryKind.MEMBERSHIP, members=members)
            _drop_removed_replicas(state, learner)
            return


def _next_voters(state: ReplicaState, learner: Replica) -> tuple[Replica, ...] | None:
    """Return the next voters on the way to promoting a learner, or ``None``."""
    others = tuple(
        member for member in state.members if member.instance_id != learner.instance_id
    )
    if not state.group.open:
        return others if len(others) < len(state.members) else (*others, learner)
    if len(others) == len(state.members):
        if len(others) < state.group.target_voter_count:
            return (*others, learner)
        others = _without_silent_voter(state)
    may_remove = len(state.members) >= state.group.target_voter_count
    return others if len(others) < len(state.members) and may_remove else None


def _without_silent_voter(state: ReplicaState) -> tuple[Replica, ...]:
    """Return the voters without the one that has been silent the longest.

    All voters are returned if none has been silent for long enough.
    """
    limit_s = VOTER_SILENCE_ELECTION_TIMEOUTS * state.timing.election_timeout_s
    since = {
        member: max(progress.acknowledged_sent_s, state.leader_since_s)
        for member, progress in state.progress.items()
        if member in state.members
    }
    silent = min(since, key=lambda member: since[member], default=None)
    if silent is None or state.now_s - since[silent] < limit_s:
        return state.members
    return tuple(member for member in state.members if member != silent)


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
