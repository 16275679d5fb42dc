"""How a learner that has caught up becomes a voter.

The voters change by one at a time, and only after the last change is
committed, so that any two majorities in force have a common voter.  A replica
that takes the place of an instance's lost storage is therefore admitted in two
steps: first the lost replica leaves, then the new one joins.

An open group grows to its number of voters.  Beyond it, a learner takes the
place of a voter that has been silent for long; others stay learners.  No voter
leaves a group that would then be smaller than one voter short of its number.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.consensus.replication import propose
from verbenaplank.consensus.state import Role
from verbenaplank.protocol.consensus import LogEntryKind

if TYPE_CHECKING:
    from verbenaplank.consensus.state import State
    from verbenaplank.protocol.consensus import Replica

RETIREMENT_ELECTION_TIMEOUTS = 10.0
"""A voter of an open group is replaced after a silence of so many timeouts.

Restarts, freezes and short partitions end sooner.
"""

LEARNER_ELECTION_TIMEOUTS = 1.0
"""A learner that has not answered for so many timeouts is not admitted."""


def admit_learners(state: State) -> None:
    """Take the next step of an admission, if one is due."""
    if state.role is not Role.LEADER or state.hands_over:
        return
    if state.commit_index < state.term_start_index or not state.members_committed:
        return
    for learner in _caught_up_learners(state):
        members = _next_voters(state, learner)
        if members is not None:
            propose(state, LogEntryKind.MEMBERSHIP, members=members)
            _forget_removed(state, learner)
            return


def _next_voters(state: State, learner: Replica) -> tuple[Replica, ...] | None:
    """Return the voters of the next step towards a learner's admission, if any."""
    others = tuple(
        member for member in state.members if member.instance_id != learner.instance_id
    )
    if not state.group.open:
        return others if len(others) < len(state.members) else (*others, learner)
    if len(others) == len(state.members):
        if len(others) < state.group.voters:
            return (*others, learner)
        others = _without_silent(state)
    may_remove = len(state.members) >= state.group.voters
    return others if len(others) < len(state.members) and may_remove else None


def _without_silent(state: State) -> tuple[Replica, ...]:
    """Return the voters without the one that has been silent for too long."""
    limit_s = RETIREMENT_ELECTION_TIMEOUTS * state.timing.election_timeout_s
    since = {
        member: max(progress.acknowledged_sent_s, state.leader_since_s)
        for member, progress in state.progress.items()
        if member in state.members
    }
    silent = min(since, key=lambda member: since[member], default=None)
    if silent is None or state.now_s - since[silent] < limit_s:
        return state.members
    return tuple(member for member in state.members if member != silent)


def _caught_up_learners(state: State) -> list[Replica]:
    limit_s = LEARNER_ELECTION_TIMEOUTS * state.timing.election_timeout_s
    return [
        replica
        for replica, progress in state.progress.items()
        if replica not in state.members
        and progress.match_index >= state.commit_index
        and (
            not state.group.open or state.now_s - progress.acknowledged_sent_s < limit_s
        )
    ]


def _forget_removed(state: State, learner: Replica) -> None:
    for replica in list(state.progress):
        if replica.instance_id != learner.instance_id or replica == learner:
            continue
        if replica not in state.members:
            del state.progress[replica]
