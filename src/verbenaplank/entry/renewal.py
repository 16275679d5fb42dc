"""Schedules the renewals of an entry's lease at an agent, without I/O.

The lease keeps the agent from dropping the entry's queued tasks.  An entry without
dispatches at the agent sends no renewal; its next dispatch carries one.
"""

from __future__ import annotations

import math

import attrs

ACKNOWLEDGEMENT_PERIOD_S = 10.0
"""Time after the last message until one is sent only to acknowledge results.

Any earlier message acknowledges them too."""

MIN_RENEWAL_PERIOD_S = 0.2
"""Minimum time between renewals that answer load reports.

Reports may arrive far more often than this.  Together with the period of the reports,
it is half of the shortest lease."""


@attrs.frozen(kw_only=True)
class TaskLease:
    """Parameters of the lease that an entry holds at an agent for its tasks.

    Attributes
    ----------
    lease_s
        Length of the lease, in seconds.
    renewal_period_s
        Time between two renewals, in seconds.
    dispatch_renewal_period_s
        Time after a renewal from which a dispatch carries the next one, in seconds.
    renews_on_report
        Whether agents send load reports unprompted.  Each report is then answered
        with a renewal, and the lease runs from the time of the report.
    busy_timeout_s
        A stream with open dispatches is closed after this many seconds without a
        message; infinity if agents report only together with replies.
    idle_timeout_s
        The same for a stream without open dispatches.
    """

    lease_s: float
    renewal_period_s: float
    dispatch_renewal_period_s: float
    renews_on_report: bool = False
    busy_timeout_s: float = math.inf
    idle_timeout_s: float = math.inf


LONG_LEASE = TaskLease(lease_s=3.0, renewal_period_s=1.0, dispatch_renewal_period_s=1.0)
"""For tasks that are never retried; it needs few messages."""

SHORT_LEASE = TaskLease(
    lease_s=0.8,
    renewal_period_s=0.25,
    dispatch_renewal_period_s=0.1,
    renews_on_report=True,
    busy_timeout_s=0.7,
    idle_timeout_s=2.5,
)
"""For exclusive tasks, which are retried once the lease has expired."""


@attrs.define
class RenewalSchedule:
    """Decides when a message on one stream is due and renews the lease.

    Each stream begins with a new lease.

    Attributes
    ----------
    period_s
        Time between two renewals, in seconds.
    dispatch_period_s
        Time after a renewal from which a dispatch carries the next one, in seconds.
    renewed_s
        Monotonic time of the last renewal.
    sent_s
        Monotonic time of the last message.
    acknowledged_results
        Number of results that the last message acknowledged.
    """

    period_s: float = LONG_LEASE.renewal_period_s
    dispatch_period_s: float = LONG_LEASE.dispatch_renewal_period_s
    renewed_s: float = float("-inf")
    sent_s: float = float("-inf")
    acknowledged_results: int = 0

    def is_renewal_due(self, now_s: float, *, has_dispatches: bool) -> bool:
        """Return whether a message must carry a renewal.

        Parameters
        ----------
        now_s
            Monotonic time in seconds.
        has_dispatches
            Whether the message carries a dispatch.
        """
        return has_dispatches and now_s - self.renewed_s >= self.dispatch_period_s

    def is_message_due(
        self, now_s: float, received_results: int, *, has_open: bool
    ) -> bool:
        """Return whether a message is due although no item is waiting to be sent.

        Parameters
        ----------
        now_s
            Monotonic time in seconds.
        received_results
            Number of results received; the agent keeps results until they are
            acknowledged.
        has_open
            Whether a dispatch is open at the agent.
        """
        if has_open and self._is_period_over(now_s):
            return True
        unacknowledged = received_results > self.acknowledged_results
        return unacknowledged and now_s - self.sent_s >= ACKNOWLEDGEMENT_PERIOD_S

    def is_due_on_report(self, now_s: float) -> bool:
        """Return whether a load report is answered with a renewal."""
        return now_s - self.renewed_s >= MIN_RENEWAL_PERIOD_S

    def record_sent(
        self, now_s: float, received_results: int, *, renewal: bool
    ) -> None:
        """Record a message that was sent and the results it acknowledged."""
        self.sent_s = now_s
        self.acknowledged_results = received_results
        if renewal:
            self.renewed_s = now_s

    def _is_period_over(self, now_s: float) -> bool:
        return now_s - self.renewed_s >= self.period_s
