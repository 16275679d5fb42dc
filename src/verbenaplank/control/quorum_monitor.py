"""Tracks whether this instance has a quorum and when it last had one."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.control.replication import ReplicatedLog

DISCONNECT_ELECTION_TIMEOUTS = 0.5
"""Number of election timeouts without a quorum after which members are disconnected.

The election of a new leader is usually over sooner, so that members stay
connected through it.
"""


class QuorumMonitor:
    """Tracks whether this instance has a quorum.

    It has one if a quorum has confirmed its state recently enough.  The monitor
    only notices a quorum when it is asked, so :meth:`has_quorum` must be called
    often.
    """

    def __init__(
        self, log: ReplicatedLog, clock: MonotonicClock, election_timeout_s: float
    ) -> None:
        self._log = log
        self._clock = clock
        self._grace_s = election_timeout_s * DISCONNECT_ELECTION_TIMEOUTS
        self._last_quorum_s = clock()
        self._last_results = (True, False)
        self._is_shutting_down = False

    @property
    def is_shutting_down(self) -> bool:
        """Return whether the instance is about to stop."""
        return self._is_shutting_down

    def start_shutdown(self) -> None:
        """Mark the instance as shutting down, so that members are disconnected."""
        self._is_shutting_down = True

    def has_quorum(self) -> bool:
        """Return whether this instance has a quorum now."""
        now_s = self._clock()
        has_quorum = self._log.is_current(now_s)
        if has_quorum:
            self._last_quorum_s = now_s
        return has_quorum

    def should_disconnect_members(self) -> bool:
        """Return whether members should move to another control instance.

        This is so while the instance is shutting down, and when it has been
        without a quorum for too long.
        """
        if self._is_shutting_down:
            return True
        return (
            not self.has_quorum()
            and self._clock() > self._last_quorum_s + self._grace_s
        )

    def has_changed(self) -> bool:
        """Return whether a result has changed since the previous call.

        The results are those of :meth:`has_quorum` and
        :meth:`should_disconnect_members`.
        """
        last, self._last_results = (
            self._last_results,
            (self.has_quorum(), self.should_disconnect_members()),
        )
        return last != self._last_results
