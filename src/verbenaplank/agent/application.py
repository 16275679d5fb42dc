"""Assembles the parts of an agent into one context manager."""

from __future__ import annotations

import asyncio
import uuid
from contextlib import AsyncExitStack
from contextlib import suppress
from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

from verbenaplank.agent import decision_log
from verbenaplank.agent.backend import Backend
from verbenaplank.agent.backend import BackendClient
from verbenaplank.agent.crash_feed import CrashFeed
from verbenaplank.agent.gate import Gate
from verbenaplank.agent.gate_limits import GateLimits
from verbenaplank.agent.health_check import BackendHealthCheck
from verbenaplank.agent.runner import TaskRunner
from verbenaplank.agent.work_service import WorkStreams
from verbenaplank.clock.sources import monotonic_s
from verbenaplank.concurrency.restarting import create_restarting_task
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

    from verbenaplank.agent.cold_countdown import ColdCountdown
    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.membership.client_state import MembershipEvent
    from verbenaplank.protocol.membership import EvacuationList
    from verbenaplank.rpc.address import Address
    from verbenaplank.settings.agent import AgentSettings
    from verbenaplank.settings.common import ControlPeer

DELIVERY_TIMEOUT_S = 2.0
"""How long a drain waits until the last replies are delivered to the entries."""


class DrainReason(StrEnum):
    """Why the agent drains, that is, refuses every dispatch that has not started.

    ``NOT_JOINED`` lasts until the first state from a control instance, which tells
    whether the data centre is evacuated.  ``STOPPING`` is the shutdown of the agent,
    ``ORDERED`` a drain that an operator ordered, and ``EVACUATED`` the evacuation of
    the agent's data centre.  ``LEASE_IN_DOUBT`` lasts while the backend server may hold
    a lease that was meant for its former life, so that runs might not end in time.
    """

    NOT_JOINED = "not_joined"
    STOPPING = "stopping"
    ORDERED = "ordered"
    BACKEND_SERVER_LEAVING = "backend_server_leaving"
    BACKEND_SERVER_DOWN = "backend_server_down"
    EVACUATED = "evacuated"
    LEASE_IN_DOUBT = "lease_in_doubt"


UNANNOUNCED_REASONS = frozenset({DrainReason.NOT_JOINED, DrainReason.EVACUATED})
"""Reasons for which the agent does not announce itself as draining.

An evacuation belongs to the data centre, and every member knows the list."""


class AgentInstance:
    """Runs tasks on one backend server; an async context manager.

    Parameters
    ----------
    clock
        Monotonic clock of this process.
    record
        Receives an event for each start, end and refusal, and whenever the agent
        starts or stops accepting dispatches.
    incarnation
        Must differ between two instances with the same id; random by default.
    backend
        Backend that runs the tasks; the caller opens and closes it.  The running
        tasks are then limited by the resources of the worker as well as by the slots.
        By default, a client for the address in the settings.
    crashes
        Crash reports to exchange with the entries; by default, none are known.
    worker
        Resources of the worker; by default as in the settings.
    cold
        How much longer the backend server stays slow; by default, it is not slow.
    """

    def __init__(
        self,
        settings: AgentSettings,
        clock: MonotonicClock = monotonic_s,
        record: EventHook = ignore_event,
        incarnation: str = "",
        backend: Backend | None = None,
        crashes: CrashFeed | None = None,
        worker: Resources | None = None,
        cold: ColdCountdown | None = None,
    ) -> None:
        self._settings = settings
        self._record = record
        incarnation = incarnation or uuid.uuid4().hex
        self._worker = worker or _worker_in_settings(settings)
        self._gate = Gate(
            incarnation,
            frozenset(settings.backend_server.services),
            _gate_limits(settings, None if backend is None else self._worker),
        )
        self._owned_backend = BackendClient(settings.backend_server)
        self._backend = backend or self._owned_backend
        self._health_check = BackendHealthCheck(
            self._backend, self._on_backend_state_change
        )
        self._runner = TaskRunner(
            settings.instance_id,
            self._gate,
            self._backend,
            clock,
            record,
            self._health_check.report_down,
        )
        slots = _usable_slots(settings)
        self._streams = WorkStreams(
            self._runner,
            settings.instance_id,
            incarnation,
            slots,
            crashes or CrashFeed(clock),
            cold=cold,
        )
        self._member = _make_member(settings, incarnation, self._worker)
        self._sends_load_reports = backend is not None
        self._clock = clock
        self._drain_reasons = {DrainReason.NOT_JOINED}
        self._gate.drain()
        self._membership: MembershipClient | None = None
        self._resources = AsyncExitStack()
        self.rpc_address = settings.rpc.address

    async def __aenter__(self) -> Self:
        """Start to serve entries and announce the agent to the control instances.

        Raises
        ------
        OSError
            If the server cannot listen on the configured address.
        """
        async with AsyncExitStack() as resources:
            await resources.enter_async_context(self._owned_backend)
            await resources.enter_async_context(self._runner)
            await resources.enter_async_context(self._health_check)
            self.rpc_address = await self._listen(resources)
            self._member = attrs.evolve(self._member, address=str(self.rpc_address))
            membership = MembershipClient(
                self._member,
                self._settings.control,
                self._settings.tls,
                self._clock,
                self._on_membership_event,
            )
            self._membership = await resources.enter_async_context(membership)
            if self._sends_load_reports:
                changes = create_restarting_task(self._streams.report_changes)
                resources.callback(changes.cancel)
                reports = create_restarting_task(self._streams.report_periodically)
                resources.callback(reports.cancel)
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
        """Whether a control instance has admitted the agent and it is not draining."""
        admitted = self._membership is not None and self._membership.ready
        return admitted and not self._gate.draining

    async def wait_ready(self) -> None:
        """Wait until a control instance has admitted the agent as a member."""
        if self._membership is not None:
            await self._membership.wait_ready()

    def set_draining(self, *, on: bool) -> None:
        """Set whether dispatches are refused because the backend server will leave."""
        self._set_drain(DrainReason.BACKEND_SERVER_LEAVING, on=on)

    def set_lease_in_doubt(self, *, on: bool) -> None:
        """Set whether dispatches are refused because runs might not end in time."""
        self._set_drain(DrainReason.LEASE_IN_DOUBT, on=on)

    def set_worker(self, worker: Resources) -> None:
        """Use and announce other resources of the worker, which may shrink and grow."""
        if worker == self._worker:
            return
        self._worker = worker
        self._runner.resize(worker)
        decision_log.log_resized(worker)
        self._member = attrs.evolve(self._member, worker=_worker_size(worker))
        if self._membership is not None:
            self._membership.update(self._member)

    def report_load(self) -> None:
        """Report the load to the entries now, because a cold time began or ended."""
        self._streams.report_load()

    async def drain(self) -> None:
        """Refuse new dispatches, finish the running tasks, then leave the cluster.

        The waits for running tasks and for the delivery of replies are limited by the
        drain timeout of the settings and by ``DELIVERY_TIMEOUT_S``.
        """
        self._set_drain(DrainReason.STOPPING, on=True)
        with suppress(TimeoutError):
            async with asyncio.timeout(self._settings.limits.drain_timeout_s):
                await self._runner.wait_idle()
        with suppress(TimeoutError):
            async with asyncio.timeout(DELIVERY_TIMEOUT_S):
                await self._streams.wait_all_delivered()
        if self._membership is not None:
            await self._membership.leave()

    def set_control_instances(self, control: Sequence[ControlPeer]) -> None:
        """Replace the control instances that the agent connects to."""
        if self._membership is not None:
            self._membership.set_control_instances(control)

    async def leave(self) -> None:
        """Leave the cluster without a drain, because the backend server has ended."""
        if self._membership is not None:
            await self._membership.leave()

    async def _listen(self, resources: AsyncExitStack) -> Address:
        listening = serve(
            [self._streams.service()],
            self._settings.rpc.address,
            self._settings.tls,
            self._settings.clients,
        )
        return await resources.enter_async_context(listening)

    def _on_membership_event(self, event: MembershipEvent) -> None:
        if event.kind is MembershipEventKind.DRAIN:
            self._set_drain(DrainReason.ORDERED, on=event.drain_ordered)
        elif event.kind is MembershipEventKind.EVACUATIONS:
            self._apply_evacuations(event.evacuations)
        elif event.kind is MembershipEventKind.CONFIGURATION:
            self._set_drain(DrainReason.NOT_JOINED, on=False)

    def _apply_evacuations(self, evacuations: EvacuationList) -> None:
        evacuated = self._settings.data_centre in evacuations.data_centres
        decision_log.log_evacuations(evacuations, evacuated=evacuated)
        self._gate.evacuated = evacuated
        self._set_drain(DrainReason.EVACUATED, on=evacuated)

    def _on_backend_state_change(self, reachable: bool) -> None:
        self._set_drain(DrainReason.BACKEND_SERVER_DOWN, on=not reachable)

    def _set_drain(self, reason: DrainReason, *, on: bool) -> None:
        """Add or remove a reason to drain, and drain until no reason is left."""
        if on:
            self._drain_reasons.add(reason)
        else:
            self._drain_reasons.discard(reason)
        if self._drain_reasons and not self._gate.draining:
            self._runner.drain()
            self._record_event(EventKind.LEFT)
        elif self._gate.draining and not self._drain_reasons:
            self._runner.resume()
            self._record_event(EventKind.JOINED)
        self._announce_draining(draining=not self._drain_reasons <= UNANNOUNCED_REASONS)

    def _record_event(self, kind: EventKind) -> None:
        name = self._settings.instance_id
        self._record(Event(kind=kind, time_s=event_time_s(), process=name))

    def _announce_draining(self, *, draining: bool) -> None:
        if self._member.draining == draining:
            return
        self._member = attrs.evolve(self._member, draining=draining)
        if self._membership is not None:
            self._membership.update(self._member)


def _usable_slots(settings: AgentSettings) -> int:
    return min(settings.backend_server.slots, settings.backend_server.connections)


def _worker_in_settings(settings: AgentSettings) -> Resources:
    worker = settings.worker
    return Resources(
        cores=worker.cores,
        memory_mb=worker.memory_mb,
        accelerators=worker.accelerators,
    )


def _worker_size(worker: Resources) -> WorkerSize:
    return WorkerSize(
        cores=worker.cores,
        memory_mb=worker.memory_mb,
        accelerators=worker.accelerators,
    )


def _gate_limits(settings: AgentSettings, size: Resources | None) -> GateLimits:
    return GateLimits(
        slots=_usable_slots(settings),
        max_queued_tasks=settings.limits.max_queued_tasks,
        retention_s=settings.limits.retention_s,
        size=size,
    )


def _make_member(
    settings: AgentSettings, incarnation: str, worker: Resources
) -> Member:
    return Member(
        member_id=settings.instance_id,
        role=MemberRole.AGENT,
        incarnation=incarnation,
        data_centre=settings.data_centre,
        address=str(settings.rpc.address),
        rack=settings.rack,
        services=settings.backend_server.services,
        slots=_usable_slots(settings),
        connections=settings.backend_server.connections,
        worker=_worker_size(worker),
    )
