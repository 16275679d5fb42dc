from __future__ import annotations

import asyncio

from verbenaplank.agent.leased_calls import CallFailedError
from verbenaplank.agent.leased_calls import EndKind
from verbenaplank.agent.leased_calls import HoldOrder
from verbenaplank.agent.leased_calls import HoldReply
from verbenaplank.agent.leased_calls import NotSentError
from verbenaplank.agent.leased_calls import OtherLifeError
from verbenaplank.agent.leased_calls import RunEnd
from verbenaplank.agent.leased_calls import RunName
from verbenaplank.agent.leased_calls import RunProgress
from verbenaplank.agent.leased_calls import StartOrder
from verbenaplank.agent.leased_calls import StartReply
from verbenaplank.agent.leased_calls import StartVerdict


class FakeWorker:
    """A backend server under a lease, whose clock the test moves."""

    def __init__(self) -> None:
        self.clock_ms = 5_000
        self.fence = 0
        self.lease_until_ms = 0
        self.active: dict[RunName, int] = {}
        self.highest: dict[str, int] = {}
        self.ends: list[RunEnd] = []
        self.acknowledged = 0
        self.silent_starts: list[StartOrder] = []
        self.loses_starts = False
        self.mute = False
        self.refuses = False
        self.restarted = False
        self.verdict: StartVerdict | None = None
        self.changed = asyncio.Event()
        self.held = asyncio.Event()

    async def start(self, order: StartOrder, timeout_s: float) -> StartReply:
        self._check()
        if self.loses_starts:
            self.silent_starts.append(order)
            raise CallFailedError("start")
        verdict = self.verdict or self.carry_out(order)
        return StartReply(verdict=verdict, clock_ms=self.clock_ms)

    def carry_out(self, order: StartOrder) -> StartVerdict:
        """Take an order, whenever it comes."""
        if order.fence < self.fence:
            return StartVerdict.FENCED
        if order.deadline_ms < self.clock_ms:
            return StartVerdict.LATE
        if order.run.number <= self.highest.get(order.run.task, 0):
            return StartVerdict.OUTDATED
        self.highest[order.run.task] = order.run.number
        self.active[order.run] = 0
        self.lease_until_ms = max(self.lease_until_ms, order.deadline_ms)
        self.changed.set()
        return StartVerdict.STARTED

    async def stop(self, run: RunName, fence: int, timeout_s: float) -> None:
        self._check()
        self.highest[run.task] = max(run.number, self.highest.get(run.task, 0))
        self.end(run, EndKind.STOPPED)

    async def hold(self, order: HoldOrder, timeout_s: float) -> HoldReply:
        self._check()
        if order.fence < self.fence:
            return HoldReply(clock_ms=self.clock_ms, fenced=True)
        self.fence = order.fence
        self.acknowledged = max(self.acknowledged, order.acknowledged)
        if order.deadline_ms is not None:
            self.lease_until_ms = max(self.lease_until_ms, order.deadline_ms)
        self.held.set()
        self.changed.clear()
        if order.wait_ms and not self._unacknowledged():
            try:
                async with asyncio.timeout(order.wait_ms / 1_000):
                    await self.changed.wait()
            except TimeoutError:
                pass
        self._check()
        return HoldReply(
            clock_ms=self.clock_ms,
            active=tuple(
                RunProgress(run=run, percent=percent)
                for run, percent in self.active.items()
            ),
            ended=self._unacknowledged(),
        )

    def close(self) -> None:
        self.mute = True

    def end(self, run: RunName, kind: EndKind) -> None:
        if run in self.active:
            del self.active[run]
            self.ends.append(RunEnd(sequence=len(self.ends) + 1, run=run, kind=kind))
            self.changed.set()

    def _unacknowledged(self) -> tuple[RunEnd, ...]:
        return tuple(end for end in self.ends if end.sequence > self.acknowledged)

    def _check(self) -> None:
        if self.restarted:
            raise OtherLifeError
        if self.refuses:
            raise NotSentError("refused")
        if self.mute:
            raise CallFailedError("silent")
