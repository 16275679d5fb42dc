"""The lease that an agent holds at its backend server, without I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.agent.backend_clock import BackendClock

if TYPE_CHECKING:
    from verbenaplank.clock.sources import MonotonicClock

EXPIRY_MARGIN_S = 0.15
"""Added to 102% of a lease before its runs count as ended.  This allows for clocks that
run 2% slow and for the time that the backend server takes to end stopped runs."""

MS_PER_S = 1_000


class BackendLease:
    """When the lease was extended, and when the backend server last replied.

    Parameters
    ----------
    lease_s
        Longest lease that the backend server grants, in seconds.
    clock
        Monotonic clock of this process.

    Attributes
    ----------
    fence
        Fencing token of this agent; 0 until it has taken over the backend server.
    failed_polls
        Number of polls without a reply since the last one.
    is_down
        Whether new runs are refused because the backend server does not answer.
    """

    def __init__(self, lease_s: float, clock: MonotonicClock) -> None:
        self.fence = 0
        self.failed_polls = 0
        self.is_down = False
        self._lease_s = lease_s
        self._clock = clock
        self._backend_clock = BackendClock(clock)
        self._extended_s = clock()
        self._last_reply_s = clock()

    @property
    def extended_s(self) -> float:
        """Return when a request that extends the lease was last sent, in seconds."""
        return self._extended_s

    @property
    def silent_s(self) -> float:
        """Return the time since the last reply to a poll, in seconds."""
        return self._clock() - self._last_reply_s

    @property
    def is_responsive(self) -> bool:
        """Return whether the backend server has replied within half a lease."""
        return self.silent_s < self._lease_s / 2

    @property
    def has_expired(self) -> bool:
        """Return whether the lease has certainly expired and all runs have ended."""
        return self.left_s <= 0.0

    @property
    def left_s(self) -> float:
        """Return the time until all runs have certainly ended, in seconds."""
        expires_s = self._extended_s + self._lease_s * 1.02 + EXPIRY_MARGIN_S
        return max(0.0, expires_s - self._clock())

    @property
    def longest_expiry_s(self) -> float:
        """Return the time after which the lease of an earlier agent has expired."""
        return self._lease_s + EXPIRY_MARGIN_S

    def extend(self) -> int:
        """Return the new end of the lease on the backend server's clock, in ms.

        The lease counts as extended from now, since the request that carries this end
        may take effect even if it is not answered.
        """
        self._extended_s = self._clock()
        return self._backend_clock.now_ms() + round(self._lease_s * MS_PER_S)

    def record_not_sent(self, extended_s: float) -> None:
        """Undo an extension whose request was never sent.

        Parameters
        ----------
        extended_s
            The value of :attr:`extended_s` before that extension.
        """
        self._extended_s = extended_s
        self.is_down = True

    def record_fenced_off(self) -> None:
        """Record a refused fencing token, from which on new runs are refused.

        The request with the higher token may have extended the lease until now.
        """
        self._extended_s = self._clock()
        self.is_down = True

    def update_clock(self, clock_ms: int) -> None:
        """Record a reading of the backend server's clock, in milliseconds."""
        self._backend_clock.update(clock_ms)

    def record_poll_reply(self, clock_ms: int) -> None:
        """Record the reply to a poll."""
        self._backend_clock.update(clock_ms)
        self._last_reply_s = self._clock()
        self.failed_polls = 0
        self.is_down = False

    def record_poll_failure(self) -> None:
        """Record a poll without a reply; after half a lease, new runs are refused."""
        self.failed_polls += 1
        if not self.is_responsive:
            self.is_down = True
