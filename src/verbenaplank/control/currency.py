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


class Currency:
    """Tells whether the instance is current; ask it often."""

    def __init__(
        self, log: ReplicatedLog, clock: MonotonicClock, election_timeout_s: float
    ) -> None:
        self._log = log
        self._clock = clock
        self._grace_s = election_timeout_s * GIVE_UP_ELECTION_TIMEOUTS
        self._current_s = clock()
        self._last = (True, False)
        self._is_retired = False

    @property
    def is_retired(self) -> bool:
        """Return whether the instance is about to stop."""
        return self._is_retired

    def retire(self) -> None:
        """Let the members move on from now on."""
        self._is_retired = True

    def is_current(self) -> bool:
        """Return whether a quorum backs this instance now."""
        now_s = self._clock()
        current = self._log.is_current(now_s)
        if current:
            self._current_s = now_s
        return current

    def is_given_up(self) -> bool:
        """Return whether the members are to move on."""
        if self._is_retired:
            return True
        return not self.is_current() and self._clock() > self._current_s + self._grace_s

    def has_turned(self) -> bool:
        """Return whether one of the two changed since the last call."""
        last, self._last = self._last, (self.is_current(), self.is_given_up())
        return last != self._last
