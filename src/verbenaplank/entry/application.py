"""Builds an entry instance from its settings, and starts and stops it."""

from __future__ import annotations

import asyncio
import math
import random as random_module
from contextlib import AsyncExitStack
from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Self
from uuid import uuid4

from verbenaplank.clock.sources import monotonic_s
from verbenaplank.clock.sources import non_decreasing
from verbenaplank.clock.sources import wall_clock_ms
from verbenaplank.concurrency.restarting import create_restarting_task
from verbenaplank.entry.agent_connections import AgentConnections
from verbenaplank.entry.agent_connections import EngineListener
from verbenaplank.entry.client_factories import claims_factory
from verbenaplank.entry.client_factories import membership_factory
from verbenaplank.entry.components import EntryComponents
from verbenaplank.entry.membership_watcher import MembershipWatcher
from verbenaplank.entry.peer_service import PeerService
from verbenaplank.entry.renewal import LONG_LEASE
from verbenaplank.entry.renewal import SHORT_LEASE
from verbenaplank.entry.routed_cancels import CancelState
from verbenaplank.entry.routed_cancels import RoutedCancels
from verbenaplank.entry.service_loads import EntryView
from verbenaplank.entry.state_logging import log_state_changes_forever
from verbenaplank.entry.subset_connector import SubsetConnector
from verbenaplank.entry.traffic import Traffic
from verbenaplank.history.event import EventHook
from verbenaplank.history.event import ignore_event
from verbenaplank.membership.client import MembershipClient
from verbenaplank.observability.rendering import no_metrics
from verbenaplank.placement.policy import least_expected_completion
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MemberRole
from verbenaplank.protocol.work import EntryHello
from verbenaplank.rpc.endpoint import serve

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from collections.abc import Mapping
    from collections.abc import Sequence
    from types import TracebackType
    from typing import Any

    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.clock.sources import WallClock
    from verbenaplank.entry.interfaces import Claims
    from verbenaplank.entry.interfaces import ClaimsFactory
    from verbenaplank.entry.interfaces import Membership
    from verbenaplank.entry.interfaces import MembershipFactory
    from verbenaplank.entry.pipeline import Pipeline
    from verbenaplank.http.server import HttpServer
    from verbenaplank.observability.rendering import RenderMetrics
    from verbenaplank.overload.job_counts import RouteKey
    from verbenaplank.placement.policy import Policy
    from verbenaplank.protocol.membership import EvacuationList
    from verbenaplank.rpc.address import Address
    from verbenaplank.settings.common import ControlPeer
    from verbenaplank.settings.entry import EntrySettings

STOP_GRACE_S = 1.0
"""Time that a drain waits for the responses of requests that it has failed."""

EXPIRY_PERIOD_S = 1.0
INCARNATION_CHARACTERS = 8
"""Length of the incarnation prefix that tells the jobs of two entries apart."""


class EntryInstance:
    """An entry, used as an asynchronous context manager.

    Entering the context starts the servers.  The entry is ready once a quorum has
    confirmed its state and it holds its lease.  Call :meth:`drain` before leaving
    the context to stop gracefully.

    Parameters
    ----------
    settings
        Addresses, limits and control instances of the entry.
    metrics
        Returns the metrics for ``/metrics``.
    record
        Called with an event for each dispatch.
    policy
        Chooses an agent for each task.
    clock
        The monotonic clock, in seconds.
    wall_clock
        Milliseconds since the Unix epoch.
    random
        Source of randomness; ``None`` for one that the operating system seeds.
    open_membership, open_claims
        Factories for the connections to control instances and registrars;
        ``None`` for factories that connect as the settings say.
    order_by_goal
        Whether the queue is ordered by priority and latency goal, as routes set
        them, instead of by urgency and team.  It also selects the short lease for
        exclusive tasks.
    serve_http
        Whether to serve the entry's own HTTP interface.  Its web framework and its
        pipeline take a third of a program's start time, so they are left out where
        no caller can reach the interface.

    Attributes
    ----------
    http_address, rpc_address
        Listening addresses; a port 0 is replaced by the actual port.
    engine
        The scheduling state machine, with counts for metrics.
    pipeline
        Processes the requests of the entry's own HTTP interface; ``None`` if it is
        not served or the context is not entered.
    routed
        Runs the jobs that callers submit through a route.
    queue
        The tasks that wait for an agent.
    job_counts
        Counts of refused and served jobs.
    traffic
        Counts of the messages to and from agents.
    agent_connections
        Streams to agents; available once the context is entered.
    """

    def __init__(
        self,
        settings: EntrySettings,
        *,
        metrics: RenderMetrics = no_metrics,
        record: EventHook = ignore_event,
        policy: Policy = least_expected_completion,
        clock: MonotonicClock = monotonic_s,
        wall_clock: WallClock = wall_clock_ms,
        random: random_module.Random | None = None,
        open_membership: MembershipFactory | None = None,
        open_claims: ClaimsFactory | None = None,
        order_by_goal: bool = False,
        serve_http: bool = True,
    ) -> None:
        self.http_address: Address = settings.http.address
        self.rpc_address: Address = settings.rpc.address
        self.traffic = Traffic()
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._wall_clock = non_decreasing(wall_clock)
        self._random = random or random_module.Random()
        self._open_membership = open_membership or membership_factory(settings, clock)
        self._open_claims = open_claims or claims_factory(settings, clock, self._random)
        self._incarnation = uuid4().hex
        self._resources = AsyncExitStack()
        self._order_by_goal = order_by_goal
        self._serve_http = serve_http
        self._components = EntryComponents(
            settings,
            policy=policy,
            record=record,
            clock=clock,
            random=self._random,
            order_by_goal=order_by_goal,
            entry_name=self._incarnation[:INCARNATION_CHARACTERS],
            view=EntryView(
                entry_count=lambda: len(self._membership.entries),
                is_current=lambda: self._status.readiness().current,
                time_left_s=self._time_left_s,
            ),
        )
        self._status = self._components.status
        self._fleet = self._components.fleet
        self._runner = self._components.runner
        self.queue = self._components.queue
        self.job_counts = self._components.job_counts
        self.engine = self._components.engine
        self.routed = self._components.routed
        self.pipeline: Pipeline | None = None
        self._stop_time_s = math.inf
        self._http_server: HttpServer | None = None
        self._routed_cancels = RoutedCancels(self._other_entries, settings.tls)
        self._peer_service = PeerService(
            self._components.registry, self._runner.cancel, self.routed.cancel
        )

    @property
    def evacuations(self) -> EvacuationList:
        """The evacuated data centres in force."""
        return self._membership.evacuations

    def cold_backend_servers(self) -> int:
        """Return the number of backend servers that are cold now."""
        return len(self._fleet.cold_agents(self._clock()))

    @property
    def ready(self) -> bool:
        """Whether requests of every kind are accepted."""
        return self._status.readiness().ready

    async def __aenter__(self) -> Self:
        async with AsyncExitStack() as stack:
            await self._start(stack)
            self._resources = stack.pop_all()
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._resources.aclose()

    @property
    def ready_for_routed_jobs(self) -> bool:
        """Whether the entry can run routed jobs.

        Its state must be confirmed, it must not drain, it must have a routing table,
        and an agent must be connected.  Where a route weighs waits, its event loop must
        not lag.
        """
        is_ready = self._status.readiness().ready_for_routed_jobs
        has_agents = self._fleet.has_connected_agent()
        has_routes = self.routed.table.version > 0
        return is_ready and has_routes and has_agents

    def cores_by_state(self) -> Mapping[tuple[str, str], float]:
        """Return the cores of the backend servers by data centre and state."""
        return self._fleet.cores_by_state()

    def waiting_jobs(self) -> Mapping[RouteKey, int]:
        """Return the number of routed jobs with queued tasks by route and priority."""
        return self._components.goals.waiting_jobs()

    def set_control_instances(self, control: Sequence[ControlPeer]) -> None:
        """Use the given control instances from the next connection on."""
        if isinstance(self._membership, MembershipClient):
            self._membership.set_control_instances(control)

    async def cancel_routed_job(self, route_name: str, key: str) -> CancelState:
        """Cancel a routed job at this entry, or at the one that runs it."""
        if self.routed.cancel(route_name, key):
            return CancelState.CANCELLED
        return await self._routed_cancels.cancel(route_name, key)

    def _other_entries(self) -> list[Member]:
        own_id = self._settings.instance_id
        entries = self._membership.entries.values()
        return [member for member in entries if member.member_id != own_id]

    @property
    def is_draining(self) -> bool:
        """Whether this entry has begun to drain, so callers should use another one."""
        return self._status.draining

    async def drain_routed_jobs(self, linger_s: float, timeout_s: float) -> None:
        """Report not ready, accept routed jobs for a while, then let them finish.

        Parameters
        ----------
        linger_s
            Seconds to wait for callers to switch to another entry.
        timeout_s
            Seconds that the jobs in progress may take after that.  A job that
            arrives before then is admitted if it is expected to end in time.
        """
        self._status.draining = True
        self._stop_time_s = self._clock() + linger_s + timeout_s
        await asyncio.sleep(linger_s)
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.routed.join()
        self._stop_time_s = self._clock()

    async def drain(self) -> None:
        """Reject new requests, wait for those in progress, and leave the membership.

        Requests that take longer than the configured ``drain_timeout_s`` are failed.
        """
        self._status.draining = True
        self._membership.update(self._member(draining=True))
        try:
            async with asyncio.timeout(self._settings.limits.drain_timeout_s):
                if self.pipeline is not None:
                    await self.pipeline.join()
        except TimeoutError:
            self._runner.stop()
            if self.pipeline is not None:
                await self.pipeline.stop(STOP_GRACE_S)
        await self._peer_service.join()
        if self._http_server is not None:
            await self._http_server.close()
        await self._membership.leave()

    async def _start(self, stack: AsyncExitStack) -> None:
        settings = self._settings
        services = self._peer_service.services()
        server = serve(services, self.rpc_address, settings.tls, settings.clients)
        self.rpc_address = await stack.enter_async_context(server)
        hello = EntryHello(
            entry_id=settings.instance_id,
            incarnation=self._incarnation,
            data_centre=settings.data_centre,
        )
        listener = EngineListener(self._runner, self._clock)
        lease = SHORT_LEASE if self._order_by_goal else LONG_LEASE
        connections = AgentConnections(
            hello, listener, settings.tls, self.traffic, lease
        )
        self.agent_connections = connections
        await stack.enter_async_context(connections)
        self._runner.set_sender(connections.send)
        await stack.enter_async_context(self._routed_cancels)
        claims = await stack.enter_async_context(self._open_claims(self._member()))
        connector = SubsetConnector(
            entry_id=settings.instance_id,
            subset_size=settings.limits.agent_subset_size,
            connections=connections,
            fleet=self._fleet,
            tasks_wait=lambda: len(self.queue) > 0,
            clock=self._clock,
        )
        self.engine.on_rack_named = connector.record_named_rack
        watcher = MembershipWatcher(
            runner=self._runner,
            connector=connector,
            admission=self._components.admission,
            fleet=self._fleet,
            routed=self.routed,
            clock=self._clock,
        )

        membership_context = self._open_membership(self._member(), watcher.on_change)
        membership = await stack.enter_async_context(membership_context)
        watcher.apply(membership, claims)
        self._membership = membership
        self._status.set_membership(membership)
        if self._serve_http:
            await self._serve_callers(stack, membership, claims)
        for run in (
            self._runner.tick_forever,
            connector.adjust_forever,
            self._expire_forever,
            self._log_state_changes_forever,
        ):
            task = create_restarting_task(run)
            stack.callback(task.cancel)

    async def _serve_callers(
        self, stack: AsyncExitStack, membership: Membership, claims: Claims
    ) -> None:
        from verbenaplank.entry.caller_interface import new_http_server
        from verbenaplank.entry.caller_interface import new_pipeline

        self.pipeline = new_pipeline(
            self._settings,
            self._components,
            member=self._member(),
            membership=membership,
            claims=claims,
            clock=self._clock,
            wall_clock=self._wall_clock,
        )
        server = new_http_server(
            self._settings,
            self.http_address,
            self.pipeline,
            lambda: self.ready,
            self._metrics,
        )
        self._http_server = await stack.enter_async_context(server)
        self.http_address = server.address

    def _time_left_s(self) -> float:
        return self._stop_time_s - self._clock()

    def _member(self, *, draining: bool = False) -> Member:
        return Member(
            member_id=self._settings.instance_id,
            role=MemberRole.ENTRY,
            incarnation=self._incarnation,
            data_centre=self._settings.data_centre,
            address=str(self.rpc_address),
            draining=draining,
        )

    async def _expire_forever(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            self._components.registry.expire(self._clock())

    def _log_state_changes_forever(self) -> Coroutine[Any, Any, None]:
        return log_state_changes_forever(
            lambda: self.ready_for_routed_jobs,
            self._status.readiness,
            lambda: self._fleet.quarantined_agents(self._clock()),
        )
