from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from verbenaplank.agent.lease_protocol import BackendRestartedError
from verbenaplank.agent.lease_protocol import CallFailedError
from verbenaplank.agent.lease_protocol import EndKind
from verbenaplank.agent.lease_protocol import NotSentError
from verbenaplank.agent.lease_protocol import PollReply
from verbenaplank.agent.lease_protocol import PollRequest
from verbenaplank.agent.lease_protocol import RestartFoundError
from verbenaplank.agent.lease_protocol import RunEnd
from verbenaplank.agent.lease_protocol import RunId
from verbenaplank.agent.lease_protocol import RunProgress
from verbenaplank.agent.lease_protocol import StartReply
from verbenaplank.agent.lease_protocol import StartRequest
from verbenaplank.agent.lease_protocol import StartStatus
from verbenaplank.agent.lease_protocol import UnreachableError
from verbenaplank.clock.sources import monotonic_s

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
        self.connections_to_delay = 0
        self.restarted = False
        self.restart_found = False
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
        if self.restart_found:
            raise RestartFoundError
        if self.restarted:
            raise BackendRestartedError
        if self.refuses_connections:
            raise NotSentError("refused")
        if self.connections_to_delay:
            self.connections_to_delay -= 1
            raise UnreachableError("delayed")
        if self.silent:
            raise CallFailedError("silent")


async def wait_until(server: FakeBackendServer, condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(10):
        while not condition():
            server.polled.clear()
            await server.polled.wait()


class LeasingBackendServer(FakeBackendServer):
    """Backend server whose clock runs and whose lease expires, as it does by contract.

    Attributes
    ----------
    loses_stops
        Whether requests to stop a run get no answer and are not carried out.
    lease_granted_ms
        Each new end of the lease, with the reading of the clock when it was granted.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loses_stops = False
        self.lease_granted_ms: list[tuple[int, int]] = []
        self._began_s = monotonic_s()

    @property
    def clock_ms(self) -> int:  # type: ignore[override]
        return 5_000 + round((monotonic_s() - self._began_s) * 1_000)

    @clock_ms.setter
    def clock_ms(self, value: int) -> None:
        """Ignore the value: this clock runs by itself."""

    def execute_start(self, request: StartRequest) -> StartStatus:
        self._expire_lease()
        before_ms = self.lease_until_ms
        status = super().execute_start(request)
        self._note_grant(before_ms)
        return status

    async def stop(self, run: RunId, fence: int, timeout_s: float) -> None:
        self._expire_lease()
        if self.loses_stops:
            await asyncio.sleep(timeout_s)
            raise CallFailedError("stop")
        await super().stop(run, fence, timeout_s)

    async def poll(self, request: PollRequest, timeout_s: float) -> PollReply:
        self._expire_lease()
        for run, percent in self.active.items():
            self.active[run] = min(99, percent + 1)
        before_ms = self.lease_until_ms
        polling = asyncio.create_task(super().poll(request, timeout_s))
        await asyncio.sleep(0)
        self._note_grant(before_ms)
        reply = await polling
        if not self._expire_lease():
            return reply
        return await super().poll(request, timeout_s)

    def _note_grant(self, before_ms: int) -> None:
        if self.lease_until_ms > before_ms:
            self.lease_granted_ms.append((self.clock_ms, self.lease_until_ms))

    def _expire_lease(self) -> bool:
        """End all runs if the lease has expired; return whether any ended."""
        if self.clock_ms <= self.lease_until_ms:
            return False
        expired = list(self.active)
        for run in expired:
            self.end(run, EndKind.LEASE_EXPIRED)
        return bool(expired)
