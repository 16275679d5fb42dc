"""One change of the voters of a Raft group, with its reason."""

from __future__ import annotations

from enum import StrEnum

import attrs

from verbenaplank.protocol.consensus import Replica


class ChangeReason(StrEnum):
    """Why the leader changes the voters."""

    VACANCY = "the group has fewer voters than its target"
    LOST_STORAGE = "the instance is back with other storage"
    PLANNED_STOP = "a voter is about to stop"
    SILENCE = "the voter has been silent for too long"


@attrs.frozen(kw_only=True)
class MembershipChange:
    """Addition or removal of one voter.

    Attributes
    ----------
    members
        The voters after the change.
    voter
        The replica that becomes a voter or ceases to be one.
    """

    members: tuple[Replica, ...]
    voter: Replica
    reason: ChangeReason

    @property
    def adds(self) -> bool:
        """Return whether the replica becomes a voter."""
        return self.voter in self.members


def addition(
    members: tuple[Replica, ...], voter: Replica, reason: ChangeReason
) -> MembershipChange:
    """Return the change that adds a voter to ``members``."""
    return MembershipChange(members=(*members, voter), voter=voter, reason=reason)


def removal(
    members: tuple[Replica, ...], voter: Replica, reason: ChangeReason
) -> MembershipChange:
    """Return the change that removes a voter from ``members``."""
    others = tuple(member for member in members if member != voter)
    return MembershipChange(members=others, voter=voter, reason=reason)
