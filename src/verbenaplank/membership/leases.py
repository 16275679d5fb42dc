"""The leader's in-memory table of member leases; does no I/O."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from verbenaplank.membership.renewals import Renewal
    from verbenaplank.protocol.membership import Member

EXPIRY_FACTOR = 1.1
"""Multiple of the lease duration after which the leader expires a lease.

It exceeds 1 because clocks run at different rates: the member must consider its
lease expired before the leader does.
"""


@attrs.frozen(kw_only=True)
class Lease:
    """A member's lease.

    Attributes
    ----------
    renewed_s
        Time of the last renewal in seconds on the leader's monotonic clock.
    configuration_version
        The configuration version in the member's last renewal; ``None`` if this
        leader has had none.
    """

    incarnation: str
    renewed_s: float
    configuration_version: int | None = None


class LeaseTable:
    """The leases of all members in the order of their last renewal.

    Parameters
    ----------
    lease_s
        Duration of a lease in seconds, counted from its last renewal.
    """

    def __init__(self, lease_s: float) -> None:
        self._expiry_s = lease_s * EXPIRY_FACTOR
        self._leases: OrderedDict[str, Lease] = OrderedDict()

    @property
    def leases(self) -> OrderedDict[str, Lease]:
        """Return the leases by member id, least recently renewed first."""
        return self._leases

    def reset(self, members: Iterable[Member], now_s: float) -> None:
        """Replace all leases by a fresh one for each member.

        A new leader does this because it cannot know which heartbeats the previous
        leader answered.
        """
        self._leases = OrderedDict(
            (member.member_id, Lease(incarnation=member.incarnation, renewed_s=now_s))
            for member in members
        )

    def renew(self, renewal: Renewal, now_s: float) -> None:
        """Renew the lease of a member that is in the member list."""
        self._leases[renewal.member_id] = Lease(
            incarnation=renewal.incarnation,
            renewed_s=now_s,
            configuration_version=renewal.configuration_version,
        )
        self._leases.move_to_end(renewal.member_id)

    def sync_members(self, members: Mapping[str, Member], now_s: float) -> None:
        """Drop the leases of members that left and add leases for new incarnations."""
        for member_id in self._leases.keys() - members.keys():
            del self._leases[member_id]
        for member_id, member in members.items():
            known = self._leases.get(member_id)
            if known is None or known.incarnation != member.incarnation:
                lease = Lease(incarnation=member.incarnation, renewed_s=now_s)
                self._leases[member_id] = lease
                self._leases.move_to_end(member_id)

    def pop_expired(self, now_s: float) -> list[tuple[str, str]]:
        """Remove the expired leases and return their member ids and incarnations."""
        expired: list[tuple[str, str]] = []
        while self._leases:
            member_id, lease = next(iter(self._leases.items()))
            if now_s - lease.renewed_s < self._expiry_s:
                break
            del self._leases[member_id]
            expired.append((member_id, lease.incarnation))
        return expired
