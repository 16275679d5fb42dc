"""The replicated member list, drain orders and registrar group; does no I/O."""

from __future__ import annotations

from collections import deque
from itertools import takewhile
from typing import TYPE_CHECKING

import attrs

from verbenaplank.membership.registrars import RegistrarState
from verbenaplank.membership.registrars import RegistrarTransition
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MembersUpdate

if TYPE_CHECKING:
    from collections.abc import Mapping

    from verbenaplank.membership.commands import Announce
    from verbenaplank.membership.commands import Leave
    from verbenaplank.membership.commands import OrderDrain

MAX_RETAINED_CHANGES = 4_096
"""Maximum number of changes kept to build updates that hold only changes.

A member that is further behind gets the complete list.
"""


@attrs.frozen(kw_only=True)
class MembershipSnapshot:
    """The complete membership state, as a snapshot encodes it."""

    revision: int = 0
    members: tuple[Member, ...] = ()
    ordered_drains: tuple[str, ...] = ()
    configured_drains: tuple[str, ...] = ()
    registrars: RegistrarTransition = attrs.field(factory=RegistrarTransition)


@attrs.frozen
class MemberChange:
    """A change of one member and the revision of the list that it produced."""

    revision: int
    member_id: str


class MembershipState:
    """The replicated member list; each change increments its revision.

    Attributes
    ----------
    registrars
        The registrar group and its transitions.
    """

    def __init__(self, snapshot: MembershipSnapshot | None = None) -> None:
        snapshot = snapshot or MembershipSnapshot()
        self._revision = snapshot.revision
        self._members = {member.member_id: member for member in snapshot.members}
        self._ordered_drains = set(snapshot.ordered_drains)
        self._configured_drains = frozenset(snapshot.configured_drains)
        self.registrars = RegistrarState(snapshot.registrars)
        self._changes: deque[MemberChange] = deque()
        self._oldest_base_revision = snapshot.revision

    @property
    def revision(self) -> int:
        """Return the revision of the member list."""
        return self._revision

    @property
    def members(self) -> Mapping[str, Member]:
        """Return the members by id, as they announced themselves.

        Drain orders are not included.
        """
        return self._members

    @property
    def ordered_drains(self) -> frozenset[str]:
        """Return the ids of members that an operator ordered to drain."""
        return frozenset(self._ordered_drains)

    def snapshot(self) -> MembershipSnapshot:
        """Return the complete state."""
        return MembershipSnapshot(
            revision=self._revision,
            members=tuple(self._members.values()),
            ordered_drains=tuple(sorted(self._ordered_drains)),
            configured_drains=tuple(sorted(self._configured_drains)),
            registrars=self.registrars.transition,
        )

    def announce(self, announce: Announce) -> bool:
        """Add or update a member; return whether this incarnation is now a member."""
        member = announce.member
        known = self._members.get(member.member_id)
        if known == member:
            return True
        if announce.rejoin and known and known.incarnation != member.incarnation:
            return False
        self._members[member.member_id] = member
        self._record_change(member.member_id)
        return True

    def leave(self, leave: Leave) -> bool:
        """Remove one incarnation of a member; return whether it was a member."""
        known = self._members.get(leave.member_id)
        if known is None or known.incarnation != leave.incarnation:
            return False
        del self._members[leave.member_id]
        self._record_change(leave.member_id)
        return True

    def order_drain(self, order: OrderDrain) -> bool:
        """Record or withdraw a drain order; return whether the id is known."""
        member_id = order.member_id
        if member_id not in self._members and member_id not in self._ordered_drains:
            return False
        if order.drain:
            self._ordered_drains.add(member_id)
        else:
            self._ordered_drains.discard(member_id)
        self._record_change(member_id)
        return True

    def set_configured_drains(self, member_ids: frozenset[str]) -> None:
        """Replace the set of members that the configuration drains."""
        changed = self._configured_drains ^ member_ids
        self._configured_drains = member_ids
        for member_id in sorted(changed & self._members.keys()):
            self._record_change(member_id)

    def is_drain_ordered(self, member_id: str) -> bool:
        """Return whether an operator or the configuration drains a member."""
        return member_id in self._ordered_drains or member_id in self._configured_drains

    def changes_since(self, revision: int) -> MembersUpdate:
        """Return the changes after a revision.

        If that revision is unknown or too old, return the complete list.
        """
        if not self._oldest_base_revision <= revision <= self._revision:
            return self._complete_list()
        changes = takewhile(
            lambda change: change.revision > revision, reversed(self._changes)
        )
        ids = dict.fromkeys(change.member_id for change in changes)
        return MembersUpdate(
            changed=tuple(
                self._member_with_drain(id_) for id_ in ids if id_ in self._members
            ),
            left=tuple(id_ for id_ in ids if id_ not in self._members),
            revision=self._revision,
        )

    def _complete_list(self) -> MembersUpdate:
        return MembersUpdate(
            changed=tuple(map(self._member_with_drain, self._members)),
            complete=True,
            revision=self._revision,
        )

    def _member_with_drain(self, member_id: str) -> Member:
        member = self._members[member_id]
        if member.draining or not self.is_drain_ordered(member_id):
            return member
        return attrs.evolve(member, draining=True)

    def _record_change(self, member_id: str) -> None:
        self._revision += 1
        self._changes.append(MemberChange(self._revision, member_id))
        if len(self._changes) > MAX_RETAINED_CHANGES:
            self._oldest_base_revision = self._changes.popleft().revision
