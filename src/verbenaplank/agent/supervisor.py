"""Keeps one agent instance for each life of the backend server beside it."""

from __future__ import annotations

import asyncio
import logging
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import attrs

from verbenaplank.agent.application import AgentInstance
from verbenaplank.agent.decision_log import log_event
from verbenaplank.agent.lease_protocol import BackendRestartedError
from verbenaplank.agent.lease_protocol import CallFailedError
from verbenaplank.agent.leased_backend import LeasedBackend
from verbenaplank.clock.sources import monotonic_s
from verbenaplank.rpc.address import parse_address
from verbenaplank.settings.agent import BackendServerSettings
from verbenaplank.settings.agent import WorkerSettings

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType
    from typing import Self

    from verbenaplank.agent.lease_protocol import LeasedBackendClient
    from verbenaplank.agent.report import BackendServerReport
    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.settings.agent import AgentSettings
    from verbenaplank.settings.common import ControlPeer

RETRY_S = 0.2

logger = logging.getLogger(__name__)


class AgentSupervisor:
    """Serves whichever backend server reports; an async context manager.

    Parameters
    ----------
    settings
        Of the agent; what they say of the backend server is replaced by its
        reports.
    lease_s
        The longest lease that a backend server grants.
    connect
        Opens the calls to the life of a backend server that a report names.
    """

    def __init__(
        self,
        settings: AgentSettings,
        lease_s: float,
        connect: Callable[[BackendServerReport], LeasedBackendClient],
        clock: MonotonicClock = monotonic_s,
    ) -> None:
        self._settings = settings
        self._lease_s = lease_s
        self._connect = connect
        self._clock = clock
        self._newest: BackendServerReport | None = None
        self._changed = asyncio.Event()
        self._gone_lives: set[tuple[str, str]] = set()
        self._agent: AgentInstance | None = None
        self._serving: asyncio.Task[None] | None = None
        self._stopping = False

    async def __aenter__(self) -> Self:
        self._serving = asyncio.create_task(self._serve_forever())
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._serving is not None:
            self._serving.cancel()
            await asyncio.gather(self._serving, return_exceptions=True)

    def on_report(self, report: BackendServerReport) -> None:
        """Take in a status report; one that came late changes nothing."""
        known = self._newest
        if _life(report) in self._gone_lives:
            return
        is_late = known is not None and report.sequence <= known.sequence
        if is_late and _same(known, report):
            return
        self._newest = report
        if self._agent is not None and report.draining and _same(known, report):
            self._agent.set_draining(on=True)
        self._changed.set()

    def on_shutdown(self, server_id: str) -> None:
        """Take in that a backend server ends."""
        if self._newest is not None and self._newest.server_id == server_id:
            self._gone(self._newest)

    def use_control(self, control: tuple[ControlPeer, ...]) -> None:
        """Look for other control instances from now on."""
        self._settings = attrs.evolve(self._settings, control=control)
        if self._agent is not None:
            self._agent.use_control(control)

    async def drain(self) -> None:
        """Refuse new dispatches, finish what runs, then leave."""
        self._stopping = True
        if self._agent is not None:
            await self._agent.drain()

    async def _serve_forever(self) -> None:
        while True:
            await self._changed.wait()
            self._changed.clear()
            report = self._newest
            if report is None or self._stopping:
                continue
            try:
                await self._serve(report)
            except (CallFailedError, OSError) as error:
                logger.warning(
                    "backend server not taken over: %s",
                    error,
                    extra={"backend_server": report.server_id},
                )
                await asyncio.sleep(RETRY_S)
                self._changed.set()
            except BackendRestartedError:
                self._gone(report)

    async def _serve(self, report: BackendServerReport) -> None:
        """Serve one life of the backend server until it is over."""
        over = asyncio.Event()
        async with AsyncExitStack() as stack:
            backend = LeasedBackend(
                self._connect(report), self._lease_s, self._clock, over.set
            )
            await stack.enter_async_context(backend)
            settings = _settings_for(self._settings, report)
            agent = AgentInstance(settings, self._clock, log_event, backend=backend)
            await stack.enter_async_context(agent)
            self._agent = agent
            stack.callback(self._forget_agent)
            logger.info(
                "serving a backend server",
                extra={"backend_server": report.server_id, "life": report.incarnation},
            )
            await self._wait_until_over(report, agent, over)
            if not self._stopping:
                await agent.leave()
        self._changed.set()

    async def _wait_until_over(
        self, report: BackendServerReport, agent: AgentInstance, over: asyncio.Event
    ) -> None:
        while not over.is_set():
            newest = self._newest
            if newest is None or not _same(newest, report):
                return
            agent.set_draining(on=newest.draining)
            waits = [
                asyncio.create_task(over.wait()),
                asyncio.create_task(self._changed.wait()),
            ]
            try:
                await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for wait in waits:
                    wait.cancel()
            self._changed.clear()
        self._gone(report)

    def _forget_agent(self) -> None:
        self._agent = None

    def _gone(self, report: BackendServerReport) -> None:
        self._gone_lives.add(_life(report))
        if self._newest is not None and _same(self._newest, report):
            self._newest = None
        self._changed.set()
        logger.info(
            "a backend server is gone",
            extra={"backend_server": report.server_id, "life": report.incarnation},
        )


def _life(report: BackendServerReport) -> tuple[str, str]:
    return report.server_id, report.incarnation


def _same(one: BackendServerReport | None, other: BackendServerReport) -> bool:
    return one is not None and _life(one) == _life(other)


def _settings_for(
    settings: AgentSettings, report: BackendServerReport
) -> AgentSettings:
    address = parse_address(report.address)
    return attrs.evolve(
        settings,
        rack=report.labels[-1] if report.labels else "",
        backend_server=BackendServerSettings(
            host=address.host,
            port=address.port,
            services=(report.service,),
            slots=settings.backend_server.slots,
            connections=settings.backend_server.connections,
        ),
        worker=WorkerSettings(
            cores=report.size.cores,
            memory_mb=report.size.memory_mb,
            accelerators=report.size.accelerators,
        ),
    )
