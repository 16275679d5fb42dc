"""Takes over a backend server from an earlier agent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from verbenaplank.agent import decision_log
from verbenaplank.agent.active_runs import ActiveRuns
from verbenaplank.agent.backend_lease import BackendLease
from verbenaplank.agent.call_timeouts import CALL_TIMEOUTS_S
from verbenaplank.agent.call_timeouts import RETRY_S
from verbenaplank.agent.fencing import TokensExhaustedError
from verbenaplank.agent.lease_protocol import BackendRestartedError
from verbenaplank.agent.lease_protocol import CallFailedError
from verbenaplank.agent.lease_protocol import NotSentError
from verbenaplank.agent.lease_protocol import PollRequest
from verbenaplank.agent.lease_protocol import UnreachableError

if TYPE_CHECKING:
    from verbenaplank.agent.fencing import FencingTokens
    from verbenaplank.agent.lease_protocol import LeasedBackendClient
    from verbenaplank.agent.lease_protocol import PollReply
    from verbenaplank.clock.sources import MonotonicClock

TAKE_OVER_TIMEOUT_S = 0.2

FIRST_RAISE_MS = 1_000
"""By how much a refused fencing token is raised first; doubled at each refusal."""


async def take_over(
    client: LeasedBackendClient,
    lease: BackendLease,
    runs: ActiveRuns,
    tokens: FencingTokens,
    clock: MonotonicClock,
) -> None:
    """Fence off earlier agents and stop their runs.

    The fencing token is the time of day by the backend server's own clocks, so it is
    above the token of every earlier agent, unless its time of day was set back.  A
    token that is refused is raised until it is accepted.

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
    lease.fence = _issue(tokens, reply.started_ms + reply.clock_ms)
    raise_ms = FIRST_RAISE_MS
    give_up_s = clock() + 2 * lease.longest_expiry_s
    while clock() < give_up_s:
        reply = await _poll(client, lease, runs)
        if reply.fenced:
            lease.fence = _issue(tokens, lease.fence + raise_ms)
            raise_ms *= 2
            continue
        if not reply.active:
            lease.record_poll_reply(reply.clock_ms)
            return
        for progress in reply.active:
            await client.stop(progress.run, lease.fence, TAKE_OVER_TIMEOUT_S)
        await asyncio.sleep(RETRY_S)
    raise CallFailedError("runs of an earlier agent do not end")


async def fence_off(
    client: LeasedBackendClient,
    lease_s: float,
    tokens: FencingTokens,
    clock: MonotonicClock,
) -> None:
    """Stop all that runs on a backend server, and have it refuse all earlier calls.

    The client is closed afterwards.

    Raises
    ------
    CallFailedError
        If the backend server does not answer, or if the runs do not end.
    BackendRestartedError
        If the backend server has restarted.
    """
    lease = BackendLease(lease_s, clock)
    try:
        await take_over(client, lease, ActiveRuns(), tokens, clock)
    finally:
        client.close()


async def is_answering(client: LeasedBackendClient) -> bool:
    """Return whether an incarnation of a backend server answers a call.

    Nothing changes there, since the call carries no fencing token and no lease.  The
    client is closed afterwards.
    """
    request = PollRequest(fence=0, deadline_ms=None, acknowledged=0)
    try:
        for timeout_s in CALL_TIMEOUTS_S:
            try:
                await client.poll(request, timeout_s)
            except UnreachableError:
                continue
            except NotSentError:
                return False
            except CallFailedError:
                continue
            return True
    except BackendRestartedError:
        return False
    finally:
        client.close()
    return False


async def _poll(
    client: LeasedBackendClient, lease: BackendLease, runs: ActiveRuns
) -> PollReply:
    """Send the fencing token and record the ends that the reply lists."""
    request = PollRequest(
        fence=lease.fence,
        deadline_ms=None,
        acknowledged=runs.acknowledged_sequence,
    )
    reply = await client.poll(request, TAKE_OVER_TIMEOUT_S)
    decision_log.log_take_over(lease.fence, reply.clock_ms, refused=reply.fenced)
    runs.record_ends(reply)
    return reply


def _issue(tokens: FencingTokens, at_least: int) -> int:
    try:
        return tokens.issue(at_least)
    except TokensExhaustedError as error:
        raise CallFailedError(str(error)) from error
