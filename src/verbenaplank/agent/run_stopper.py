"""Stops runs on a leased backend server."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import suppress
from typing import TYPE_CHECKING

from verbenaplank.agent import decision_log
from verbenaplank.agent.call_timeouts import call_timeout_s
from verbenaplank.agent.call_timeouts import stop_pause_s
from verbenaplank.agent.call_timeouts import stop_timeout_s
from verbenaplank.agent.lease_protocol import BackendRestartedError
from verbenaplank.agent.lease_protocol import CallFailedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.agent.active_run import ActiveRun
    from verbenaplank.agent.active_runs import ActiveRuns
    from verbenaplank.agent.backend_lease import BackendLease
    from verbenaplank.agent.lease_protocol import LeasedBackendClient
    from verbenaplank.agent.lease_protocol import PollReply
    from verbenaplank.agent.lease_protocol import RunId
    from verbenaplank.clock.sources import MonotonicClock


class RunStopper:
    """Sends stop requests, and repeats them until the runs have ended.

    Parameters
    ----------
    request_poll
        Called when a poll is due, which lists the ends of the runs.
    on_lost
        Called when the backend server has restarted.
    """

    def __init__(
        self,
        client: LeasedBackendClient,
        lease: BackendLease,
        runs: ActiveRuns,
        clock: MonotonicClock,
        request_poll: Callable[[], None],
        on_lost: Callable[[], None],
    ) -> None:
        self._client = client
        self._lease = lease
        self._runs = runs
        self._clock = clock
        self._request_poll = request_poll
        self._on_lost = on_lost
        self._unknown_runs: set[RunId] = set()

    async def stop(self, run: ActiveRun) -> None:
        """Stop a run and wait until it has ended.

        The backend server never starts a run that it was asked to stop, even if the
        start request arrives later.  So the run has ended once the reply to a later
        poll does not list it as active.
        """
        if run.stop_requested:
            await asyncio.wait([run.end])
            return
        run.stop_requested_s = self._clock()
        for repetition in itertools.count():
            if run.end.done():
                return
            timeout_s = stop_timeout_s(repetition)
            try:
                await self._client.stop(run.run_id, self._lease.fence, timeout_s)
            except CallFailedError as error:
                if repetition == 0:
                    decision_log.log_stop_unanswered(run.run_id, str(error))
                self._request_poll()
                with suppress(TimeoutError):
                    async with asyncio.timeout(stop_pause_s(repetition)):
                        await asyncio.shield(run.end)
            except BackendRestartedError:
                self._on_lost()
                await asyncio.wait([run.end])
            else:
                run.visible_after_poll = self._runs.polls_sent
                self._request_poll()
                await asyncio.wait([run.end])

    def take_unknown_runs(self, reply: PollReply) -> list[RunId]:
        """Return the active runs that this agent does not know, to be stopped.

        A run is returned again only after :meth:`stop_unknown_run` has ended for it.
        """
        listed = self._runs.update_unknown(reply, self._clock())
        unknown = [run_id for run_id in listed if run_id not in self._unknown_runs]
        self._unknown_runs.update(unknown)
        return unknown

    async def stop_unknown_run(self, run_id: RunId) -> None:
        """Send one stop request; the run is listed again if it was lost."""
        decision_log.log_unknown_run(run_id)
        try:
            await self._client.stop(run_id, self._lease.fence, call_timeout_s(0))
        except CallFailedError:
            self._request_poll()
        except BackendRestartedError:
            self._on_lost()
        finally:
            self._unknown_runs.discard(run_id)
