"""Sends start requests to a leased backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.agent import decision_log
from verbenaplank.agent.call_timeouts import CALL_TIMEOUTS_S
from verbenaplank.agent.lease_protocol import BackendRestartedError
from verbenaplank.agent.lease_protocol import CallFailedError
from verbenaplank.agent.lease_protocol import NotSentError
from verbenaplank.agent.lease_protocol import RestartFoundError
from verbenaplank.agent.lease_protocol import StartReply
from verbenaplank.agent.lease_protocol import StartRequest
from verbenaplank.agent.lease_protocol import StartStatus
from verbenaplank.agent.lease_protocol import UnreachableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.agent.active_run import ActiveRun
    from verbenaplank.agent.backend_lease import BackendLease
    from verbenaplank.agent.lease_protocol import LeasedBackendClient
    from verbenaplank.clock.sources import MonotonicClock


LEASE_ENDS = "the lease must end, because a run that is to end may still be active"


class LeaseEndsError(NotSentError):
    """A start was not sent, because the lease must not be extended for it."""


class StartSender:
    """Sends start requests, which also extend the lease.

    Parameters
    ----------
    on_not_sent
        Called when a request could not be sent.
    on_lost
        Called when the backend server has restarted.
    """

    def __init__(
        self,
        client: LeasedBackendClient,
        lease: BackendLease,
        clock: MonotonicClock,
        on_not_sent: Callable[[], None],
        on_lost: Callable[[], None],
    ) -> None:
        self._client = client
        self._lease = lease
        self._clock = clock
        self._on_not_sent = on_not_sent
        self._on_lost = on_lost

    async def send(self, run: ActiveRun, content: str) -> StartReply:
        """Send a start request, and repeat it while it is unanswered.

        All requests carry the same run number, so at most one of them starts a run.

        Raises
        ------
        NotSentError
            If no request was sent, so that the run has not started.
        CallFailedError
            If no usable reply came, so that the run may have started or may start
            later.
        """
        was_sent = False
        for timeout_s in CALL_TIMEOUTS_S:
            try:
                reply = await self._send_once(run, content, timeout_s)
            except UnreachableError:
                continue
            except NotSentError:
                if not was_sent:
                    raise
                break
            except CallFailedError as error:
                was_sent = True
                decision_log.log_start_unanswered(run.run_id, str(error))
                if self._lease.is_down or run.end.done():
                    raise
            else:
                if not was_sent or reply.status is StartStatus.STARTED:
                    return reply
                break
        if not was_sent:
            raise NotSentError("no connection for the start request")
        raise CallFailedError("a start request got no reply")

    async def _send_once(
        self, run: ActiveRun, content: str, timeout_s: float
    ) -> StartReply:
        """Send one start request, which also extends the lease."""
        earlier_s = run.unanswered_start_s
        run.unanswered_start_s = self._clock()
        try:
            with self._lease.extend() as deadline_ms:
                if deadline_ms is None:
                    raise LeaseEndsError(LEASE_ENDS)
                request = StartRequest(
                    run=run.run_id,
                    content=content,
                    deadline_ms=deadline_ms,
                    fence=self._lease.fence,
                )
                reply = await self._client.start(request, timeout_s)
        except (LeaseEndsError, UnreachableError):
            run.unanswered_start_s = earlier_s
            raise
        except NotSentError:
            run.unanswered_start_s = earlier_s
            self._lease.record_not_sent()
            self._on_not_sent()
            raise
        except RestartFoundError:
            run.unanswered_start_s = earlier_s
            self._on_lost()
            raise NotSentError("the backend server restarted") from None
        except BackendRestartedError:
            self._on_lost()
            raise CallFailedError("the backend server restarted") from None
        run.unanswered_start_s = earlier_s
        if reply.clock_ms is not None:
            self._lease.update_clock(reply.clock_ms)
        return reply
