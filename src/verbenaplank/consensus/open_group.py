"""Choice of the voters of an open group.

An open group grows to its target number of voters. From then on, a learner gets a
vote only in place of a voter that is gone, or is about to be:

- The storage of an instance was lost. Its former replica is removed.
- A voter has been silent for too long. It is removed.
- A voter has asked to be replaced. The learner is added first, so that the group
  tolerates as many losses meanwhile; then the voter is removed.

A dead voter is removed before the learner is added. It makes no difference to the
losses that can be tolerated, and the group has no more voters than its target. It
never shrinks to more than one below it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.consensus.leaving import leaving_voters
from verbenaplank.consensus.membership_change import ChangeReason
from verbenaplank.consensus.membership_change import addition
from verbenaplank.consensus.membership_change import removal
from verbenaplank.consensus.replication import heard_s
from verbenaplank.consensus.replication import holds_lease

if TYPE_CHECKING:
    from collections.abc import Sequence

    from verbenaplank.consensus.membership_change import MembershipChange
    from verbenaplank.consensus.state import ReplicaState
    from verbenaplank.protocol.consensus import Replica

VOTER_SILENCE_ELECTION_TIMEOUTS = 2.0
"""Silence, in election timeouts, after which a learner replaces a voter.

A new leader counts from its election. Replacing a voter that is only paused costs two
log entries and leaves it a learner; a dead one left in place is a loss that nobody
can see.
"""


def next_change(
    state: ReplicaState, learners: Sequence[Replica]
) -> MembershipChange | None:
    """Return the next change of the voters, or ``None`` if none is needed or allowed.

    Parameters
    ----------
    learners
        The learners that have caught up and answer.
    """
    surplus = len(state.members) - state.group.target_voter_count
    if surplus >= 0:
        unneeded = _lost_voter(state, learners)
        if surplus > 0:
            unneeded = unneeded or _leaving_voter(state) or _silent_voter(state)
        if unneeded is not None:
            return unneeded
    members = state.members
    instance_ids = {member.instance_id for member in members}
    learner = next((x for x in learners if x.instance_id not in instance_ids), None)
    if learner is None or surplus > 0:
        return None
    if surplus < 0:
        return addition(members, learner, ChangeReason.VACANCY)
    silent = _silent_voter(state)
    if silent is not None:
        return silent
    if leaving_voters(state):
        return addition(members, learner, ChangeReason.PLANNED_STOP)
    return None


def _lost_voter(
    state: ReplicaState, learners: Sequence[Replica]
) -> MembershipChange | None:
    """Return the removal of a voter whose instance is a learner with other storage."""
    instance_ids = {learner.instance_id for learner in learners}
    for voter in state.members:
        if voter.instance_id in instance_ids:
            return removal(state.members, voter, ChangeReason.LOST_STORAGE)
    return None


def _leaving_voter(state: ReplicaState) -> MembershipChange | None:
    for voter in leaving_voters(state):
        return removal(state.members, voter, ChangeReason.PLANNED_STOP)
    return None


def _silent_voter(state: ReplicaState) -> MembershipChange | None:
    """Return the removal of the voter silent for the longest, if for long enough.

    A leader that has just been suspended itself, and so holds no lease, cannot tell.
    """
    if not holds_lease(state):
        return None
    limit_s = VOTER_SILENCE_ELECTION_TIMEOUTS * state.timing.election_timeout_s
    others = [member for member in state.members if member in state.progress]
    silent = min(others, key=lambda voter: heard_s(state, voter), default=None)
    if silent is None or state.now_s - heard_s(state, silent) < limit_s:
        return None
    return removal(state.members, silent, ChangeReason.SILENCE)
