"""What the former lives of a backend server may have left to its next one, without I/O.

A backend server may start again under its id, with a clock that starts anew.  Its next
life may then carry out a call that was meant for the former one and got no answer.  The
call ends the lease at a time on the former clock, which may be far ahead, and a lease
never gets shorter.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.agent.backend_lease import EXPIRY_MARGIN_S
from verbenaplank.agent.backend_lease import SLOWEST_CLOCK_FACTOR
from verbenaplank.agent.backend_lease import Extension

if TYPE_CHECKING:
    from verbenaplank.clock.sources import MonotonicClock

LATEST_EXECUTION_S = 30.0
"""Time after which a call that got no answer is not carried out any more."""

LONGEST_DOUBT_S = 60.0
"""Longest time for which a call without an answer keeps a backend server out of use.

A backend server that keeps to its contract shortens a lease when the call arrives, so
this only limits what one costs that does not.
"""

MS_PER_S = 1_000


@attrs.frozen
class _FormerLife:
    server_id: str
    extension: Extension


class FormerLives:
    """The calls to former lives that the present one may still carry out.

    Parameters
    ----------
    clock
        Monotonic clock of this process.
    """

    def __init__(self, clock: MonotonicClock) -> None:
        self._clock = clock
        self._calls: list[_FormerLife] = []

    def end_life(
        self, server_id: str, answered_s: float, unanswered: Extension | None
    ) -> None:
        """Record the end of a life of a backend server.

        Parameters
        ----------
        answered_s
            Monotonic time of its last answer.
        unanswered
            The last request that extends the lease and got no answer, if there is one.
        """
        if unanswered is not None:
            self._calls.append(_FormerLife(server_id, unanswered))
        now_s = self._clock()
        self._calls = [
            call
            for call in self._calls
            if call.extension.sent_s >= answered_s - LATEST_EXECUTION_S
            and call.extension.sent_s >= now_s - LONGEST_DOUBT_S
        ]

    def lease_in_doubt_s(self, server_id: str, clock_ms: int) -> float:
        """Return how long a lease may last that the present life did not get from us.

        Parameters
        ----------
        clock_ms
            Reading of the present life's clock, after which no call of a former life is
            carried out any more.
        """
        now_s = self._clock()
        return max(
            (
                min(
                    _left_s(call.extension, clock_ms),
                    call.extension.sent_s + LONGEST_DOUBT_S - now_s,
                )
                for call in self._calls
                if call.server_id == server_id
            ),
            default=0.0,
        )


def _left_s(extension: Extension, clock_ms: int) -> float:
    left_s = (extension.deadline_ms - clock_ms) / MS_PER_S
    if left_s <= 0.0:
        return 0.0
    return left_s * SLOWEST_CLOCK_FACTOR + EXPIRY_MARGIN_S
