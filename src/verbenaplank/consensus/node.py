"""One control instance's part of the replicated log, with files and streams."""

from __future__ import annotations

import asyncio
import logging
import secrets
from contextlib import AsyncExitStack
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

from h2.exceptions import ProtocolError

from verbenaplank.consensus.calls import Calls
from verbenaplank.consensus.core import Core
from verbenaplank.consensus.driver import Driver
from verbenaplank.consensus.driver import StateMachine
from verbenaplank.consensus.events import HandOverAsked
from verbenaplank.consensus.events import MessageReceived
from verbenaplank.consensus.links import CONSENSUS
from verbenaplank.consensus.peer_links import PeerLinks
from verbenaplank.consensus.state import GroupRules
from verbenaplank.consensus.state import Role
from verbenaplank.consensus.state import Timing
from verbenaplank.consensus.waiting import AppliedIndex
from verbenaplank.consensus.writer import SyncWriter
from verbenaplank.settings.peers import peer_addresses
from verbenaplank.storage.errors import DamagedFileError
from verbenaplank.storage.folder_lock import folder_lock
from verbenaplank.storage.store import Store

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence
    from types import TracebackType

    from grpclib.server import Stream

    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.protocol.consensus import ConsensusEnvelope
    from verbenaplank.protocol.consensus import PeerMessage
    from verbenaplank.protocol.consensus import Replica
    from verbenaplank.rpc.method import Service
    from verbenaplank.settings.control import ControlSettings
    from verbenaplank.storage.files import Files
    from verbenaplank.storage.model import Stored

__all__ = ["ConsensusNode", "StateMachine"]

LOG_FOLDER = "log"
INCARNATION_BYTES = 8
RESET_TIMEOUT_S = 1.0
FAILED_LOG_STATUS = 1
"""Exit status of a program whose log failed by a fault of the program."""

_logger = logging.getLogger(__name__)


class ConsensusNode:
    """A replica of the log; use it as an asynchronous context manager.

    Entering it reads the data folder and starts the tasks; the services must be
    mounted on the instance's server.

    Parameters
    ----------
    settings
        Names the instance, its data folder and all control instances.
    machine
        Receives the committed commands, in the same order on every instance.
    clock
        Monotonic time in seconds.
    random
        Source of the election timeouts.
    files
        File operations; the machine's own ones if left out.
    """

    def __init__(
        self,
        settings: ControlSettings,
        machine: StateMachine,
        clock: MonotonicClock,
        random: random.Random,
        files: Files | None = None,
    ) -> None:
        self._settings = settings
        self._machine = machine
        self._clock = clock
        self._random = random
        self._folder = Path(settings.data_folder) / LOG_FOLDER
        self._store = Store(self._folder, files)
        self._timing = Timing(
            heartbeat_s=settings.consensus.heartbeat_ms / 1_000,
            election_timeout_s=settings.consensus.election_timeout_ms / 1_000,
        )
        self._applied = AppliedIndex()
        self._writer = SyncWriter(self._store, self._on_synced, self._on_writable)
        self._links = PeerLinks(peer_addresses(settings), settings.tls)
        self._running: Driver | None = None
        self._caller_side: Calls | None = None
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> ConsensusNode:
        """Read the data folder and start.

        Raises
        ------
        DamagedFileError
            If a file is damaged and no other instance could replace it.
        WrongInstanceError
            If the data folder belongs to another instance.
        FolderInUseError
            If another process uses the data folder.
        """
        async with AsyncExitStack() as stack:
            stack.enter_context(folder_lock(self._folder))
            stack.callback(self._writer.close)
            stored = await self._writer.call(self._open_store)
            driver = self._driver_of(stored)
            send = self._links.send
            calls = Calls(driver, self._applied, send, lambda: self.storage_error)
            self._running = driver
            self._caller_side = calls
            stack.callback(driver.stop)
            writing = asyncio.create_task(self._writer.run())
            writing.add_done_callback(_end_program_on_failure)
            stack.push_async_callback(_cancel, [writing])
            await stack.enter_async_context(self._links)
            stack.callback(calls.close)
            driver.start()
            self._stack = stack.pop_all()
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop all tasks; waiting callers learn that the outcome is unknown."""
        await self._stack.aclose()

    def services(self) -> list[Service]:
        """Return the gRPC services through which other instances talk to this."""
        return [CONSENSUS.create_service(self._receive_all)]

    @property
    def is_leader(self) -> bool:
        """Return whether this instance leads, though perhaps not for long."""
        return self._core.state.role is Role.LEADER

    @property
    def leader_id(self) -> str | None:
        """Return the leader that this instance knows."""
        leader = self._core.state.leader
        return leader.instance_id if leader else None

    @property
    def term(self) -> int:
        """Return the newest term that this instance has seen."""
        return self._core.state.term

    @property
    def commit_index(self) -> int:
        """Return the index up to which the state machine has applied."""
        return self._core.state.commit_index

    @property
    def replica(self) -> Replica:
        """Return this instance with the incarnation of its storage."""
        return self._core.state.replica

    @property
    def members(self) -> tuple[Replica, ...]:
        """Return the voters that are in force as far as this instance knows."""
        return self._core.state.members

    @property
    def storage_error(self) -> str:
        """Return why the storage accepts no writes; empty if it does."""
        return self._writer.error

    def is_current(self, now_s: float) -> bool:
        """Return whether a quorum backed this instance's state within a lease."""
        return self._core.is_current(now_s)

    async def propose(self, command: bytes, timeout_s: float) -> bytes:
        """Replicate a command and return what the state machine answers.

        Raises
        ------
        ProposalRejectedError
            If the command was not accepted and never will be.
        OutcomeUnknownError
            If it may have been accepted; resending is safe if the state
            machine knows the command again.
        """
        return await self._calls.propose(command, timeout_s)

    async def read_barrier(self, timeout_s: float) -> None:
        """Wait until all that was acknowledged before the call is applied here.

        Raises
        ------
        NoQuorumError
            If no quorum confirmed that in time.
        """
        await self._calls.read_barrier(timeout_s)

    async def transfer_leadership(self) -> None:
        """Pass the leadership on, if this instance leads and another can."""
        if not self.is_leader or not self._has_peers:
            return
        self._driver.step(HandOverAsked())
        own_id = self._settings.instance_id
        try:
            async with asyncio.timeout(2 * self._timing.election_timeout_s):
                while self.leader_id in (None, own_id):
                    await self._calls.wait_for_leader_change()
        except TimeoutError:
            _logger.warning("no other instance took the leadership over in time")

    @property
    def _driver(self) -> Driver:
        if self._running is None:
            raise RuntimeError("the node has not been entered")
        return self._running

    @property
    def _calls(self) -> Calls:
        if self._caller_side is None:
            raise RuntimeError("the node has not been entered")
        return self._caller_side

    @property
    def _core(self) -> Core:
        return self._driver.core

    @property
    def _has_peers(self) -> bool:
        own_id = self._settings.instance_id
        others = (peer for peer in self._settings.peers if peer.instance_id != own_id)
        return self._settings.group.open or any(others)

    def _open_store(self) -> Stored:
        """Open the storage; damaged files are set aside if others have copies."""
        instance_id = self._settings.instance_id
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        try:
            return self._store.open(instance_id, incarnation)
        except DamagedFileError as error:
            _logger.critical("damaged storage: %s", error)
            if not self._has_peers:
                raise
            return self._store.replace_damaged(instance_id, incarnation)

    def _driver_of(self, stored: Stored) -> Driver:
        peer_ids = tuple(peer.instance_id for peer in self._settings.peers)
        group = GroupRules(
            may_found=self._settings.group.may_found,
            open=self._settings.group.open,
            tolerated_losses=self._settings.group.tolerated_losses,
        )
        now_s = self._clock()
        return Driver(
            Core(stored, peer_ids, self._timing, self._random, now_s, group),
            self._machine,
            self._clock,
            applied=self._applied,
            put_write=self._writer.put,
            send=self._links.send,
            snapshot_every_entries=self._settings.consensus.snapshot_every_entries,
        )

    def _on_synced(self, sequence: int) -> None:
        self._driver.synced(sequence)

    def _on_writable(self, writable: bool) -> None:
        self._driver.writable(writable)

    async def _receive_all(
        self, stream: Stream[ConsensusEnvelope, ConsensusEnvelope]
    ) -> None:
        """Take messages until the sender or this instance's server ends.

        A server that closes cancels its handlers but not its connections, so
        the sender is told, and connects to the instance's next start.
        """
        try:
            async for envelope in stream:
                for message in envelope.messages:
                    self._receive(message)
        except asyncio.CancelledError:
            with suppress(ProtocolError, TimeoutError):
                async with asyncio.timeout(RESET_TIMEOUT_S):
                    await stream.cancel()
            raise

    def _receive(self, message: PeerMessage) -> None:
        if not self._calls.receive(message):
            self._driver.step(MessageReceived(message=message))


def _end_program_on_failure(task: asyncio.Task[None]) -> None:
    """End the program, since an instance without its log would stay useless.

    Raises
    ------
    SystemExit
        If the task failed; the event loop hands it on to its caller.
    """
    if task.cancelled() or task.exception() is None:
        return
    _logger.critical("a task of the log failed", exc_info=task.exception())
    raise SystemExit(FAILED_LOG_STATUS)


async def _cancel(tasks: Sequence[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
