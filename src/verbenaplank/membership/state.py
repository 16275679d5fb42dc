"""The replicated member list, drain orders and registrar group, no I/O."""

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

MAX_REMEMBERED_CHANGES = 4_096
"""How many changes back a delta reaches; older receivers get the whole list."""


@attrs.frozen(kw_only=True)
class MembershipSnapshot:
    """Everything that the membership's state machine knows."""

    revision: int = 0
    members: tuple[Member, ...] = ()
    ordered_drains: tuple[str, ...] = ()
    configured_drains: tuple[str, ...] = ()
    registrars: RegistrarTransition = attrs.field(factory=RegistrarTransition)


@attrs.frozen
class MemberChange:
    """A member that joined, changed or left, and the revision it made."""

    revision: int
    member_id: str


class MembershipState:
    """Members under their leases; each change adds one to the revision.

    Attributes
    ----------
    registrars
        The registrar group in force.
    """

    def __init__(self, snapshot: MembershipSnapshot | None = None) -> None:
        snapshot = snapshot or MembershipSnapshot()
        self._revision = snapshot.revision
        self._members = {member.member_id: member for member in snapshot.members}
        self._ordered_drains = set(snapshot.ordered_drains)
        self._configured_drains = frozenset(snapshot.configured_drains)
        self.registrars = RegistrarState(snapshot.registrars)
        self._changes: deque[MemberChange] = deque()
        self._first_delta_revision = snapshot.revision

    @property
    def revision(self) -> int:
        """Return the revision of the member list."""
        return self._revision

    @property
    def members(self) -> Mapping[str, Member]:
        """Return the members by id, as they announced themselves."""
        return self._members

    @property
    def ordered_drains(self) -> frozenset[str]:
        """Return the ids that an operator ordered to drain."""
        return frozenset(self._ordered_drains)

    def snapshot(self) -> MembershipSnapshot:
        """Return the whole state."""
        return MembershipSnapshot(
            revision=self._revision,
            members=tuple(self._members.values()),
            ordered_drains=tuple(sorted(self._ordered_drains)),
            configured_drains=tuple(sorted(self._configured_drains)),
            registrars=self.registrars.transition,
        )

    def announce(self, announce: Announce) -> bool:
        """Take a member in; return whether it is a member now."""
        member = announce.member
        known = self._members.get(member.member_id)
        if known == member:
            return True
        if announce.rejoin and known and known.incarnation != member.incarnation:
            return False
        self._members[member.member_id] = member
        self._note_change(member.member_id)
        return True

    def leave(self, leave: Leave) -> bool:
        """Take one incarnation of a member out; return whether it was one."""
        known = self._members.get(leave.member_id)
        if known is None or known.incarnation != leave.incarnation:
            return False
        del self._members[leave.member_id]
        self._note_change(leave.member_id)
        return True

    def order_drain(self, order: OrderDrain) -> bool:
        """Order a drain or take it back; return whether the id is known."""
        member_id = order.member_id
        if member_id not in self._members and member_id not in self._ordered_drains:
            return False
        if order.drain:
            self._ordered_drains.add(member_id)
        else:
            self._ordered_drains.discard(member_id)
        self._note_change(member_id)
        return True

    def configure_drains(self, member_ids: frozenset[str]) -> None:
        """Put the drains that the configuration names in force."""
        changed = self._configured_drains ^ member_ids
        self._configured_drains = member_ids
        for member_id in sorted(changed & self._members.keys()):
            self._note_change(member_id)

    def is_drain_ordered(self, member_id: str) -> bool:
        """Return whether an operator or the configuration drains a member."""
        return member_id in self._ordered_drains or member_id in self._configured_drains

    def changes_since(self, revision: int) -> MembersUpdate:
        """Return what changed after a revision, or the whole list."""
        if not self._first_delta_revision <= revision <= self._revision:
            return self._whole_list()
        changes = takewhile(
            lambda change: change.revision > revision, reversed(self._changes)
        )
        ids = dict.fromkeys(change.member_id for change in changes)
        return MembersUpdate(
            changed=tuple(self._seen(id_) for id_ in ids if id_ in self._members),
            left=tuple(id_ for id_ in ids if id_ not in self._members),
            revision=self._revision,
        )

    def _whole_list(self) -> MembersUpdate:
        return MembersUpdate(
            changed=tuple(map(self._seen, self._members)),
            complete=True,
            revision=self._revision,
        )

    def _seen(self, member_id: str) -> Member:
        member = self._members[member_id]
        if member.draining or not self.is_drain_ordered(member_id):
            return member
        return attrs.evolve(member, draining=True)

    def _note_change(self, member_id: str) -> None:
        self._revision += 1
        self._changes.append(MemberChange(self._revision, member_id))
        if len(self._changes) > MAX_REMEMBERED_CHANGES:
            self._first_delta_revision = self._changes.popleft().revision
