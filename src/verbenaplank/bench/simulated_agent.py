"""Simulated agent with its backend server."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import attrs

from verbenaplank.bench.event_loop import EventLoop
from verbenaplank.bench.scenario import FAULT_AT_S
from verbenaplank.bench.scenario import SLOTS_PER_SERVER
from verbenaplank.bench.scenario import SLOWNESS
from verbenaplank.bench.scenario import Scenario
from verbenaplank.placement.task import TaskRequest
from verbenaplank.protocol.work import LoadReport
from verbenaplank.protocol.work import TaskOutcome

FAILING_RUN_TIME_S = 0.002
STALLED_RUN_TIME_S = 60.0
SLOWED_FACTOR = 4.0
MAX_QUEUED = 64


@attrs.frozen(kw_only=True)
class SimulatedDispatch:
    """Dispatch that is sent to a simulated agent.

    Attributes
    ----------
    reply
        Called with the outcome, which is ``None`` for a refused dispatch, the
        run time in seconds and the load report of the agent.
    """

    task: TaskRequest
    run_time_s: float
    reply: Callable[[TaskOutcome | None, float, LoadReport], None]


@attrs.define(eq=False)
class SimulatedAgent:
    """Agent that runs tasks in its slots, urgent ones first.

    It refuses dispatches while all slots are in use and its queue is full.
    """

    index: int
    scenario: Scenario
    loop: EventLoop
    running: int = 0
    urgent: deque[SimulatedDispatch] = attrs.field(factory=deque)
    routine: deque[SimulatedDispatch] = attrs.field(factory=deque)

    @property
    def agent_id(self) -> str:
        """Return the agent's identifier."""
        return f"agent-{self.index}"

    def report(self) -> LoadReport:
        """Return the load report that is sent along with replies."""
        queued = len(self.urgent) + len(self.routine)
        return LoadReport(running=self.running, queued=queued)

    def receive(self, dispatch: SimulatedDispatch) -> None:
        """Queue a dispatch and start it if a slot is free, or refuse it."""
        slots_full = self.running >= SLOTS_PER_SERVER
        if slots_full and self.report().queued >= MAX_QUEUED:
            dispatch.reply(None, 0.0, self.report())
            return
        queue = self.urgent if dispatch.task.urgent else self.routine
        queue.append(dispatch)
        self._start_queued()

    def revoke(self, task: TaskRequest) -> bool:
        """Remove a queued task and return whether it was still queued."""
        for queue in (self.urgent, self.routine):
            for dispatch in queue:
                if dispatch.task is task:
                    queue.remove(dispatch)
                    return True
        return False

    def _start_queued(self) -> None:
        while self.running < SLOTS_PER_SERVER and (self.urgent or self.routine):
            queue = self.urgent or self.routine
            self._start(queue.popleft())

    def _start(self, dispatch: SimulatedDispatch) -> None:
        self.running += 1
        outcome, run_s = self._outcome_and_run_time(dispatch.run_time_s)

        def finish() -> None:
            self.running -= 1
            self._start_queued()
            dispatch.reply(outcome, run_s, self.report())

        self.loop.call_later(run_s, finish)

    def _outcome_and_run_time(self, run_time_s: float) -> tuple[TaskOutcome, float]:
        run_s = run_time_s * SLOWNESS[self.index]
        if self.loop.now_s < FAULT_AT_S:
            return TaskOutcome.SUCCEEDED, run_s
        if self.index in self.scenario.failing:
            return TaskOutcome.FAILED, FAILING_RUN_TIME_S
        if self.index in self.scenario.stalled:
            return TaskOutcome.TIMED_OUT, STALLED_RUN_TIME_S
        slowed = self.index in self.scenario.slowed
        return TaskOutcome.SUCCEEDED, run_s * (SLOWED_FACTOR if slowed else 1.0)
