"""The leader's leases of members, in memory and without I/O."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from verbenaplank.membership.renewals import Renewal
    from verbenaplank.protocol.membership import Member

EXPIRY_MARGIN = 1.1
"""The leader waits this many lease terms, since clocks run at different rates."""


@attrs.frozen(kw_only=True)
class Lease:
    """A member's lease as the leader knows it.

    Attributes
    ----------
    renewed_s
        When the last heartbeat came, on the leader's monotonic clock.
    configuration_version
        The version that the member last said to have in force; ``None`` if it
        has said nothing to this leader.
    """

    incarnation: str
    renewed_s: float
    configuration_version: int | None = None


class LeaseTable:
    """Leases in the order of their last renewal."""

    def __init__(self, lease_s: float) -> None:
        self._expiry_s = lease_s * EXPIRY_MARGIN
        self._leases: OrderedDict[str, Lease] = OrderedDict()

    @property
    def leases(self) -> OrderedDict[str, Lease]:
        """Return the leases by member id, the longest unrenewed first."""
        return self._leases

    def reset(self, members: Iterable[Member], now_s: float) -> None:
        """Forget every lease and grant a fresh term to each member.

        A new leader does this: it cannot know which heartbeats the leader
        before it has answered.
        """
        self._leases = OrderedDict(
            (member.member_id, Lease(incarnation=member.incarnation, renewed_s=now_s))
            for member in members
        )

    def renew(self, renewal: Renewal, now_s: float) -> None:
        """Grant a term to a member that is in the member list."""
        self._leases[renewal.member_id] = Lease(
            incarnation=renewal.incarnation,
            renewed_s=now_s,
            configuration_version=renewal.configuration_version,
        )
        self._leases.move_to_end(renewal.member_id)

    def sync_members(self, members: Mapping[str, Member], now_s: float) -> None:
        """Drop the leases of those that left and grant one to those that joined."""
        for member_id in self._leases.keys() - members.keys():
            del self._leases[member_id]
        for member_id, member in members.items():
            known = self._leases.get(member_id)
            if known is None or known.incarnation != member.incarnation:
                lease = Lease(incarnation=member.incarnation, renewed_s=now_s)
                self._leases[member_id] = lease
                self._leases.move_to_end(member_id)

    def pop_expired(self, now_s: float) -> list[tuple[str, str]]:
        """Remove the expired leases; return each one's member id and incarnation."""
        expired: list[tuple[str, str]] = []
        while self._leases:
            member_id, lease = next(iter(self._leases.items()))
            if now_s - lease.renewed_s < self._expiry_s:
                break
            del self._leases[member_id]
            expired.append((member_id, lease.incarnation))
        return expired
