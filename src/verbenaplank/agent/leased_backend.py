"""Runs tasks on a backend server that keeps them alive under a lease.

A run is reported as over only when the backend server listed its end, or when
its lease has surely lapsed, so that the gate frees its room no sooner.
"""

from __future__ import annotations

import asyncio
import logging
from contextlib import suppress
from typing import TYPE_CHECKING

import msgspec

from verbenaplank.agent import decision_log
from verbenaplank.agent.active_run import ActiveRun
from verbenaplank.agent.active_run import infer_end
from verbenaplank.agent.active_run import record_end
from verbenaplank.agent.active_run import report_for_end
from verbenaplank.agent.active_run import report_for_run
from verbenaplank.agent.backend import BackendServerDownError
from verbenaplank.agent.backend import RunReport
from verbenaplank.agent.backend_clock import BackendClock
from verbenaplank.agent.lease_protocol import BackendRestartedError
from verbenaplank.agent.lease_protocol import CallFailedError
from verbenaplank.agent.lease_protocol import EndKind
from verbenaplank.agent.lease_protocol import NotSentError
from verbenaplank.agent.lease_protocol import PollRequest
from verbenaplank.agent.lease_protocol import RunId
from verbenaplank.agent.lease_protocol import StartReply
from verbenaplank.agent.lease_protocol import StartRequest
from verbenaplank.agent.lease_protocol import StartStatus
from verbenaplank.agent.named_task import decode_task
from verbenaplank.agent.run_numbers import RunNumbers
from verbenaplank.protocol.work import TaskOutcome

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from types import TracebackType
    from typing import Any
    from typing import Self

    from verbenaplank.agent.lease_protocol import LeasedBackendClient
    from verbenaplank.agent.lease_protocol import PollReply
    from verbenaplank.clock.sources import MonotonicClock

POLL_WAIT_MS = 200
"""How long the backend server waits for an end.  One call without an answer then
leaves more than half of the shortest lease."""

CALL_TIMEOUT_S = 0.2
"""The backend server runs on the same machine and answers in a few milliseconds."""

RETRY_S = 0.05
EXPIRY_MARGIN_S = 0.15
"""For clocks that run 2% slow and for the end of what is being stopped."""

MAX_OUTDATED_STARTS = 4
OUTDATED_STEP = 16
"""After an outdated run number, the next try is so much higher."""

UNANSWERED = "the order to start was not answered"

logger = logging.getLogger(__name__)


class LeasedBackend:
    """A backend server in one of its lives; an async context manager.

    Entering it waits until nothing of an earlier agent runs there.

    Parameters
    ----------
    lease_s
        The longest lease that the backend server grants.
    on_gone
        Called when this life of the backend server is surely over.
    """

    can_stop = True

    def __init__(
        self,
        worker: LeasedBackendClient,
        lease_s: float,
        clock: MonotonicClock,
        on_gone: Callable[[], None],
    ) -> None:
        self._worker = worker
        self._lease_s = lease_s
        self._clock = clock
        self._worker_clock = BackendClock(clock)
        self._on_gone = on_gone
        self._numbers = RunNumbers()
        self._fence = 0
        self._acknowledged = 0
        self._unacknowledged = False
        self._runs: dict[RunId, ActiveRun] = {}
        self._by_task_id: dict[str, ActiveRun] = {}
        self._hold_calls = 0
        self._extended_s = clock()
        self._answered_s = clock()
        self._down = False
        self._silent = False
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        """Take the backend server over from an earlier agent.

        Raises
        ------
        CallFailedError
            If it does not answer.
        OtherLifeError
            If this life of it is over.
        """
        await self._take_over()
        self._spawn(self._hold_forever())
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
        self._worker.close()

    async def connect(self) -> object:
        """Return nothing of use, as all runs share the connections.

        Raises
        ------
        BackendServerDownError
            If the backend server does not answer now.
        """
        if self._down:
            raise BackendServerDownError("the backend server does not answer")
        return self

    def release(self, connection: object) -> None:
        """Do nothing, as all runs share the connections."""

    async def run(
        self,
        connection: object,
        task_id: str,
        service: str,
        payload: bytes,
        timeout_s: float,
    ) -> RunReport:
        """Run a task once; return when it surely runs no longer."""
        try:
            task = decode_task(payload)
        except msgspec.MsgspecError as error:
            return RunReport(TaskOutcome.NOT_STARTED, error=str(error))
        attempt = int(task_id.rpartition("/")[2])
        reply = StartReply(status=StartStatus.OUTDATED)
        for _ in range(MAX_OUTDATED_STARTS):
            number = self._numbers.next(task.name, attempt)
            name = RunId(task=task.name, number=number)
            run = ActiveRun(name, asyncio.get_running_loop().create_future())
            self._runs[name] = self._by_task_id[task_id] = run
            try:
                reply = await self._start(run, task.content)
                if reply.status is StartStatus.STARTED:
                    return report_for_run(run, await self._wait_for_end(run, timeout_s))
            except NotSentError as error:
                return RunReport(TaskOutcome.NOT_STARTED, error=str(error))
            except CallFailedError as error:
                decision_log.start_unanswered(name, str(error))
                await self._stop_surely(run)
                return report_for_end(run.end.result(), UNANSWERED)
            finally:
                self._runs.pop(name, None)
                self._by_task_id.pop(task_id, None)
            if reply.status is not StartStatus.OUTDATED:
                break
            attempt = number + OUTDATED_STEP
        return RunReport(TaskOutcome.NOT_STARTED, error=reply.status)

    async def stop(self, task_id: str) -> None:
        """Stop a run; its end is reported by :meth:`run`."""
        run = self._by_task_id.get(task_id)
        if run is not None:
            await self._stop_surely(run)

    async def _start(self, run: ActiveRun, content: str) -> StartReply:
        """Order a start; the order also extends the lease.

        Raises
        ------
        CallFailedError
            If no answer came.
        """
        extended_s = self._extended_s
        request = StartRequest(
            run=run.name,
            content=content,
            deadline_ms=self._new_deadline_ms(),
            fence=self._fence,
        )
        try:
            reply = await self._worker.start(request, CALL_TIMEOUT_S)
        except NotSentError:
            self._extended_s = extended_s
            self._down = True
            self._wake.set()
            raise
        except BackendRestartedError:
            self._gone()
            raise CallFailedError("the backend server restarted") from None
        if reply.clock_ms is not None:
            self._worker_clock.learn(reply.clock_ms)
        if reply.status is StartStatus.STARTED:
            run.started_call = self._hold_calls
            run.started_s = run.moved_s = self._clock()
            run.acknowledged = True
            self._wake.set()
        return reply

    async def _wait_for_end(self, run: ActiveRun, timeout_s: float) -> EndKind:
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(run.end)
        except TimeoutError:
            await self._stop_surely(run)
            return run.end.result()

    async def _stop_surely(self, run: ActiveRun) -> None:
        """Stop a run and wait until it is over.

        A stopped run that is not there yet can never start; so one that no
        later answer lists is over.
        """
        if run.stop_asked:
            await asyncio.wait([run.end])
            return
        run.stop_asked = True
        while not run.end.done():
            try:
                await self._worker.stop(run.name, self._fence, CALL_TIMEOUT_S)
            except CallFailedError:
                self._wake.set()
                with suppress(TimeoutError):
                    async with asyncio.timeout(RETRY_S):
                        await asyncio.shield(run.end)
            except BackendRestartedError:
                self._gone()
            else:
                run.started_call = self._hold_calls
                self._wake.set()
                await asyncio.wait([run.end])

    async def _take_over(self) -> None:
        """Outbid an earlier agent's fence and stop what it left behind."""
        first = PollRequest(fence=0, deadline_ms=None, acknowledged=0)
        reply = await self._worker.poll(first, CALL_TIMEOUT_S)
        self._worker_clock.learn(reply.clock_ms)
        self._fence = reply.clock_ms
        give_up_s = self._clock() + 2 * (self._lease_s + EXPIRY_MARGIN_S)
        while self._clock() < give_up_s:
            request = PollRequest(
                fence=self._fence, deadline_ms=None, acknowledged=self._acknowledged
            )
            reply = await self._worker.poll(request, CALL_TIMEOUT_S)
            self._acknowledge(reply)
            if not reply.active:
                self._answered_s = self._clock()
                return
            for progress in reply.active:
                await self._worker.stop(progress.run, self._fence, CALL_TIMEOUT_S)
            await asyncio.sleep(RETRY_S)
        raise CallFailedError("runs of an earlier agent do not end")

    async def _hold_forever(self) -> None:
        while True:
            if not (self._runs or self._unacknowledged or self._down):
                self._wake.clear()
                await self._wake.wait()
            if self._down:
                await asyncio.sleep(RETRY_S)
            try:
                await self._hold_once()
            except BackendRestartedError:
                self._gone()
                return
            except CallFailedError as error:
                self._note_silence(error)
                await asyncio.sleep(RETRY_S)

    async def _hold_once(self) -> None:
        self._hold_calls += 1
        call = self._hold_calls
        self._unacknowledged = False
        extended_s = self._extended_s
        lively = self._clock() - self._answered_s < self._lease_s / 2
        waits = lively and not any(run.stop_asked for run in self._runs.values())
        request = PollRequest(
            fence=self._fence,
            deadline_ms=self._new_deadline_ms() if lively and self._runs else None,
            acknowledged=self._acknowledged,
            wait_ms=POLL_WAIT_MS if waits and self._runs else 0,
        )
        timeout_s = CALL_TIMEOUT_S + request.wait_ms / 1_000
        try:
            reply = await self._worker.poll(request, timeout_s)
        except NotSentError:
            self._extended_s = extended_s
            self._down = True
            raise
        if reply.fenced:
            logger.error("another agent has taken the backend server over")
            raise BackendRestartedError
        self._note_answer()
        self._take(reply, call)
        if any(run.stop_asked for run in self._runs.values()):
            await asyncio.sleep(RETRY_S / 5)

    def _take(self, reply: PollReply, call: int) -> None:
        self._worker_clock.learn(reply.clock_ms)
        self._acknowledge(reply)
        active = {progress.run for progress in reply.active}
        self._stop_standing(reply)
        for name, run in list(self._runs.items()):
            listed_since = run.started_call
            if listed_since is None or call <= listed_since or name in active:
                continue
            record_end(run, infer_end(run))

    def _stop_standing(self, reply: PollReply) -> None:
        now_s = self._clock()
        for progress in reply.active:
            run = self._runs.get(progress.run)
            if run is None or run.started_call is None or run.stop_asked:
                continue
            if run.update_progress(progress.percent, now_s):
                logger.warning(
                    "a run stands still",
                    extra={"task": run.name.task, "percent": run.percent},
                )
                run.stalled = True
                self._spawn(self._stop_surely(run))

    def _acknowledge(self, reply: PollReply) -> None:
        for ended in reply.ended:
            self._acknowledged = max(self._acknowledged, ended.sequence)
            self._unacknowledged = True
            run = self._runs.get(ended.run)
            if run is not None:
                record_end(run, ended.kind)

    def _note_silence(self, error: CallFailedError) -> None:
        """Give runs up once their lease has surely lapsed."""
        now_s = self._clock()
        if not self._silent:
            self._silent = True
            silent_s = now_s - self._answered_s
            decision_log.hold_unanswered(str(error), silent_s, len(self._runs))
        if now_s - self._answered_s >= self._lease_s / 2:
            self._down = True
        if now_s - self._extended_s < self._lease_s * 1.02 + EXPIRY_MARGIN_S:
            return
        for run in list(self._runs.values()):
            record_end(run, EndKind.LEASE_EXPIRED)

    def _note_answer(self) -> None:
        now_s = self._clock()
        if self._silent:
            decision_log.hold_answered(now_s - self._answered_s)
        self._silent = self._down = False
        self._answered_s = now_s

    def _new_deadline_ms(self) -> int:
        self._extended_s = self._clock()
        return self._worker_clock.now_ms() + round(self._lease_s * 1_000)

    def _gone(self) -> None:
        """Take in that this life of the backend server, and all its runs, are over."""
        self._down = True
        for run in list(self._runs.values()):
            record_end(run, EndKind.LEASE_EXPIRED)
        self._on_gone()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
