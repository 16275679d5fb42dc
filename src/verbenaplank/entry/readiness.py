"""What the entry's own membership lets it do."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.entry.interfaces import Membership

NO_LEASE = float("inf")


@attrs.frozen(kw_only=True)
class Readiness:
    """Whether the entry itself can take requests on.

    Attributes
    ----------
    current
        Whether what the entry knows was backed by a quorum since its start.
    leased
        Whether the entry's lease runs, which requests with a claim need.
    draining
        Whether the entry stops, or an operator ordered it to drain.
    """

    current: bool
    leased: bool
    draining: bool

    @property
    def ready(self) -> bool:
        """Whether every kind of request can be taken on."""
        return self.current and self.leased and not self.draining


class EntryStatus:
    """The entry's membership, once it is open, and whether it drains."""

    def __init__(self, clock: MonotonicClock) -> None:
        self.draining = False
        self._clock = clock
        self._membership: Membership | None = None

    def set_membership(self, membership: Membership) -> None:
        """Set the membership."""
        self._membership = membership

    def readiness(self) -> Readiness:
        """Return what the entry can take on now."""
        membership = self._membership
        if membership is None:
            return Readiness(current=False, leased=False, draining=self.draining)
        return Readiness(
            current=membership.ready,
            leased=membership.lease_valid(self._clock()),
            draining=self.draining or membership.drain_ordered,
        )

    def lease_held_since(self, now_s: float) -> float:
        """Return since when the lease has run without a gap.

        Infinity if it does not run.
        """
        membership = self._membership
        if membership is None or not membership.lease_valid(now_s):
            return NO_LEASE
        return membership.lease_since_s

    def team_weight(self, team: str) -> float:
        """Return the weight of a team's share of the starts."""
        if self._membership is None:
            return 1.0
        rules = self._membership.configuration.teams.get(team)
        return rules.weight if rules is not None else 1.0
