"""Whether a quorum backs this instance, and for how long it has not."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.control.replication import ReplicatedLog

GIVE_UP_ELECTION_TIMEOUTS = 0.5
"""Members are sent on after so many election timeouts without a quorum.

An election of a new leader is usually over sooner, so members stay.
"""


class QuorumMonitor:
    """Tells whether the instance is current; ask it often."""

    def __init__(
        self, log: ReplicatedLog, clock: MonotonicClock, election_timeout_s: float
    ) -> None:
        self._log = log
        self._clock = clock
        self._grace_s = election_timeout_s * GIVE_UP_ELECTION_TIMEOUTS
        self._last_quorum_s = clock()
        self._last = (True, False)
        self._is_shutting_down = False

    @property
    def is_shutting_down(self) -> bool:
        """Return whether the instance is about to stop."""
        return self._is_shutting_down

    def start_shutdown(self) -> None:
        """Let the members move on from now on."""
        self._is_shutting_down = True

    def has_quorum(self) -> bool:
        """Return whether a quorum backs this instance now."""
        now_s = self._clock()
        has_quorum = self._log.is_current(now_s)
        if has_quorum:
            self._last_quorum_s = now_s
        return has_quorum

    def should_disconnect_members(self) -> bool:
        """Return whether the members are to move on."""
        if self._is_shutting_down:
            return True
        return (
            not self.has_quorum()
            and self._clock() > self._last_quorum_s + self._grace_s
        )

    def has_changed(self) -> bool:
        """Return whether one of the two changed since the last call."""
        last, self._last = (
            self._last,
            (self.has_quorum(), self.should_disconnect_members()),
        )
        return last != self._last
