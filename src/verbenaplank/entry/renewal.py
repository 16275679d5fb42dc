"""When an entry renews its lease at an agent, no I/O.

The lease keeps what waits at the agent from being dropped.  An entry that has
nothing there sends no renewal; its next dispatch brings one along.
"""

from __future__ import annotations

import attrs

RENEWAL_PERIOD_S = 0.25
ACKNOWLEDGEMENT_PERIOD_S = 10.0
"""How long results wait for a message that acknowledges them anyway."""


@attrs.define
class RenewalSchedule:
    """Renewals on one stream, which begins with a lease of its own.

    Attributes
    ----------
    renewed_s
        Monotonic time of the last renewal.
    sent_s
        Monotonic time of the last message.
    acknowledged_results
        How many results the last message acknowledged.
    """

    renewed_s: float = float("-inf")
    sent_s: float = float("-inf")
    acknowledged_results: int = 0

    def due(self, now_s: float, *, has_dispatches: bool) -> bool:
        """Return whether a message with or without dispatches renews the lease."""
        return has_dispatches and self._is_old(now_s)

    def due_unasked(
        self, now_s: float, received_results: int, *, has_open: bool
    ) -> bool:
        """Return whether a message goes out although nothing else is ready.

        Parameters
        ----------
        received_results
            How many results have come; the agent keeps what is not acknowledged.
        has_open
            Whether a dispatch is open at the agent.
        """
        if has_open and self._is_old(now_s):
            return True
        unacknowledged = received_results > self.acknowledged_results
        return unacknowledged and now_s - self.sent_s >= ACKNOWLEDGEMENT_PERIOD_S

    def sent(self, now_s: float, received_results: int, *, renewal: bool) -> None:
        """Note a message that acknowledged so many results."""
        self.sent_s = now_s
        self.acknowledged_results = received_results
        if renewal:
            self.renewed_s = now_s

    def _is_old(self, now_s: float) -> bool:
        return now_s - self.renewed_s >= RENEWAL_PERIOD_S
