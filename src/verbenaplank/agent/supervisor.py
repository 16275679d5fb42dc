"""Runs one agent instance for each incarnation of the backend server beside it."""

from __future__ import annotations

import asyncio
import logging
from contextlib import AsyncExitStack
from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING

import attrs

from verbenaplank.agent import decision_log
from verbenaplank.agent.application import AgentInstance
from verbenaplank.agent.cold_countdown import ColdCountdown
from verbenaplank.agent.crash_feed import CrashFeed
from verbenaplank.agent.crash_watch import CrashWatch
from verbenaplank.agent.crash_watch import WatchedServer
from verbenaplank.agent.decision_log import log_event
from verbenaplank.agent.fencing import FencingTokens
from verbenaplank.agent.former_lives import FormerLives
from verbenaplank.agent.incarnations import Incarnations
from verbenaplank.agent.incarnations import ReportKind
from verbenaplank.agent.incarnations import is_same_incarnation
from verbenaplank.agent.lease_protocol import BackendRestartedError
from verbenaplank.agent.lease_protocol import CallFailedError
from verbenaplank.agent.leased_backend import LeasedBackend
from verbenaplank.agent.take_over import fence_off
from verbenaplank.agent.take_over import is_answering
from verbenaplank.clock.sources import monotonic_s
from verbenaplank.concurrency.unexpected_end import log_unexpected_end
from verbenaplank.rpc.address import parse_address
from verbenaplank.settings.agent import BackendServerSettings

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType
    from typing import Self

    from verbenaplank.agent.lease_protocol import LeasedBackendClient
    from verbenaplank.agent.report import BackendServerReport
    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.protocol.crash import CrashReport
    from verbenaplank.settings.agent import AgentSettings
    from verbenaplank.settings.common import ControlPeer

RETRY_S = 0.2

logger = logging.getLogger(__name__)


class AgentSupervisor:
    """Serves the backend server that reported last; an async context manager.

    Parameters
    ----------
    settings
        Settings of the agent; address, service and size of the backend server are
        taken from its reports instead.
    lease_s
        Longest lease that a backend server grants, in seconds.
    connect
        Returns a client for the incarnation of the backend server in a report.
    clock
        Monotonic clock of this process.
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
        self._incarnations = Incarnations()
        self._adopted: BackendServerReport | None = None
        self._state_changed = asyncio.Event()
        self._tokens = FencingTokens()
        self._former_lives = FormerLives(clock)
        self._crashes = CrashFeed(clock)
        self._cold = ColdCountdown(clock)
        self._agent: AgentInstance | None = None
        self._serve_task: asyncio.Task[None] | None = None
        self._stopping = False

    async def __aenter__(self) -> Self:
        self._serve_task = asyncio.create_task(self._serve_forever())
        self._serve_task.add_done_callback(log_unexpected_end)
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._serve_task is not None:
            self._serve_task.cancel()
            await asyncio.gather(self._serve_task, return_exceptions=True)

    def on_report(self, report: BackendServerReport) -> None:
        """Process a status report.

        A report is ignored if it is out of order or if its incarnation has ended.
        """
        kind = self._incarnations.add(report)
        if kind is ReportKind.IGNORED:
            return
        if kind is ReportKind.CHALLENGE:
            self._state_changed.set()
            return
        self._adopt(report)
        self._record_cold(report)
        if self._agent is not None and report.draining:
            self._agent.set_draining(on=True)
        if kind is not ReportKind.REPEATED:
            self._state_changed.set()

    def on_shutdown(self, server_id: str) -> None:
        """Stop serving a backend server that has announced its shutdown."""
        ending = self._incarnations.announce_end(server_id)
        if ending is not None:
            self._mark_ended(ending)

    def set_control_instances(self, control: tuple[ControlPeer, ...]) -> None:
        """Replace the control instances that the agent connects to."""
        self._settings = attrs.evolve(self._settings, control=control)
        if self._agent is not None:
            self._agent.set_control_instances(control)

    async def drain(self) -> None:
        """Refuse new dispatches, finish the running tasks, then leave the cluster."""
        self._stopping = True
        if self._agent is not None:
            await self._agent.drain()

    def _adopt(self, report: BackendServerReport) -> None:
        """Begin the cold time of an incarnation when it becomes the current one."""
        if is_same_incarnation(self._adopted, report):
            return
        self._adopted = report
        decision_log.log_new_incarnation(report)
        self._cold = ColdCountdown(self._clock)
        self._record_cold(report)

    def _record_cold(self, report: BackendServerReport) -> None:
        if not self._cold.record(report.cold_remaining_ms):
            return
        decision_log.log_cold(report)
        if self._agent is not None:
            self._agent.report_load()

    async def _serve_forever(self) -> None:
        while True:
            await self._state_changed.wait()
            self._state_changed.clear()
            report = self._incarnations.current
            if report is None or self._stopping:
                continue
            try:
                await self._serve(report)
            except (CallFailedError, OSError) as error:
                logger.warning(
                    "cannot serve backend server: %s",
                    error,
                    extra={"backend_server": report.server_id},
                )
                await asyncio.sleep(RETRY_S)
                self._incarnations.try_next()
                self._state_changed.set()
            except BackendRestartedError:
                self._mark_ended(report)
            except Exception:
                # Without this task, the agent would stay up and serve nothing.
                logger.exception(
                    "backend server cannot be served because of a fault",
                    extra={"backend_server": report.server_id},
                )
                self._forget(report)

    async def _serve(self, report: BackendServerReport) -> None:
        """Serve one incarnation of the backend server until it ends."""
        ended = asyncio.Event()
        self._adopt(report)
        server = self._watched_server(report)
        async with AsyncExitStack() as stack:
            backend = LeasedBackend(
                self._connect(report),
                self._lease_s,
                self._clock,
                ended.set,
                CrashWatch(server, self._clock, self._record_crash),
                self._tokens,
            )
            await stack.enter_async_context(backend)
            stack.callback(self._record_life_ended, report, backend)
            self._incarnations.record_served(report)
            stack.callback(self._incarnations.record_unserved)
            self._crashes.set_served(server)
            settings = _settings_from_report(self._settings, report)
            agent = AgentInstance(
                settings,
                self._clock,
                log_event,
                backend=backend,
                crashes=self._crashes,
                worker=report.size,
                cold=self._cold,
            )
            self._hold_back(agent, report, backend, stack)
            await stack.enter_async_context(agent)
            self._agent = agent
            stack.callback(self._clear_agent)
            logger.info(
                "serving backend server",
                extra={"backend_server": report.server_id, "life": report.incarnation},
            )
            await self._wait_until_ended(report, agent, ended)
            if backend.is_taken_over:
                self._forget(report)
            elif ended.is_set():
                self._mark_ended(report)
            backend.record_replaced(planned=self._incarnations.is_leaving(report))
            await self._end_runs(report, backend)
            if not self._stopping:
                await agent.leave()
        self._state_changed.set()

    async def _end_runs(
        self, report: BackendServerReport, backend: LeasedBackend
    ) -> None:
        """Report the runs of a life that has ended.

        One that the next life may begin is reported only once that life has been
        fenced off and runs nothing, so that its task is not started beside it.
        """
        backend.end_certain_runs()
        if backend.has_runs_in_doubt:
            decision_log.log_runs_in_doubt(report)
        while backend.has_runs_in_doubt:
            successors = self._incarnations.others_than(report)
            if any([await self._fence_off(other) for other in successors]):
                break
            self._state_changed.clear()
            with suppress(TimeoutError):
                await asyncio.wait_for(self._state_changed.wait(), RETRY_S)
        backend.end_all_runs()

    async def _fence_off(self, report: BackendServerReport) -> bool:
        """Return whether an incarnation answered and runs nothing any more."""
        try:
            client = self._connect(report)
            await fence_off(client, self._lease_s, self._tokens, self._clock)
        except (CallFailedError, BackendRestartedError, OSError, OverflowError):
            return False
        return True

    def _record_life_ended(
        self, report: BackendServerReport, backend: LeasedBackend
    ) -> None:
        lease = backend.lease
        self._former_lives.end_life(
            report.server_id, lease.answered_s, lease.unanswered
        )

    def _hold_back(
        self,
        agent: AgentInstance,
        report: BackendServerReport,
        backend: LeasedBackend,
        stack: AsyncExitStack,
    ) -> None:
        """Let the agent start nothing while a lease for a former life may last."""
        in_doubt_s = self._former_lives.lease_in_doubt_s(
            report.server_id, backend.lease.clock_ms
        )
        if in_doubt_s <= 0.0:
            return
        decision_log.log_lease_in_doubt(report, in_doubt_s)
        agent.set_lease_in_doubt(on=True)
        clear = partial(agent.set_lease_in_doubt, on=False)
        timer = asyncio.get_running_loop().call_later(in_doubt_s, clear)
        stack.callback(timer.cancel)

    async def _wait_until_ended(
        self, report: BackendServerReport, agent: AgentInstance, ended: asyncio.Event
    ) -> None:
        while not ended.is_set():
            await self._try_challenger()
            latest = self._incarnations.current
            if latest is None or not is_same_incarnation(latest, report):
                return
            agent.set_draining(on=latest.draining)
            agent.set_worker(latest.size)
            waiters = [
                asyncio.create_task(ended.wait()),
                asyncio.create_task(self._state_changed.wait()),
            ]
            try:
                await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for waiter in waiters:
                    waiter.cancel()
            self._state_changed.clear()

    async def _try_challenger(self) -> None:
        """Let the challenger replace the served incarnation if it answers."""
        challenger = self._incarnations.take_challenger()
        if challenger is None:
            return
        answers = await self._is_answering(challenger)
        decision_log.log_challenger(challenger, answers=answers)
        if answers:
            self._incarnations.replace_current(challenger)

    async def _is_answering(self, report: BackendServerReport) -> bool:
        try:
            return await is_answering(self._connect(report))
        except Exception:
            # Whatever is wrong with the report, the served incarnation stays in use.
            logger.exception(
                "backend server cannot be called because of a fault",
                extra={"backend_server": report.server_id},
            )
            return False

    def _watched_server(self, report: BackendServerReport) -> WatchedServer:
        return WatchedServer(
            agent_id=self._settings.instance_id,
            backend_server=report.server_id,
            incarnation=report.incarnation,
        )

    def _record_crash(self, report: CrashReport) -> None:
        decision_log.log_crash(report)
        self._crashes.add(report)

    def _clear_agent(self) -> None:
        self._agent = None

    def _mark_ended(self, report: BackendServerReport) -> None:
        self._incarnations.end(report)
        self._state_changed.set()
        logger.info(
            "backend server incarnation ended",
            extra={"backend_server": report.server_id, "life": report.incarnation},
        )

    def _forget(self, report: BackendServerReport) -> None:
        self._incarnations.forget(report)
        self._state_changed.set()


def _settings_from_report(
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
    )
