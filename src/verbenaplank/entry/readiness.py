"""Tracks whether the entry may accept requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.entry.interfaces import Membership

NO_LEASE = float("inf")


@attrs.frozen(kw_only=True)
class Readiness:
    """The conditions on which the entry accepts requests.

    Attributes
    ----------
    current
        Whether a quorum has confirmed the entry's state since the entry started.
    leased
        Whether the entry holds its lease, which requests with a claim require.
    draining
        Whether the entry is stopping or an operator ordered it to drain.
    lagging
        Whether new connections should go to other entries, since this entry's event
        loop lags.  Requests that arrive are not refused for it.
    """

    current: bool
    leased: bool
    draining: bool
    lagging: bool = False

    @property
    def ready(self) -> bool:
        """Return whether requests of every kind can be accepted."""
        return self.current and self.leased and not (self.draining or self.lagging)

    @property
    def ready_for_routed_jobs(self) -> bool:
        """Return whether routed jobs, which need no lease, can be accepted."""
        return self.current and not (self.draining or self.lagging)


def never_lagging() -> bool:
    """Return that the event loop does not lag; the default of an entry's status."""
    return False


class EntryStatus:
    """Derives the entry's readiness, lease and team weights from its membership.

    Parameters
    ----------
    clock
        The monotonic clock, in seconds.
    is_lagging
        Returns whether new connections should go to other entries.

    Attributes
    ----------
    draining
        Whether the entry itself has begun to stop.
    """

    def __init__(
        self, clock: MonotonicClock, is_lagging: Callable[[], bool] = never_lagging
    ) -> None:
        self.draining = False
        self._is_lagging = is_lagging
        self._clock = clock
        self._membership: Membership | None = None

    def set_membership(self, membership: Membership) -> None:
        """Set the membership once it is open."""
        self._membership = membership

    def readiness(self) -> Readiness:
        """Return the current readiness; not ready before the membership is set."""
        membership = self._membership
        if membership is None:
            return Readiness(current=False, leased=False, draining=self.draining)
        return Readiness(
            current=membership.ready,
            leased=membership.lease_valid(self._clock()),
            draining=self.draining or membership.drain_ordered,
            lagging=self._is_lagging(),
        )

    def lease_held_since(self, now_s: float) -> float:
        """Return the monotonic time since which the lease is held without a gap.

        This is infinity if the lease is not held.
        """
        membership = self._membership
        if membership is None or not membership.lease_valid(now_s):
            return NO_LEASE
        return membership.lease_since_s

    def team_weight(self, team: str) -> float:
        """Return the weight of a team's share of all task starts; 1 if not set."""
        if self._membership is None:
            return 1.0
        rules = self._membership.configuration.teams.get(team)
        return rules.weight if rules is not None else 1.0
