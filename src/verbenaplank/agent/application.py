"""The agent as a whole, owned by one context manager."""

from __future__ import annotations

import asyncio
import uuid
from contextlib import AsyncExitStack
from contextlib import suppress
from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

from verbenaplank.agent.backend import Backend
from verbenaplank.agent.backend import BackendClient
from verbenaplank.agent.gate import Gate
from verbenaplank.agent.gate import GateLimits
from verbenaplank.agent.health_check import BackendHealthCheck
from verbenaplank.agent.runner import TaskRunner
from verbenaplank.agent.work_service import WorkStreams
from verbenaplank.clock.sources import monotonic_s
from verbenaplank.history.event import Event
from verbenaplank.history.event import EventHook
from verbenaplank.history.event import EventKind
from verbenaplank.history.event import event_time_s
from verbenaplank.history.event import ignore_event
from verbenaplank.membership.client import MembershipClient
from verbenaplank.membership.client_state import MembershipEventKind
from verbenaplank.placement.task import Resources
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MemberRole
from verbenaplank.protocol.membership import WorkerSize
from verbenaplank.rpc.endpoint import serve

if TYPE_CHECKING:
    from collections.abc import Sequence
    from types import TracebackType
    from typing import Self

    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.membership.client_state import MembershipEvent
    from verbenaplank.rpc.address import Address
    from verbenaplank.settings.agent import AgentSettings
    from verbenaplank.settings.common import ControlPeer

DELIVERY_TIMEOUT_S = 2.0
"""How long a drain waits for the entries to take the last replies."""


class DrainReason(StrEnum):
    """Why the agent refuses every dispatch."""

    STOPPING = "stopping"
    ORDERED = "ordered"
    BACKEND_SERVER_LEAVING = "backend_server_leaving"
    BACKEND_SERVER_DOWN = "backend_server_down"


class AgentInstance:
    """Runs the tasks of one backend server; an async context manager.

    Parameters
    ----------
    record
        Receives an event for each start, end, refusal and for leaving.
    incarnation
        Must differ between two lives of the same agent.
    backend
        Runs the tasks and lasts longer than the agent; the worker's size then
        limits what runs.  By default, a client of the settings' address.
    """

    def __init__(
        self,
        settings: AgentSettings,
        clock: MonotonicClock = monotonic_s,
        record: EventHook = ignore_event,
        incarnation: str = "",
        backend: Backend | None = None,
    ) -> None:
        self._settings = settings
        self._record = record
        incarnation = incarnation or uuid.uuid4().hex
        self._gate = Gate(
            incarnation,
            frozenset(settings.backend_server.services),
            _gate_limits(settings, sized=backend is not None),
        )
        self._owned_backend = BackendClient(settings.backend_server)
        self._backend = backend or self._owned_backend
        self._watch = BackendHealthCheck(self._backend, self._on_backend_change)
        self._runner = TaskRunner(
            settings.instance_id,
            self._gate,
            self._backend,
            clock,
            record,
            self._watch.report_down,
        )
        slots = _slots(settings)
        self._streams = WorkStreams(
            self._runner,
            settings.instance_id,
            incarnation,
            slots,
            reports=backend is not None,
        )
        self._member = _member(settings, incarnation)
        self._reports = backend is not None
        self._clock = clock
        self._drain_reasons: set[DrainReason] = set()
        self._link: MembershipClient | None = None
        self._resources = AsyncExitStack()
        self.rpc_address = settings.rpc.address

    async def __aenter__(self) -> Self:
        """Serve, and announce the backend server.

        Raises
        ------
        OSError
            If the address cannot be listened on.
        """
        async with AsyncExitStack() as resources:
            await resources.enter_async_context(self._owned_backend)
            await resources.enter_async_context(self._runner)
            self._note(EventKind.JOINED)
            await resources.enter_async_context(self._watch)
            self.rpc_address = await self._listen(resources)
            self._member = attrs.evolve(self._member, address=str(self.rpc_address))
            link = MembershipClient(
                self._member,
                self._settings.control,
                self._settings.tls,
                self._clock,
                self._on_link_event,
            )
            self._link = await resources.enter_async_context(link)
            if self._reports:
                telling = asyncio.create_task(self._streams.report_changes())
                resources.callback(telling.cancel)
            self._resources = resources.pop_all()
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._resources.aclose()

    @property
    def ready(self) -> bool:
        """Whether the agent is announced and accepts dispatches."""
        announced = self._link is not None and self._link.ready
        return announced and not self._gate.draining

    async def wait_ready(self) -> None:
        """Wait until a control instance has taken the agent in."""
        if self._link is not None:
            await self._link.wait_ready()

    def set_draining(self, *, on: bool) -> None:
        """Refuse dispatches while the backend server is about to leave."""
        self._set_drain(DrainReason.BACKEND_SERVER_LEAVING, on=on)

    async def drain(self) -> None:
        """Refuse new dispatches at once, finish what runs, then leave."""
        self._set_drain(DrainReason.STOPPING, on=True)
        with suppress(TimeoutError):
            async with asyncio.timeout(self._settings.limits.drain_timeout_s):
                await self._runner.wait_idle()
        with suppress(TimeoutError):
            async with asyncio.timeout(DELIVERY_TIMEOUT_S):
                await self._streams.wait_delivered()
        if self._link is not None:
            await self._link.leave()

    def use_control(self, control: Sequence[ControlPeer]) -> None:
        """Look for other control instances from now on."""
        if self._link is not None:
            self._link.set_control_instances(control)

    async def leave(self) -> None:
        """Leave at once, as the backend server is gone."""
        if self._link is not None:
            await self._link.leave()

    async def _listen(self, resources: AsyncExitStack) -> Address:
        listening = serve(
            [self._streams.service()],
            self._settings.rpc.address,
            self._settings.tls,
        )
        return await resources.enter_async_context(listening)

    def _on_link_event(self, event: MembershipEvent) -> None:
        if event.kind is MembershipEventKind.DRAIN:
            self._set_drain(DrainReason.ORDERED, on=event.drain_ordered)

    def _on_backend_change(self, reachable: bool) -> None:
        self._set_drain(DrainReason.BACKEND_SERVER_DOWN, on=not reachable)

    def _set_drain(self, reason: DrainReason, *, on: bool) -> None:
        """Refuse dispatches for as long as there is any reason to."""
        if on:
            self._drain_reasons.add(reason)
        else:
            self._drain_reasons.discard(reason)
        if bool(self._drain_reasons) == self._gate.draining:
            return
        if self._drain_reasons:
            self._runner.drain()
            self._note(EventKind.LEFT)
        else:
            self._runner.resume()
            self._note(EventKind.JOINED)
        self._announce(draining=self._gate.draining)

    def _note(self, kind: EventKind) -> None:
        name = self._settings.instance_id
        self._record(Event(kind=kind, time_s=event_time_s(), process=name))

    def _announce(self, *, draining: bool) -> None:
        self._member = attrs.evolve(self._member, draining=draining)
        if self._link is not None:
            self._link.update(self._member)


def _slots(settings: AgentSettings) -> int:
    return min(settings.backend_server.slots, settings.backend_server.connections)


def _gate_limits(settings: AgentSettings, *, sized: bool) -> GateLimits:
    worker = settings.worker
    size = Resources(
        cores=worker.cores,
        memory_mb=worker.memory_mb,
        accelerators=worker.accelerators,
    )
    return GateLimits(
        slots=_slots(settings),
        max_queued_tasks=settings.limits.max_queued_tasks,
        retention_s=settings.limits.retention_s,
        size=size if sized else None,
    )


def _member(settings: AgentSettings, incarnation: str) -> Member:
    return Member(
        member_id=settings.instance_id,
        role=MemberRole.AGENT,
        incarnation=incarnation,
        data_centre=settings.data_centre,
        address=str(settings.rpc.address),
        rack=settings.rack,
        services=settings.backend_server.services,
        slots=_slots(settings),
        connections=settings.backend_server.connections,
        worker=WorkerSize(
            cores=settings.worker.cores,
            memory_mb=settings.worker.memory_mb,
            accelerators=settings.worker.accelerators,
        ),
    )
