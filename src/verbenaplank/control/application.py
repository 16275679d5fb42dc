"""The complete control instance as one asynchronous context manager."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import attrs

from verbenaplank.clock.sources import monotonic_s
from verbenaplank.clock.sources import wall_clock_ms
from verbenaplank.concurrency.cancellation import cancel_and_wait
from verbenaplank.concurrency.restarting import run_with_restarts
from verbenaplank.connections.client_connections import ClientConnections
from verbenaplank.consensus.node import ConsensusNode
from verbenaplank.control.administration import Administration
from verbenaplank.control.bootstrap import bootstrap
from verbenaplank.control.evacuation import EvacuationAdministration
from verbenaplank.control.initial_document import load_initial_document
from verbenaplank.control.join_service import JoinService
from verbenaplank.control.join_session import SessionContext
from verbenaplank.control.lease_manager import LeaseManager
from verbenaplank.control.quorum_monitor import QuorumMonitor
from verbenaplank.control.registrar_runner import RegistrarRunner
from verbenaplank.control.renewal_forwarder import RenewalForwarder
from verbenaplank.control.replication import SharedReadBarrier
from verbenaplank.control.routing import RoutingAdministration
from verbenaplank.control.state_machine import ControlStateMachine
from verbenaplank.http.limits import HttpLimits
from verbenaplank.observability.metrics import Metrics
from verbenaplank.rpc.endpoint import serve
from verbenaplank.settings.peers import peer_addresses

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Iterable
    from collections.abc import Iterator

    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.clock.sources import WallClock
    from verbenaplank.configuration.commands import LoadDocument
    from verbenaplank.membership.renewals import RenewalReply
    from verbenaplank.settings.common import ControlPeer
    from verbenaplank.settings.control import ControlSettings

BARRIER_ELECTION_TIMEOUTS = 2.0
"""Read barrier timeout, in election timeouts; it is longer than an election."""

CHECK_PERIOD_S = 0.05
HTTP_STOP_TIMEOUT_S = 10.0


class ControlInstance:
    """Serves members, the other control instances and operators.

    Use it as an asynchronous context manager; leaving it calls :meth:`drain`.

    Parameters
    ----------
    clock
        Returns monotonic time in seconds.
    wall_clock
        Returns milliseconds since the Unix epoch.
    own_interface
        Whether to serve this package's own HTTP interface to operators.

    Attributes
    ----------
    routing
        Replaces and reads the routing document.
    evacuations
        Orders, withdraws and reads evacuations of data centres.

    Raises
    ------
    SettingsError
        On entering, if the initial document cannot be read or has faults.
    """

    def __init__(
        self,
        settings: ControlSettings,
        clock: MonotonicClock = monotonic_s,
        wall_clock: WallClock = wall_clock_ms,
        generator: random.Random | None = None,
        *,
        own_interface: bool = True,
    ) -> None:
        self._settings = settings
        self._own_interface = own_interface
        self._clock = clock
        self._wall_clock = wall_clock
        self._metrics = Metrics(settings.instance_id, settings.data_centre)
        self._random = generator or random.Random()
        self._stack = AsyncExitStack()
        self.machine = ControlStateMachine(self._on_change)
        self.log = ConsensusNode(settings, self.machine, clock, self._random)
        election_timeout_s = settings.consensus.election_timeout_ms / 1_000
        self._barrier = SharedReadBarrier(
            self.log, election_timeout_s * BARRIER_ELECTION_TIMEOUTS
        )
        self._quorum_monitor = QuorumMonitor(self.log, clock, election_timeout_s)
        self.lease_manager = LeaseManager(
            self.log, self.machine, settings.membership.lease_ms / 1_000, clock
        )
        self._address_of = peer_addresses(settings)
        self._forwarder = RenewalForwarder(
            self.log, self.lease_manager, self._address_of, settings.tls, self._deliver
        )
        self._registrar_runner = RegistrarRunner(
            settings, self.log, self.machine, self._barrier, wall_clock
        )
        self._join_service = JoinService(self._session_context())
        self._administration = Administration(
            log=self.log,
            machine=self.machine,
            barrier=self._barrier,
            lease_manager=self.lease_manager,
            peers=settings.peers,
            address_of=self._address_of,
            tls=settings.tls,
            administrator_sha256=settings.administration.token_sha256,
            wall_clock=wall_clock,
        )
        self.routing = RoutingAdministration(
            self.log, self.machine, self._barrier, wall_clock
        )
        self.evacuations = EvacuationAdministration(
            self.log,
            self.machine,
            self._barrier,
            wall_clock,
            frozenset({settings.data_centre, *_data_centres(settings.peers)}),
        )
        self._register_metrics()
        self.rpc_address = settings.rpc.address
        self.http_address = settings.http.address

    async def __aenter__(self) -> ControlInstance:
        """Load the initial document and start all services."""
        path = self._settings.administration.document_path
        document = load_initial_document(Path(path)) if path else None
        async with AsyncExitStack() as stack:
            stack.callback(self._metrics.close)
            await stack.enter_async_context(self.log)
            services = [
                *self.log.services(),
                *self.lease_manager.services(),
                self._join_service.service(),
                self._registrar_runner.service(),
            ]
            listening = serve(
                services,
                self._settings.rpc.address,
                self._settings.tls,
                self._settings.clients,
            )
            self.rpc_address = await stack.enter_async_context(listening)
            for work in (
                self._forwarder.run,
                self._registrar_runner.run,
                self._run_periodic_checks,
            ):
                running = _running_task(run_with_restarts(work))
                await stack.enter_async_context(running)
            await stack.enter_async_context(_running_task(self._bootstrap(document)))
            if self._own_interface:
                await self._serve_operators(stack)
            self._stack = stack.pop_all()
        return self

    async def _serve_operators(self, stack: AsyncExitStack) -> None:
        from verbenaplank.control.http import MAX_BODY_BYTES
        from verbenaplank.control.http import http_application
        from verbenaplank.control.http import refusal_response
        from verbenaplank.http.server import HttpServer

        http = http_application(
            self._administration, self.evacuations, self.is_ready, self._metrics.render
        )
        limits = HttpLimits(max_body_bytes=MAX_BODY_BYTES)
        server = HttpServer(
            http,
            self._settings.http.address,
            HTTP_STOP_TIMEOUT_S,
            read_limits=lambda: limits,
            clients=ClientConnections(self._settings.clients),
            refusal_response=refusal_response,
        )
        await stack.enter_async_context(server)
        self.http_address = server.address

    async def __aexit__(self, *_: object) -> None:
        """Call :meth:`drain` and stop all services."""
        await self.drain()
        await self._stack.aclose()

    def render_metrics(self) -> tuple[bytes, str]:
        """Return the metrics in text format and the media type of that format."""
        return self._metrics.render()

    async def drain(self) -> None:
        """Disconnect the members, transfer leadership and hand over the vote.

        The members reconnect to other control instances.  A second call does
        nothing.
        """
        if self._quorum_monitor.is_shutting_down:
            return
        self._quorum_monitor.start_shutdown()
        self._join_service.schedule_updates()
        await self.log.transfer_leadership()
        await self.log.leave()

    def _register_metrics(self) -> None:
        configuration = "version of the configuration that is applied here"
        members = "members of the system as applied here"
        streams = "members with a stream to this instance"
        commits = "index of the newest entry applied here"
        evacuated = "evacuated data centres as applied here"
        revision = "revision of the list of evacuated data centres"
        spare = "voters that may still fail, at the leader; -1 elsewhere"
        gauges: tuple[tuple[str, str, Callable[[], float]], ...] = (
            ("configuration_version", configuration, self._configuration_version),
            ("members", members, lambda: len(self.machine.membership.members)),
            ("member_streams", streams, lambda: len(self._join_service)),
            ("commit_index", commits, lambda: self.log.commit_index),
            ("evacuated_data_centres", evacuated, self._evacuated_data_centres),
            (
                "evacuations_revision",
                revision,
                lambda: self.machine.evacuations.revision,
            ),
            ("leads", "1 if this instance leads", lambda: self.log.is_leader),
            ("voters", "voters in force", lambda: len(self.log.members)),
            ("learners", "learners of this leader", lambda: self.log.learner_count),
            ("failures_to_spare", spare, lambda: self.log.failures_to_spare),
            ("ready", "1 if a quorum backs this instance", self.is_ready),
        )
        for name, description, read in gauges:
            self._metrics.add_gauge(f"verbenaplank_control_{name}", description, read)

    def _evacuated_data_centres(self) -> int:
        return len(self.machine.evacuations.list.data_centres)

    def _configuration_version(self) -> int:
        return self.machine.configuration.version

    async def _bootstrap(self, document: LoadDocument | None) -> None:
        await bootstrap(
            self.log,
            self.machine,
            document,
            self._registrar_candidates(),
            self._wall_clock,
        )
        self._administration.open()

    def is_ready(self) -> bool:
        """Return whether the instance has a quorum and answers operators.

        An instance that shuts down or has a storage error is not ready.
        """
        if self._quorum_monitor.is_shutting_down or self.log.storage_error:
            return False
        if not self._administration.is_open:
            return False
        return self._quorum_monitor.has_quorum()

    def _session_context(self) -> SessionContext:
        return SessionContext(
            machine=self.machine,
            log=self.log,
            barrier=self._barrier,
            lease_ms=self._settings.membership.lease_ms,
            heartbeat_ms=self._settings.membership.heartbeat_ms,
            has_quorum=self._quorum_monitor.has_quorum,
            should_disconnect_members=self._quorum_monitor.should_disconnect_members,
            forward=self._forwarder.enqueue,
        )

    def _registrar_candidates(self) -> list[ControlPeer]:
        """Return the control instances that can be registrars.

        If the settings give this instance's port as 0, the port that the system
        chose replaces it.  An open group has no fixed instances, so none of them
        can be a registrar.
        """
        if self._settings.group.open:
            return []
        own = self._settings.instance_id
        return [
            attrs.evolve(peer, port=self.rpc_address.port)
            if peer.instance_id == own and peer.port == 0
            else peer
            for peer in self._settings.peers
        ]

    def _on_change(self) -> None:
        self._join_service.schedule_updates()
        self._registrar_runner.notify_state_changed()

    def _deliver(self, reply: RenewalReply) -> None:
        self._join_service.deliver(reply)

    async def _run_periodic_checks(self) -> None:
        while True:
            self.lease_manager.expire()
            if self._quorum_monitor.has_changed():
                self._join_service.schedule_updates()
            await asyncio.sleep(CHECK_PERIOD_S)


def _data_centres(peers: Iterable[ControlPeer]) -> Iterator[str]:
    return (peer.data_centre for peer in peers if peer.data_centre)


@asynccontextmanager
async def _running_task(work: Coroutine[None, None, None]) -> AsyncIterator[None]:
    """Run a coroutine as a task while the context lasts, then cancel it."""
    task = asyncio.create_task(work)
    try:
        yield
    finally:
        await cancel_and_wait(task)
