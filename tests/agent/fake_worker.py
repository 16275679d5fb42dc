from __future__ import annotations

import asyncio

from verbenaplank.agent.lease_protocol import BackendRestartedError
from verbenaplank.agent.lease_protocol import CallFailedError
from verbenaplank.agent.lease_protocol import EndKind
from verbenaplank.agent.lease_protocol import NotSentError
from verbenaplank.agent.lease_protocol import PollReply
from verbenaplank.agent.lease_protocol import PollRequest
from verbenaplank.agent.lease_protocol import RunEnd
from verbenaplank.agent.lease_protocol import RunId
from verbenaplank.agent.lease_protocol import RunProgress
from verbenaplank.agent.lease_protocol import StartReply
from verbenaplank.agent.lease_protocol import StartRequest
from verbenaplank.agent.lease_protocol import StartStatus


class FakeWorker:
    """A backend server under a lease, whose clock the test moves."""

    def __init__(self) -> None:
        self.clock_ms = 5_000
        self.fence = 0
        self.lease_until_ms = 0
        self.active: dict[RunId, int] = {}
        self.highest: dict[str, int] = {}
        self.ends: list[RunEnd] = []
        self.acknowledged = 0
        self.silent_starts: list[StartRequest] = []
        self.loses_starts = False
        self.mute = False
        self.refuses = False
        self.restarted = False
        self.status: StartStatus | None = None
        self.changed = asyncio.Event()
        self.held = asyncio.Event()

    async def start(self, request: StartRequest, timeout_s: float) -> StartReply:
        self._check()
        if self.loses_starts:
            self.silent_starts.append(request)
            raise CallFailedError("start")
        status = self.status or self.carry_out(request)
        return StartReply(status=status, clock_ms=self.clock_ms)

    def carry_out(self, request: StartRequest) -> StartStatus:
        """Take an order, whenever it comes."""
        if request.fence < self.fence:
            return StartStatus.FENCED
        if request.deadline_ms < self.clock_ms:
            return StartStatus.LATE
        if request.run.number <= self.highest.get(request.run.task, 0):
            return StartStatus.OUTDATED
        self.highest[request.run.task] = request.run.number
        self.active[request.run] = 0
        self.lease_until_ms = max(self.lease_until_ms, request.deadline_ms)
        self.changed.set()
        return StartStatus.STARTED

    async def stop(self, run: RunId, fence: int, timeout_s: float) -> None:
        self._check()
        self.highest[run.task] = max(run.number, self.highest.get(run.task, 0))
        self.end(run, EndKind.STOPPED)

    async def poll(self, request: PollRequest, timeout_s: float) -> PollReply:
        self._check()
        if request.fence < self.fence:
            return PollReply(clock_ms=self.clock_ms, fenced=True)
        self.fence = request.fence
        self.acknowledged = max(self.acknowledged, request.acknowledged)
        if request.deadline_ms is not None:
            self.lease_until_ms = max(self.lease_until_ms, request.deadline_ms)
        self.held.set()
        self.changed.clear()
        if request.wait_ms and not self._unacknowledged():
            try:
                async with asyncio.timeout(request.wait_ms / 1_000):
                    await self.changed.wait()
            except TimeoutError:
                pass
        self._check()
        return PollReply(
            clock_ms=self.clock_ms,
            active=tuple(
                RunProgress(run=run, percent=percent)
                for run, percent in self.active.items()
            ),
            ended=self._unacknowledged(),
        )

    def close(self) -> None:
        self.mute = True

    def end(self, run: RunId, kind: EndKind) -> None:
        if run in self.active:
            del self.active[run]
            self.ends.append(RunEnd(sequence=len(self.ends) + 1, run=run, kind=kind))
            self.changed.set()

    def _unacknowledged(self) -> tuple[RunEnd, ...]:
        return tuple(end for end in self.ends if end.sequence > self.acknowledged)

    def _check(self) -> None:
        if self.restarted:
            raise BackendRestartedError
        if self.refuses:
            raise NotSentError("refused")
        if self.mute:
            raise CallFailedError("silent")
