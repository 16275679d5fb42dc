"""Runs tasks on a backend server that stops them when its lease expires.

A run is reported as ended only once it can no longer run: the backend server has
listed its end, or the lease has expired with a margin.  The gate frees the
resources of a run on that report, so an earlier one would overcommit the worker.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from verbenaplank.agent import decision_log
from verbenaplank.agent.active_run import ActiveRun
from verbenaplank.agent.active_run import report_for_end
from verbenaplank.agent.active_run import report_for_run
from verbenaplank.agent.active_runs import ActiveRuns
from verbenaplank.agent.backend import BackendServerDownError
from verbenaplank.agent.backend import RunReport
from verbenaplank.agent.backend_lease import BackendLease
from verbenaplank.agent.call_timeouts import RETRY_S
from verbenaplank.agent.fencing import FencingTokens
from verbenaplank.agent.lease_holder import UnlimitedLeaseHolder
from verbenaplank.agent.lease_protocol import BackendRestartedError
from verbenaplank.agent.lease_protocol import CallFailedError
from verbenaplank.agent.lease_protocol import EndKind
from verbenaplank.agent.lease_protocol import FencedOffError
from verbenaplank.agent.lease_protocol import NotSentError
from verbenaplank.agent.lease_protocol import RunId
from verbenaplank.agent.lease_protocol import StartReply
from verbenaplank.agent.lease_protocol import StartStatus
from verbenaplank.agent.lease_protocol import UnreachableError
from verbenaplank.agent.named_task import decode_task
from verbenaplank.agent.poll_sender import PollSender
from verbenaplank.agent.run_numbers import RunNumbers
from verbenaplank.agent.run_stopper import RunStopper
from verbenaplank.agent.start_sender import StartSender
from verbenaplank.agent.take_over import take_over
from verbenaplank.concurrency.restarting import run_with_restarts
from verbenaplank.protocol.decoding import DECODE_ERRORS
from verbenaplank.protocol.work import TaskOutcome

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from types import TracebackType
    from typing import Any
    from typing import Self

    from verbenaplank.agent.crash_watch import CrashWatch
    from verbenaplank.agent.lease_holder import LeaseHolder
    from verbenaplank.agent.lease_protocol import LeasedBackendClient
    from verbenaplank.agent.lease_protocol import PollReply
    from verbenaplank.clock.sources import MonotonicClock

MAX_OUTDATED_STARTS = 4
OUTDATED_STEP = 16
"""Added to a run number that was refused as outdated, to get the next one to try."""

START_UNANSWERED = "the start request got no usable reply"
NOT_SENT = "stopped or lost while another run of the task was ending"

logger = logging.getLogger(__name__)


class LeasedBackend:
    """Runs tasks on one incarnation of a backend server; an async context manager.

    Entering it fences off earlier agents and waits until their runs have ended.

    Parameters
    ----------
    client
        Client of this incarnation of the backend server; closed on exit.
    lease_s
        Longest lease that the backend server grants, in seconds.
    clock
        Monotonic clock of this process.
    on_lost
        Called when the backend server has restarted, or when a higher fencing token
        has been used there and the runs of this agent have ended.
    crash_watch
        Told when the backend server goes silent, answers again or has restarted;
        ``None`` if nobody needs to know of its crash.
    tokens
        Issues the fencing token; by default, none were issued before.

    Attributes
    ----------
    is_taken_over
        Whether a higher fencing token has been used on the backend server.
    """

    can_stop = True

    def __init__(
        self,
        client: LeasedBackendClient,
        lease_s: float,
        clock: MonotonicClock,
        on_lost: Callable[[], None],
        crash_watch: CrashWatch | None = None,
        tokens: FencingTokens | None = None,
    ) -> None:
        self._client = client
        self._crash_watch = crash_watch
        self._tokens = tokens or FencingTokens()
        self.is_taken_over = False
        self._clock = clock
        self._runs = ActiveRuns()
        self._lease = BackendLease(lease_s, clock, self._runs.must_end_by_s)
        self._on_lost = on_lost
        self._run_numbers = RunNumbers()
        self._wake = asyncio.Event()
        self._starts = StartSender(
            client, self._lease, clock, self._wake.set, self._handle_lost
        )
        self._polls = PollSender(client, self._lease, self._runs, clock)
        self._stopper = RunStopper(
            client, self._lease, self._runs, clock, self._wake.set, self._handle_lost
        )
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        """Take over the backend server from an earlier agent and start to poll it.

        Raises
        ------
        CallFailedError
            If the backend server does not answer, or if runs of an earlier agent do
            not end.
        BackendRestartedError
            If the backend server has restarted.
        """
        await take_over(
            self._client, self._lease, self._runs, self._tokens, self._clock
        )
        self._spawn(run_with_restarts(self._poll_forever))
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._client.close()

    async def connect(self) -> object:
        """Return a placeholder, because all runs share the client's connections.

        Raises
        ------
        BackendServerDownError
            If the backend server cannot be reached, has not answered for half a lease,
            has restarted or is taken over.
        """
        if self._lease.is_down:
            raise BackendServerDownError("the backend server does not answer")
        return self

    def release(self, connection: object) -> None:
        """Do nothing, because all runs share the client's connections."""

    async def run(
        self,
        connection: object,
        task_id: str,
        service: str,
        payload: bytes,
        timeout_s: float,
        owner: LeaseHolder | None = None,
    ) -> RunReport:
        """Run a task at most once and return when it can no longer run.

        The lease at the backend server ends soon after that of the ``owner``, whether
        or not a request to stop the run is carried out.  A run that exceeds
        ``timeout_s`` is stopped.  A start that was refused as
        outdated has had no effect and is tried again with a higher run number.  While
        the task still runs here for another entry, the start waits for that end.
        """
        try:
            task = decode_task(payload)
        except DECODE_ERRORS as error:
            return RunReport(TaskOutcome.NOT_STARTED, error=str(error))
        attempt = int(task_id.rpartition("/")[2])
        reply = StartReply(status=StartStatus.OUTDATED)
        for _ in range(MAX_OUTDATED_STARTS):
            number = self._run_numbers.next(task.name, attempt)
            run_id = RunId(task=task.name, number=number)
            end: asyncio.Future[EndKind] = asyncio.get_running_loop().create_future()
            run = ActiveRun(run_id, end, task.workload, owner or UnlimitedLeaseHolder())
            earlier = self._runs.latest_of(task.name)
            self._runs.add(task_id, run)
            try:
                if earlier is not None:
                    await _wait_for_either_end(earlier, run)
                if run.stop_requested or run.end.done():
                    await asyncio.wait([run.end])
                    return RunReport(TaskOutcome.NOT_STARTED, error=NOT_SENT)
                reply = await self._starts.send(run, task.content)
                if reply.status is StartStatus.STARTED:
                    self._on_started(run)
                    return report_for_run(run, await self._wait_for_end(run, timeout_s))
            except NotSentError as error:
                return RunReport(TaskOutcome.NOT_STARTED, error=str(error))
            except CallFailedError:
                await self._stopper.stop(run)
                return report_for_end(run.end.result(), START_UNANSWERED)
            finally:
                self._runs.remove(task_id, run)
            if reply.status is StartStatus.FENCED:
                self._on_fenced_off()
            if reply.status is not StartStatus.OUTDATED:
                break
            attempt = number + OUTDATED_STEP
        return RunReport(TaskOutcome.NOT_STARTED, error=reply.status)

    async def stop(self, task_id: str) -> None:
        """Stop a run and wait for its end, which :meth:`run` reports."""
        run = self._runs.find(task_id)
        if run is not None:
            await self._stopper.stop(run)

    def _on_started(self, run: ActiveRun) -> None:
        run.visible_after_poll = self._runs.polls_sent
        run.started_s = run.progressed_s = self._clock()
        run.start_acknowledged = True
        self._wake.set()

    async def _wait_for_end(self, run: ActiveRun, timeout_s: float) -> EndKind:
        """Return how a run ended; it is stopped if it exceeds ``timeout_s``."""
        timer = asyncio.get_running_loop().call_later(timeout_s, self._stop_soon, run)
        try:
            return await run.end
        finally:
            timer.cancel()

    def _stop_soon(self, run: ActiveRun) -> None:
        self._spawn(self._stopper.stop(run))

    async def _poll_forever(self) -> None:
        while True:
            if not (
                self._runs or self._runs.has_unacknowledged_ends or self._lease.is_down
            ):
                self._wake.clear()
                await self._wake.wait()
            if self._lease.is_down:
                await asyncio.sleep(RETRY_S)
            try:
                await self._poll_once()
            except BackendRestartedError:
                self._handle_lost()
                return
            except FencedOffError:
                self._on_fenced_off()
                await self._end_runs_after_lease()
                return
            except CallFailedError as error:
                self._on_poll_failed(error)
                if self._lease.failed_polls > 1:
                    await asyncio.sleep(RETRY_S)

    async def _poll_once(self) -> None:
        self._runs.polls_sent += 1
        poll_number = self._runs.polls_sent
        self._runs.has_unacknowledged_ends = False
        reply = await self._polls.send()
        if reply.fenced:
            raise FencedOffError
        if self._lease.failed_polls:
            decision_log.log_poll_recovered(self._lease.silent_s)
        self._lease.record_poll_reply(reply.clock_ms)
        if self._crash_watch is not None:
            self._crash_watch.on_answer()
        self._process_reply(reply, poll_number)
        if self._runs.any_stopping or self._polls.lease_must_end:
            await asyncio.sleep(RETRY_S / 5)

    def _process_reply(self, reply: PollReply, poll_number: int) -> None:
        self._runs.record_ends(reply)
        for run_id in self._stopper.take_unknown_runs(reply):
            self._spawn(self._stopper.stop_unknown_run(run_id))
        self._stop_stalled_runs(reply)
        self._runs.record_unlisted(reply, poll_number)

    def _stop_stalled_runs(self, reply: PollReply) -> None:
        for run in self._runs.update_progress(reply, self._clock()):
            logger.warning(
                "run stalled",
                extra={"task": run.run_id.task, "percent": run.percent},
            )
            run.stalled = True
            self._spawn(self._stopper.stop(run))

    def _on_poll_failed(self, error: CallFailedError) -> None:
        """Record a failed poll, and end all runs once their lease has expired.

        After half a lease without a reply, new runs are refused as well.
        """
        self._lease.record_poll_failure()
        if self._crash_watch is not None:
            not_sent = isinstance(error, NotSentError)
            refused = not_sent and not isinstance(error, UnreachableError)
            self._crash_watch.on_silent(self._runs, refused=refused)
        if self._lease.failed_polls == 1:
            silent_s = self._lease.silent_s
            decision_log.log_poll_failed(str(error), silent_s, len(self._runs))
        if self._lease.has_expired:
            self.end_certain_runs()

    @property
    def lease(self) -> BackendLease:
        """Return the lease that all runs share."""
        return self._lease

    @property
    def has_runs_in_doubt(self) -> bool:
        """Whether a later life of the backend server may begin a run."""
        return self._runs.any_in_doubt(self._clock())

    def end_certain_runs(self) -> None:
        """Report the runs as ended that no later life of the backend server may begin.

        This life runs nothing any more.
        """
        self._runs.end_certain(EndKind.LEASE_EXPIRED, self._clock())

    def end_all_runs(self) -> None:
        """Report all runs as ended, because the next life runs none of them."""
        self._runs.end_all(EndKind.LEASE_EXPIRED)

    def record_replaced(self, *, planned: bool) -> None:
        """Report a crash if runs were lost when another incarnation took over.

        Parameters
        ----------
        planned
            Whether the incarnation had announced its end.
        """
        if self._crash_watch is not None and not self.is_taken_over:
            self._crash_watch.on_replaced(self._runs, planned=planned)

    def _on_fenced_off(self) -> None:
        """Refuse new runs, and let the next poll find out whether to give up."""
        if not self._lease.is_down:
            logger.error("backend server refuses the fencing token")
        self._lease.record_fenced_off()
        self._wake.set()

    async def _end_runs_after_lease(self) -> None:
        """End all runs once their lease has expired, and give the backend server up.

        They may go on until then, as their end is no longer listed to this agent.
        """
        self.is_taken_over = True
        await asyncio.sleep(self._lease.left_s)
        self._runs.end_all(EndKind.LEASE_EXPIRED)
        self._on_lost()

    def _handle_lost(self) -> None:
        """End the runs that are certainly over, as the backend server has restarted."""
        self._lease.is_down = True
        if self._crash_watch is not None:
            self._crash_watch.on_silent(self._runs, refused=False)
        self.end_certain_runs()
        self._on_lost()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _wait_for_either_end(one: ActiveRun, other: ActiveRun) -> None:
    """Wait until the end of one of two runs is known."""
    await asyncio.wait([one.end, other.end], return_when=asyncio.FIRST_COMPLETED)
