from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

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

if TYPE_CHECKING:
    from collections.abc import Callable


class FakeBackendServer:
    """Backend server with a lease, whose clock and faults the test controls."""

    def __init__(self) -> None:
        self.started_ms = 0
        self.clock_ms = 5_000
        self.fence = 0
        self.lease_until_ms = 0
        self.active: dict[RunId, int] = {}
        self.highest_numbers: dict[str, int] = {}
        self.ends: list[RunEnd] = []
        self.acknowledged = 0
        self.lost_starts: list[StartRequest] = []
        self.loses_starts = False
        self.starts_to_lose = 0
        self.loses_replies = False
        self.polls_to_lose = 0
        self.silent = False
        self.refuses_connections = False
        self.restarted = False
        self.status: StartStatus | None = None
        self.state_changed = asyncio.Event()
        self.polled = asyncio.Event()

    async def start(self, request: StartRequest, timeout_s: float) -> StartReply:
        self._check()
        if self.loses_starts or self.starts_to_lose:
            self.starts_to_lose = max(0, self.starts_to_lose - 1)
            self.lost_starts.append(request)
            if self.loses_replies:
                self.execute_start(request)
            raise CallFailedError("start")
        status = self.status or self.execute_start(request)
        return StartReply(status=status, clock_ms=self.clock_ms)

    def execute_start(self, request: StartRequest) -> StartStatus:
        """Execute a start request, which may arrive late."""
        if request.fence < self.fence:
            return StartStatus.FENCED
        if request.deadline_ms < self.clock_ms:
            return StartStatus.LATE
        if request.run in self.active:
            return StartStatus.STARTED
        if request.run.number <= self.highest_numbers.get(request.run.task, 0):
            return StartStatus.OUTDATED
        self.highest_numbers[request.run.task] = request.run.number
        self.active[request.run] = 0
        self.lease_until_ms = max(self.lease_until_ms, request.deadline_ms)
        self.state_changed.set()
        return StartStatus.STARTED

    async def stop(self, run: RunId, fence: int, timeout_s: float) -> None:
        self._check()
        self.highest_numbers[run.task] = max(
            run.number, self.highest_numbers.get(run.task, 0)
        )
        self.end(run, EndKind.STOPPED)

    async def poll(self, request: PollRequest, timeout_s: float) -> PollReply:
        self._check()
        if self.polls_to_lose:
            self.polls_to_lose -= 1
            await asyncio.sleep(timeout_s)
            raise CallFailedError("poll")
        if request.fence < self.fence:
            return PollReply(
                clock_ms=self.clock_ms, started_ms=self.started_ms, fenced=True
            )
        self.fence = request.fence
        self.acknowledged = max(self.acknowledged, request.acknowledged)
        if request.deadline_ms is not None:
            self.lease_until_ms = max(self.lease_until_ms, request.deadline_ms)
        self.polled.set()
        self.state_changed.clear()
        if request.wait_ms and not self._unacknowledged():
            try:
                async with asyncio.timeout(request.wait_ms / 1_000):
                    await self.state_changed.wait()
            except TimeoutError:
                pass
        self._check()
        return PollReply(
            clock_ms=self.clock_ms,
            started_ms=self.started_ms,
            active=tuple(
                RunProgress(run=run, percent=percent)
                for run, percent in self.active.items()
            ),
            ended=self._unacknowledged(),
        )

    def close(self) -> None:
        self.silent = True

    def end(self, run: RunId, kind: EndKind) -> None:
        if run in self.active:
            del self.active[run]
            self.ends.append(RunEnd(sequence=len(self.ends) + 1, run=run, kind=kind))
            self.state_changed.set()

    def _unacknowledged(self) -> tuple[RunEnd, ...]:
        return tuple(end for end in self.ends if end.sequence > self.acknowledged)

    def _check(self) -> None:
        if self.restarted:
            raise BackendRestartedError
        if self.refuses_connections:
            raise NotSentError("refused")
        if self.silent:
            raise CallFailedError("silent")


async def wait_until(server: FakeBackendServer, condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(10):
        while not condition():
            server.polled.clear()
            await server.polled.wait()
