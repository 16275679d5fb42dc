"""When an entry renews its lease at an agent, no I/O.

The lease keeps what waits at the agent from being dropped.  An entry that has
nothing there sends no renewal; its next dispatch brings one along.
"""

from __future__ import annotations

import math

import attrs

ACKNOWLEDGEMENT_PERIOD_S = 10.0
"""How long results wait for a message that acknowledges them anyway."""

MIN_RENEWAL_PERIOD_S = 0.1
"""A small part of the shortest lease; reports may come far more often."""


@attrs.frozen(kw_only=True)
class TaskLease:
    """The lease of an entry's tasks at an agent.

    Attributes
    ----------
    renews_on_report
        Whether agents report of their own accord: reports are answered by
        renewals, and the lease counts from the report.
    busy_timeout_s
        A stream with open dispatches is given up after so long without a
        message; infinity where agents report only along with replies.
    idle_timeout_s
        The same for a stream without open dispatches.
    """

    lease_s: float
    renewal_period_s: float
    renews_on_report: bool = False
    busy_timeout_s: float = math.inf
    idle_timeout_s: float = math.inf


LONG_LEASE = TaskLease(lease_s=3.0, renewal_period_s=1.0)
"""Few messages, for tasks that are never started again."""

SHORT_LEASE = TaskLease(
    lease_s=0.8,
    renewal_period_s=0.25,
    renews_on_report=True,
    busy_timeout_s=0.7,
    idle_timeout_s=2.5,
)
"""For exclusive tasks, which start again once the lease has run out."""


@attrs.define
class RenewalSchedule:
    """Renewals on one stream, which begins with a lease of its own.

    Attributes
    ----------
    period_s
        Time between two renewals.
    renewed_s
        Monotonic time of the last renewal.
    sent_s
        Monotonic time of the last message.
    acknowledged_results
        How many results the last message acknowledged.
    """

    period_s: float = LONG_LEASE.renewal_period_s
    renewed_s: float = float("-inf")
    sent_s: float = float("-inf")
    acknowledged_results: int = 0

    def is_renewal_due(self, now_s: float, *, has_dispatches: bool) -> bool:
        """Return whether a message with or without dispatches renews the lease."""
        return has_dispatches and self._is_expired(now_s)

    def is_message_due(
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
        if has_open and self._is_expired(now_s):
            return True
        unacknowledged = received_results > self.acknowledged_results
        return unacknowledged and now_s - self.sent_s >= ACKNOWLEDGEMENT_PERIOD_S

    def is_due_on_report(self, now_s: float) -> bool:
        """Return whether an agent's report is answered by a renewal."""
        return now_s - self.renewed_s >= MIN_RENEWAL_PERIOD_S

    def record_sent(
        self, now_s: float, received_results: int, *, renewal: bool
    ) -> None:
        """Note a message that acknowledged so many results."""
        self.sent_s = now_s
        self.acknowledged_results = received_results
        if renewal:
            self.renewed_s = now_s

    def _is_expired(self, now_s: float) -> bool:
        return now_s - self.renewed_s >= self.period_s
