"""How a learner that has caught up becomes a voter.

The voters change by one at a time, and only after the last change is
committed, so that any two majorities in force have a common voter.  A replica
that takes the place of an instance's lost storage is therefore admitted in two
steps: first the lost replica leaves, then the new one joins.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.consensus.replication import propose
from verbenaplank.consensus.state import Role
from verbenaplank.protocol.consensus import EntryKind

if TYPE_CHECKING:
    from verbenaplank.consensus.state import State
    from verbenaplank.protocol.consensus import Replica


def admit_learners(state: State) -> None:
    """Take the next step of an admission, if one is due."""
    if state.role is not Role.LEADER or state.hands_over:
        return
    if state.commit_index < state.term_start_index or not state.members_committed:
        return
    learner = _caught_up_learner(state)
    if learner is None:
        return
    others = tuple(
        member for member in state.members if member.instance_id != learner.instance_id
    )
    replaces = len(others) < len(state.members)
    members = others if replaces else (*others, learner)
    propose(state, EntryKind.MEMBERSHIP, members=members)
    _forget_removed(state, learner)


def _caught_up_learner(state: State) -> Replica | None:
    for replica, progress in state.progress.items():
        if replica in state.members:
            continue
        if progress.match_index >= state.commit_index:
            return replica
    return None


def _forget_removed(state: State, learner: Replica) -> None:
    for replica in list(state.progress):
        if replica.instance_id != learner.instance_id or replica == learner:
            continue
        if replica not in state.members:
            del state.progress[replica]
