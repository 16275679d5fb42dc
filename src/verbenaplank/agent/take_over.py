"""Takes over a backend server from an earlier agent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from verbenaplank.agent import decision_log
from verbenaplank.agent.call_timeouts import RETRY_S
from verbenaplank.agent.lease_protocol import CallFailedError
from verbenaplank.agent.lease_protocol import PollRequest

if TYPE_CHECKING:
    from verbenaplank.agent.active_runs import ActiveRuns
    from verbenaplank.agent.backend_lease import BackendLease
    from verbenaplank.agent.lease_protocol import LeasedBackendClient
    from verbenaplank.clock.sources import MonotonicClock

TAKE_OVER_TIMEOUT_S = 0.2


async def take_over(
    client: LeasedBackendClient,
    lease: BackendLease,
    runs: ActiveRuns,
    clock: MonotonicClock,
) -> None:
    """Fence off earlier agents and stop their runs.

    The fencing token is the backend server's clock, so it is above the token of
    every earlier agent.

    Raises
    ------
    CallFailedError
        If the backend server does not answer, or if the runs do not end.
    BackendRestartedError
        If the backend server has restarted.
    """
    first = PollRequest(fence=0, deadline_ms=None, acknowledged=0)
    reply = await client.poll(first, TAKE_OVER_TIMEOUT_S)
    lease.update_clock(reply.clock_ms)
    lease.fence = reply.clock_ms
    give_up_s = clock() + 2 * lease.longest_expiry_s
    while clock() < give_up_s:
        request = PollRequest(
            fence=lease.fence,
            deadline_ms=None,
            acknowledged=runs.acknowledged_sequence,
        )
        reply = await client.poll(request, TAKE_OVER_TIMEOUT_S)
        decision_log.log_take_over(lease.fence, reply.clock_ms, refused=reply.fenced)
        runs.record_ends(reply)
        if not reply.active:
            lease.record_poll_reply(reply.clock_ms)
            return
        for progress in reply.active:
            await client.stop(progress.run, lease.fence, TAKE_OVER_TIMEOUT_S)
        await asyncio.sleep(RETRY_S)
    raise CallFailedError("runs of an earlier agent do not end")
