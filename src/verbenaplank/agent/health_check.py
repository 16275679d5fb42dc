"""Tracks whether the backend server accepts connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from verbenaplank.agent.backend import BackendServerDownError
from verbenaplank.concurrency.cancellation import cancel_and_wait
from verbenaplank.concurrency.restarting import create_restarting_task

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType
    from typing import Self

    from verbenaplank.agent.backend import Backend

PROBE_PERIOD_S = 0.5


class BackendHealthCheck:
    """Probes a backend server that is down until it is up; an async context manager.

    A backend server that is up is not probed, because each run opens or reuses a
    connection and a failure is reported by :meth:`report_down`.

    Parameters
    ----------
    on_change
        Called with whether the backend server is up, each time that this changes.
    """

    def __init__(self, backend: Backend, on_change: Callable[[bool], None]) -> None:
        self._backend = backend
        self._on_change = on_change
        self._down = asyncio.Event()
        self._probe_task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Probe once, so that the initial state is known, and start probing."""
        if not await self._can_connect():
            self.report_down()
        self._probe_task = create_restarting_task(self._probe_forever)
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._probe_task is not None:
            await cancel_and_wait(self._probe_task)

    def report_down(self) -> None:
        """Record that a connection could not be opened."""
        if not self._down.is_set():
            self._down.set()
            self._on_change(False)

    async def _probe_forever(self) -> None:
        while True:
            await self._down.wait()
            await asyncio.sleep(PROBE_PERIOD_S)
            if await self._can_connect():
                self._down.clear()
                self._on_change(True)

    async def _can_connect(self) -> bool:
        try:
            connection = await self._backend.connect()
        except BackendServerDownError:
            return False
        self._backend.release(connection)
        return True
