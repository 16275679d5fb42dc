"""Runs the engine in the event loop and applies its effects."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from verbenaplank.entry.effects import JobCompleted
from verbenaplank.entry.effects import SendToAgent
from verbenaplank.entry.response import failure_response
from verbenaplank.entry.response import job_response
from verbenaplank.entry.response import single_request_response
from verbenaplank.overload.loop_lag import LoopLag

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.entry.effects import Effect
    from verbenaplank.entry.effects import JobOutcome
    from verbenaplank.entry.effects import ToAgentItem
    from verbenaplank.entry.engine import Engine
    from verbenaplank.entry.response import HttpResponse
    from verbenaplank.entry.submission import Submission

TICK_PERIOD_S = 0.05


class EngineRunner:
    """Runs an engine in the event loop.

    All events of one event loop iteration are followed by a single flush, so that
    their effects are applied together.

    Attributes
    ----------
    loop_lag
        How far the event loop is behind, measured at each tick.
    """

    def __init__(self, engine: Engine, clock: MonotonicClock) -> None:
        self.engine = engine
        self._clock = clock
        self._send: Callable[[str, ToAgentItem], None] = _drop
        self._outcome_futures: dict[str, asyncio.Future[JobOutcome]] = {}
        self._flush_due = False
        self._wake_scheduled = False
        self.loop_lag = LoopLag()

    def set_sender(self, send: Callable[[str, ToAgentItem], None]) -> None:
        """Set the function that sends an item to an agent, given the agent's id."""
        self._send = send

    async def run(self, submission: Submission) -> HttpResponse:
        """Run a request and return its response."""
        outcome = await self.start(submission)
        if isinstance(outcome, JobCompleted):
            return _completed_response(submission, outcome)
        return failure_response(outcome.failure, outcome.job_id)

    def start(self, submission: Submission) -> asyncio.Future[JobOutcome]:
        """Start a request and return the future of its outcome."""
        future: asyncio.Future[JobOutcome] = asyncio.get_running_loop().create_future()
        self._outcome_futures[submission.job_id] = future
        self.engine.submit(submission, self._clock())
        self.flush_soon()
        return future

    def cancel(self, job_id: str) -> bool:
        """Cancel a request and return whether it was in progress."""
        cancelled = self.engine.cancel(job_id, self._clock())
        self.flush_soon()
        return cancelled

    def stop(self) -> None:
        """Fail every request that is still in progress."""
        self.engine.stop(self._clock())
        self.flush_soon()

    def flush_soon(self) -> None:
        """Schedule a flush after the events of this event loop iteration."""
        if not self._flush_due:
            self._flush_due = True
            asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Apply all effects of the engine now."""
        self._flush_due = False
        for effect in self.engine.flush(self._clock()):
            self._apply(effect)
        self._wake_for_holds()

    async def tick_forever(self) -> None:
        """Tick and flush the engine periodically until cancelled."""
        while True:
            due_s = self._clock() + TICK_PERIOD_S
            await asyncio.sleep(TICK_PERIOD_S)
            self.loop_lag.record(self._clock() - due_s)
            self.engine.tick(self._clock())
            self.flush()

    def _wake_for_holds(self) -> None:
        """Schedule a flush for held tasks that are due before the next tick.

        At most one is scheduled; a hold that ends before it waits for it.
        """
        left_s = self.engine.next_hold_due_s() - self._clock()
        if left_s < TICK_PERIOD_S and not self._wake_scheduled:
            self._wake_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(max(0.0, left_s), self._wake)

    def _wake(self) -> None:
        self._wake_scheduled = False
        self.flush_soon()

    def _apply(self, effect: Effect) -> None:
        if isinstance(effect, SendToAgent):
            self._send(effect.agent_id, effect.item)
            return
        future = self._outcome_futures.pop(effect.job_id)
        if not future.done():
            future.set_result(effect)


def _completed_response(submission: Submission, effect: JobCompleted) -> HttpResponse:
    if submission.single:
        return single_request_response(effect.job_id, effect.results[0])
    return job_response(effect.job_id, effect.results)


def _drop(agent_id: str, item: ToAgentItem) -> None:
    """Drop an item; used until a sender is set, while no stream can be open."""
