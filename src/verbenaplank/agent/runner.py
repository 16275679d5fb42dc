"""Executes the effects of the gate: starts runs, stops them and sends replies."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from verbenaplank.agent import decision_log
from verbenaplank.agent.backend import BackendServerDownError
from verbenaplank.agent.backend import RunReport
from verbenaplank.agent.effects import EntryKey
from verbenaplank.agent.effects import Reply
from verbenaplank.agent.effects import ReplyItem
from verbenaplank.agent.effects import StartRun
from verbenaplank.agent.effects import StopRun
from verbenaplank.concurrency.restarting import run_with_restarts
from verbenaplank.history.event import Event
from verbenaplank.history.event import EventHook
from verbenaplank.history.event import EventKind
from verbenaplank.history.event import event_time_s
from verbenaplank.protocol.crash import Confinement
from verbenaplank.protocol.crash import CrashReport
from verbenaplank.protocol.work import Dispatch
from verbenaplank.protocol.work import DispatchRefusal
from verbenaplank.protocol.work import LoadReport
from verbenaplank.protocol.work import TaskOutcome
from verbenaplank.protocol.work import TaskResult
from verbenaplank.rpc.outbox import Outbox

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Iterable
    from types import TracebackType
    from typing import Any
    from typing import Self

    from verbenaplank.agent.backend import Backend
    from verbenaplank.agent.effects import Effect
    from verbenaplank.agent.gate import Gate
    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.placement.task import Resources

EXPIRY_PERIOD_S = 0.25
MS_PER_S = 1_000.0

OutboxItem = ReplyItem | LoadReport | CrashReport | Confinement
ReplyOutbox = Outbox[OutboxItem]


class TaskRunner:
    """Connects the gate to the backend server and to the streams of the entries.

    An async context manager; on exit it cancels the runs in progress.

    Parameters
    ----------
    agent_id
        Recorded as the process of each event.
    clock
        Monotonic clock whose readings are passed to the gate.
    record
        Receives an event for each start, end and refusal.
    on_backend_down
        Called whenever a connection to the backend server cannot be opened.
    """

    def __init__(
        self,
        agent_id: str,
        gate: Gate,
        backend: Backend,
        clock: MonotonicClock,
        record: EventHook,
        on_backend_down: Callable[[], None] = lambda: None,
    ) -> None:
        self.gate = gate
        self._on_backend_down = on_backend_down
        self.clock = clock
        self._agent_id = agent_id
        self._backend = backend
        self._record = record
        self._outboxes: dict[EntryKey, ReplyOutbox] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._stop_requested: set[str] = set()
        self._effects_applied = asyncio.Event()
        self._load_changed = asyncio.Event()

    async def __aenter__(self) -> Self:
        self._spawn(run_with_restarts(self._expire_periodically))
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

    def attach(self, key: EntryKey, outbox: ReplyOutbox) -> None:
        """Mark an entry as connected and send its replies to an outbox from now on."""
        self._outboxes[key] = outbox
        now_s = self.clock()
        self.gate.on_hello(key, now_s)
        decision_log.log_entry_connected(key, self.gate.lease_left_s(key, now_s))

    def detach(self, key: EntryKey, outbox: ReplyOutbox) -> None:
        """Remove an outbox and refuse the queued dispatches of its entry.

        Does nothing if a newer stream of the entry has replaced the outbox.
        """
        if self._outboxes.get(key) is not outbox:
            return
        del self._outboxes[key]
        now_s = self.clock()
        lease_left_s = self.gate.lease_left_s(key, now_s)
        decision_log.log_entry_disconnected(key, lease_left_s, self.gate.runs_of(key))
        self.apply_effects(self.gate.on_disconnect(key, now_s))

    def drain(self) -> None:
        """Refuse all dispatches that have not started, and send the load to entries."""
        self.apply_effects(self.gate.drain())
        self._send_load()

    def resize(self, size: Resources) -> None:
        """Use another size of the worker, and send the load to entries."""
        self.apply_effects(self.gate.resize(size))
        self._send_load()

    def resume(self) -> None:
        """Accept dispatches again, and send the load to entries."""
        self.gate.resume()
        self._send_load()

    async def wait_for_load_change(self) -> None:
        """Wait until effects of the gate are applied, which may change its load."""
        self._load_changed.clear()
        await self._load_changed.wait()

    def load(self) -> LoadReport:
        """Return the current load of the gate."""
        return self.gate.load(self.clock())

    async def wait_idle(self) -> None:
        """Wait until no dispatch is queued, reserved or running."""
        while not self.gate.idle:
            self._effects_applied.clear()
            await self._effects_applied.wait()

    def apply_effects(self, effects: Iterable[Effect]) -> None:
        """Execute effects, then start queued dispatches in the free slots."""
        self._execute(effects)
        self._execute(self.gate.assign_slots(self.clock()))
        self._effects_applied.set()
        self._load_changed.set()

    def _send_load(self) -> None:
        for outbox in self._outboxes.values():
            outbox.put(self.load())

    def _execute(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Reply):
                self._reply(effect)
            elif isinstance(effect, StartRun):
                self._spawn(self._run(effect))
            else:
                self._stop(effect)

    def _reply(self, reply: Reply) -> None:
        if isinstance(reply.item, DispatchRefusal):
            self._record(self._refusal_event(reply.item))
        outbox = self._outboxes.get(reply.entry)
        if outbox is not None:
            outbox.put(reply.item)

    def _stop(self, effect: StopRun) -> None:
        if not self._backend.can_stop:
            return
        self._stop_requested.add(effect.task_id)
        decision_log.log_stop_requested(effect.task_id, effect.cause)
        self._spawn(self._backend.stop(effect.task_id))

    async def _run(self, start: StartRun) -> None:
        try:
            connection = await self._backend.connect()
        except BackendServerDownError:
            self.apply_effects(self.gate.on_connect_failed(start))
            self._on_backend_down()
            return
        try:
            await self._run_on(connection, start)
        finally:
            self._backend.release(connection)

    async def _run_on(self, connection: object, start: StartRun) -> None:
        started_s = self.clock()
        decision = self.gate.confirm_start(start, started_s)
        if not decision.allowed:
            self.apply_effects(decision.effects)
            return
        dispatch = start.dispatch
        self._record_soon(self._event(EventKind.STARTED, dispatch))
        report = await self._backend.run(
            connection,
            start.task_id,
            dispatch.service,
            dispatch.payload,
            dispatch.run_budget_ms / MS_PER_S,
            decision.owner,
        )
        report = self._adjust_outcome(start.task_id, report)
        now_s = self.clock()
        event = self._event(EventKind.ENDED, dispatch, report.outcome)
        result = _make_result(start, report, now_s - started_s)
        self.apply_effects(self.gate.on_finished(start.task_id, result, now_s))
        self._record_soon(event)

    def _adjust_outcome(self, task_id: str, report: RunReport) -> RunReport:
        """Return the report, as ``STOPPED`` if the run failed after a stop request.

        A run that timed out is stopped, because it may still be active.
        """
        stop_requested = task_id in self._stop_requested
        self._stop_requested.discard(task_id)
        if report.outcome is TaskOutcome.TIMED_OUT:
            self._stop(StopRun(task_id))
            self._stop_requested.discard(task_id)
        if stop_requested and report.outcome is TaskOutcome.FAILED:
            return RunReport(TaskOutcome.STOPPED, error=report.error)
        return report

    async def _expire_periodically(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            self.apply_effects(self.gate.expire(self.clock()))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _record_soon(self, event: Event) -> None:
        """Record an event once the start request or the result is on its way.

        Formatting a log line takes longer than sending the request.
        """
        asyncio.get_running_loop().call_soon(self._record, event)

    def _event(self, kind: EventKind, dispatch: Dispatch, detail: str = "") -> Event:
        return Event(
            kind=kind,
            time_s=event_time_s(),
            process=self._agent_id,
            job_id=dispatch.job_id,
            task_index=dispatch.task_index,
            attempt=dispatch.attempt,
            detail=detail,
        )

    def _refusal_event(self, refusal: DispatchRefusal) -> Event:
        return Event(
            kind=EventKind.REFUSED,
            time_s=event_time_s(),
            process=self._agent_id,
            job_id=refusal.job_id,
            task_index=refusal.task_index,
            attempt=refusal.attempt,
            detail=refusal.reason,
        )


def _make_result(start: StartRun, report: RunReport, run_time_s: float) -> TaskResult:
    return TaskResult(
        job_id=start.dispatch.job_id,
        task_index=start.dispatch.task_index,
        dispatch_id=start.dispatch.dispatch_id,
        outcome=report.outcome,
        output=report.output,
        error=report.error,
        run_time_ms=run_time_s * MS_PER_S,
        wait_time_ms=start.waited_s * MS_PER_S,
        attempt=start.dispatch.attempt,
    )
