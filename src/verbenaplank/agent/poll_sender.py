"""Sends polls to a leased backend server."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from verbenaplank.agent import decision_log
from verbenaplank.agent.call_timeouts import call_timeout_s
from verbenaplank.agent.lease_protocol import NotSentError
from verbenaplank.agent.lease_protocol import PollRequest
from verbenaplank.agent.lease_protocol import UnreachableError

if TYPE_CHECKING:
    from verbenaplank.agent.active_runs import ActiveRuns
    from verbenaplank.agent.backend_lease import BackendLease
    from verbenaplank.agent.lease_protocol import LeasedBackendClient
    from verbenaplank.agent.lease_protocol import PollReply
    from verbenaplank.clock.sources import MonotonicClock

POLL_WAIT_MS = 200
"""How long the backend server may delay the reply to a poll while no run ends, and how
long after an extension of the lease the next one is due.  One poll without a reply then
still leaves more than half of the shortest lease."""


class PollSender:
    """Sends polls, each of which either waits for the next end or extends the lease.

    A poll extends it only right after an answer, and does not wait.  So it hardly ever
    stays unanswered, as one might that a later life of the backend server carries out.

    Attributes
    ----------
    lease_must_end
        Whether the last poll did not extend the lease, though that was due, because a
        run that must end may still be active.
    """

    def __init__(
        self,
        client: LeasedBackendClient,
        lease: BackendLease,
        runs: ActiveRuns,
        clock: MonotonicClock,
    ) -> None:
        self.lease_must_end = False
        self._client = client
        self._lease = lease
        self._runs = runs
        self._clock = clock

    async def send(self) -> PollReply:
        """Send one poll and return its reply.

        Raises
        ------
        CallFailedError
            If no usable reply came.
        BackendRestartedError
            If another incarnation of the backend server replied.
        """
        request = PollRequest(
            fence=self._lease.fence,
            deadline_ms=None,
            acknowledged=self._runs.acknowledged_sequence,
        )
        timeout_s = call_timeout_s(self._lease.failed_polls)
        try:
            if self._lease.failed_polls or not self._runs:
                return await self._client.poll(request, timeout_s)
            wait_s = self._lease.extended_s + POLL_WAIT_MS / 1_000 - self._clock()
            if wait_s <= 0.0:
                return await self._extend(request, timeout_s)
            wait_ms = 0 if self._runs.any_stopping else math.ceil(wait_s * 1_000)
            request = attrs.evolve(request, wait_ms=wait_ms)
            return await self._client.poll(request, timeout_s + wait_s)
        except UnreachableError:
            raise
        except NotSentError:
            self._lease.record_not_sent()
            raise

    async def _extend(self, request: PollRequest, timeout_s: float) -> PollReply:
        """Extend the lease, unless a run that must end would go on for too long."""
        with self._lease.extend() as deadline_ms:
            if deadline_ms is None and not self.lease_must_end:
                decision_log.log_lease_must_end(self._runs)
            self.lease_must_end = deadline_ms is None
            request = attrs.evolve(request, deadline_ms=deadline_ms)
            return await self._client.poll(request, timeout_s)
