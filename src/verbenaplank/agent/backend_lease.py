"""The lease that an agent holds at its backend server, without I/O."""

from __future__ import annotations

import math
from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs

from verbenaplank.agent.backend_clock import BackendClock
from verbenaplank.agent.lease_protocol import NotSentError
from verbenaplank.agent.lease_protocol import RestartFoundError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from verbenaplank.clock.sources import MonotonicClock

EXPIRY_MARGIN_S = 0.15
"""Added to 102% of a lease before its runs count as ended.  This allows for clocks that
run 2% slow and for the time that the backend server takes to end stopped runs."""

SLOWEST_CLOCK_FACTOR = 1.02
SHORTEST_EXTENSION_S = 0.05
"""A request that could extend the lease only for less does not extend it."""

MS_PER_S = 1_000


@attrs.frozen
class Extension:
    """A request that extends the lease.

    Attributes
    ----------
    sent_s
        Monotonic time at which it was sent.
    deadline_ms
        New end of the lease on the backend server's clock, in milliseconds.
    ended_by_s
        Monotonic time by which that lease has certainly expired.
    """

    sent_s: float
    deadline_ms: int
    ended_by_s: float


class BackendLease:
    """When the lease ends at the latest, and when the backend server last replied.

    Parameters
    ----------
    lease_s
        Longest lease that the backend server grants, in seconds.
    clock
        Monotonic clock of this process.
    limit_s
        Returns the time on ``clock`` beyond which the lease must not last now; by
        default, it may last for ``lease_s``.

    Attributes
    ----------
    fence
        Fencing token of this agent; 0 until it has taken over the backend server.
    failed_polls
        Number of polls without a reply since the last one.
    is_down
        Whether new runs are refused because the backend server does not answer.
    extended_s
        Monotonic time at which the last answered extension was sent.
    """

    def __init__(
        self,
        lease_s: float,
        clock: MonotonicClock,
        limit_s: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self.fence = 0
        self.failed_polls = 0
        self.is_down = False
        self.extended_s = -math.inf
        self._lease_s = lease_s
        self._clock = clock
        self._limit_s = limit_s
        self._backend_clock = BackendClock(clock)
        self._ended_by_s = clock() + self.longest_expiry_s
        self._in_flight: list[Extension] = []
        self._unanswered: Extension | None = None
        self._last_reply_s = clock()

    @property
    def answered_s(self) -> float:
        """Return the monotonic time of the last reply to a poll, in seconds."""
        return self._last_reply_s

    @property
    def unanswered(self) -> Extension | None:
        """Return the last extension that was sent and has no answer, if there is one.

        It may be carried out late, also by a later life of the backend server.
        """
        candidates = list(self._in_flight)
        if self._unanswered is not None:
            candidates.append(self._unanswered)
        return max(candidates, key=lambda call: call.deadline_ms, default=None)

    @property
    def clock_ms(self) -> int:
        """Return the backend server's clock now, in milliseconds."""
        return self._backend_clock.now_ms()

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
        in_flight_s = (extension.ended_by_s for extension in self._in_flight)
        ended_by_s = max(self._ended_by_s, max(in_flight_s, default=0.0))
        return max(0.0, ended_by_s - self._clock())

    @property
    def longest_expiry_s(self) -> float:
        """Return the time after which a lease granted now has certainly expired."""
        return self._lease_s * SLOWEST_CLOCK_FACTOR + EXPIRY_MARGIN_S

    @contextmanager
    def extend(self) -> Iterator[int | None]:
        """Extend the lease by a request that is sent inside the context.

        The lease counts as extended even if the request is not answered, as it may
        take effect.  Only an error that says that it was not sent undoes this.

        Yields
        ------
        int or None
            New end of the lease on the backend server's clock, in milliseconds;
            ``None`` if the limit of the lease does not allow an extension.
        """
        now_s = self._clock()
        span_s = min(self._lease_s, self._limit_s() - now_s)
        if span_s < SHORTEST_EXTENSION_S:
            yield None
            return
        extension = Extension(
            sent_s=now_s,
            deadline_ms=self._backend_clock.now_ms() + round(span_s * MS_PER_S),
            ended_by_s=now_s + span_s * SLOWEST_CLOCK_FACTOR + EXPIRY_MARGIN_S,
        )
        self._in_flight.append(extension)
        try:
            yield extension.deadline_ms
        except (NotSentError, RestartFoundError):
            self._in_flight.remove(extension)
            raise
        except BaseException:
            self._settle(extension)
            self._unanswered = extension
            raise
        self._settle(extension)
        self.extended_s = max(self.extended_s, extension.sent_s)

    def _settle(self, extension: Extension) -> None:
        self._in_flight.remove(extension)
        self._ended_by_s = max(self._ended_by_s, extension.ended_by_s)

    def record_not_sent(self) -> None:
        """Record that no connection could be opened; new runs are refused then."""
        self.is_down = True

    def record_fenced_off(self) -> None:
        """Record a refused fencing token, from which on new runs are refused.

        The request with the higher token may have extended the lease until now.
        """
        self._ended_by_s = self._clock() + self.longest_expiry_s
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
