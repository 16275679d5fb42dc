"""Raft node of one control instance: core, storage and connections to peers."""

from __future__ import annotations

import asyncio
import logging
import secrets
from contextlib import AsyncExitStack
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

from h2.exceptions import ProtocolError

from verbenaplank.consensus.apply_tracker import ApplyTracker
from verbenaplank.consensus.core import Core
from verbenaplank.consensus.driver import Driver
from verbenaplank.consensus.driver import StateMachine
from verbenaplank.consensus.events import LeadershipTransferRequested
from verbenaplank.consensus.events import LeaveRequested
from verbenaplank.consensus.events import MessageReceived
from verbenaplank.consensus.local_client import LocalClient
from verbenaplank.consensus.peer_sender import CONSENSUS
from verbenaplank.consensus.replication import failures_to_spare
from verbenaplank.consensus.state import GroupRules
from verbenaplank.consensus.state import Role
from verbenaplank.consensus.state import Timing
from verbenaplank.consensus.transport import Transport
from verbenaplank.consensus.writer import GroupCommitWriter
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
    from verbenaplank.storage.model import StoredState

__all__ = ["ConsensusNode", "StateMachine"]

LOG_FOLDER = "log"
"""Subfolder of the data folder that holds the replicated log."""

INCARNATION_BYTES = 8
"""Number of random bytes in the identifier of a storage incarnation."""

UNKNOWN_FAILURES = -1
"""Failures to spare on an instance that does not lead and so cannot tell."""

LEAVE_ELECTION_TIMEOUTS = 4.0
"""Longest wait of an instance that stops for its replacement, in election timeouts.

It covers an election and the time after which the new leader knows the learners.
"""

LEAVE_POLL_S = 0.02

STREAM_RESET_TIMEOUT_S = 1.0

CONSENSUS_FAILURE_STATUS = 1
"""Exit status of the process if a task of the replicated log raises an error.

This is a programming error, since the task handles disk errors itself.
"""

_logger = logging.getLogger(__name__)


class ConsensusNode:
    """One replica of the replicated log, as an asynchronous context manager.

    Entering the context opens the data folder and starts the background tasks. The
    caller must serve :meth:`services` on the gRPC server of the instance.

    Parameters
    ----------
    settings
        Settings of the instance: its identifier, data folder and peers.
    machine
        State machine that receives the committed commands, in the same order on
        every instance.
    clock
        Returns the monotonic time in seconds.
    random
        Source of randomness for the election timeouts.
    files
        File operations; by default those of the operating system.
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
        self._applied = ApplyTracker()
        self._writer = GroupCommitWriter(
            self._store, self._on_synced, self._on_writable_changed
        )
        self._transport = Transport(peer_addresses(settings), settings.tls)
        self._active_driver: Driver | None = None
        self._active_client: LocalClient | None = None
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> ConsensusNode:
        """Lock and open the data folder and start the node.

        Raises
        ------
        DamagedFileError
            If a file is damaged and there is no other instance to copy it from.
        WrongInstanceError
            If the data folder belongs to another instance.
        FolderInUseError
            If another process uses the data folder.
        """
        async with AsyncExitStack() as stack:
            stack.enter_context(folder_lock(self._folder))
            stack.callback(self._writer.close)
            stored = await self._writer.run_in_thread(self._open_store)
            driver = self._create_driver(stored)
            send = self._transport.send
            client = LocalClient(
                driver, self._applied, send, lambda: self.storage_error
            )
            self._active_driver = driver
            self._active_client = client
            stack.callback(driver.stop)
            write_task = asyncio.create_task(self._writer.run())
            write_task.add_done_callback(_exit_on_failure)
            stack.push_async_callback(_cancel_tasks, [write_task])
            await stack.enter_async_context(self._transport)
            stack.callback(client.close)
            driver.start()
            self._stack = stack.pop_all()
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop all tasks; pending proposals fail with an unknown outcome."""
        await self._stack.aclose()

    def services(self) -> list[Service]:
        """Return the gRPC services that other instances call on this instance."""
        return [CONSENSUS.create_service(self._receive_all)]

    @property
    def is_leader(self) -> bool:
        """Return whether this instance considers itself the leader."""
        return self._core.state.role is Role.LEADER

    @property
    def leader_id(self) -> str | None:
        """Return the identifier of the known leader, or ``None``."""
        leader = self._core.state.leader
        return leader.instance_id if leader else None

    @property
    def term(self) -> int:
        """Return the newest term known to this instance."""
        return self._core.state.term

    @property
    def commit_index(self) -> int:
        """Return the index of the last committed entry, which is also applied."""
        return self._core.state.commit_index

    @property
    def replica(self) -> Replica:
        """Return this replica: the instance and the incarnation of its storage."""
        return self._core.state.replica

    @property
    def members(self) -> tuple[Replica, ...]:
        """Return the voters in force as far as this instance knows."""
        return self._core.state.members

    @property
    def learner_count(self) -> int:
        """Return the number of learners that this leader replicates to, else 0."""
        state = self._core.state
        return sum(replica not in state.members for replica in state.progress)

    @property
    def failures_to_spare(self) -> int:
        """Return how many more voters may fail, as this leader sees it.

        On an instance that does not lead it is ``UNKNOWN_FAILURES``.
        """
        state = self._core.state
        return failures_to_spare(state) if self.is_leader else UNKNOWN_FAILURES

    @property
    def storage_error(self) -> str:
        """Return why the storage accepts no writes; empty text if it accepts them."""
        return self._writer.error

    def is_current(self, now_s: float) -> bool:
        """Return whether a quorum confirmed this instance's state recently.

        Recently means within the duration of a lease. ``now_s`` is the monotonic time
        in seconds.
        """
        return self._core.is_current(now_s)

    async def propose(self, command: bytes, timeout_s: float) -> bytes:
        """Replicate a command and return the result of applying it.

        The proposal is retried for up to ``timeout_s`` seconds until a leader
        accepts it.

        Raises
        ------
        ProposalRejectedError
            If the command was not accepted and never will be.
        OutcomeUnknownError
            If the command may have been accepted. Sending it again is safe if the
            state machine recognizes a repeated command.
        """
        return await self._client.propose(command, timeout_s)

    async def read_barrier(self, timeout_s: float) -> None:
        """Wait until all commands acknowledged before the call are applied here.

        Raises
        ------
        NoQuorumError
            If that takes longer than ``timeout_s`` seconds.
        """
        await self._client.read_barrier(timeout_s)

    async def transfer_leadership(self) -> None:
        """Transfer the leadership to another instance, if this one leads.

        Wait up to two election timeouts for the new leader. A warning is logged if
        there is none by then.
        """
        if not self.is_leader or not self._has_peers:
            return
        self._driver.step(LeadershipTransferRequested())
        own_id = self._settings.instance_id
        try:
            async with asyncio.timeout(2 * self._timing.election_timeout_s):
                while self.leader_id in (None, own_id):
                    await self._client.wait_for_leader_change()
        except TimeoutError:
            _logger.warning("leadership transfer timed out: no other instance leads")

    async def leave(self) -> None:
        """Let a learner of an open group take over this replica's vote, if one can.

        Wait until the leader has made the change or knows of no learner, for up to
        ``LEAVE_ELECTION_TIMEOUTS``. A leader must transfer its leadership before.
        """
        if not self._settings.group.open:
            return
        try:
            async with asyncio.timeout(
                LEAVE_ELECTION_TIMEOUTS * self._timing.election_timeout_s
            ):
                while self._core.state.leave_pending:
                    self._driver.step(LeaveRequested())
                    await asyncio.sleep(LEAVE_POLL_S)
        except TimeoutError:
            _logger.warning("stopping without an answer on who replaces this voter")

    @property
    def _driver(self) -> Driver:
        if self._active_driver is None:
            raise RuntimeError("the context of the consensus node was not entered")
        return self._active_driver

    @property
    def _client(self) -> LocalClient:
        if self._active_client is None:
            raise RuntimeError("the context of the consensus node was not entered")
        return self._active_client

    @property
    def _core(self) -> Core:
        return self._driver.core

    @property
    def _has_peers(self) -> bool:
        own_id = self._settings.instance_id
        others = (peer for peer in self._settings.peers if peer.instance_id != own_id)
        return self._settings.group.open or any(others)

    def _open_store(self) -> StoredState:
        """Open the storage and replace damaged files if there are other instances.

        Raises
        ------
        DamagedFileError
            If a file is damaged and this is the only instance.
        """
        instance_id = self._settings.instance_id
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        try:
            return self._store.open(instance_id, incarnation)
        except DamagedFileError as error:
            _logger.critical("damaged storage: %s", error)
            if not self._has_peers:
                raise
            return self._store.replace_damaged(instance_id, incarnation)

    def _create_driver(self, stored: StoredState) -> Driver:
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
            enqueue_write=self._writer.enqueue,
            send=self._transport.send,
            snapshot_every_entries=self._settings.consensus.snapshot_every_entries,
        )

    def _on_synced(self, sequence: int) -> None:
        self._driver.on_writes_synced(sequence)

    def _on_writable_changed(self, writable: bool) -> None:
        self._driver.on_writable_changed(writable)

    async def _receive_all(
        self, stream: Stream[ConsensusEnvelope, ConsensusEnvelope]
    ) -> None:
        """Handle the messages of one stream until the peer or the server ends it.

        A server that closes cancels its handlers but leaves its connections open.
        The stream is therefore reset, so that the peer opens a new one when this
        instance has restarted.
        """
        try:
            async for envelope in stream:
                for message in envelope.messages:
                    self._receive(message)
        except asyncio.CancelledError:
            with suppress(ProtocolError, TimeoutError):
                async with asyncio.timeout(STREAM_RESET_TIMEOUT_S):
                    await stream.cancel()
            raise

    def _receive(self, message: PeerMessage) -> None:
        if not self._client.handle_forwarding(message):
            self._driver.step(MessageReceived(message=message))


def _exit_on_failure(task: asyncio.Task[None]) -> None:
    """End the process if a task of the log failed.

    Without its log, an instance cannot serve requests and does not recover.

    Raises
    ------
    SystemExit
        If the task failed; the event loop passes it on to its caller.
    """
    if task.cancelled() or task.exception() is None:
        return
    _logger.critical("a task of the replicated log failed", exc_info=task.exception())
    raise SystemExit(CONSENSUS_FAILURE_STATUS)


async def _cancel_tasks(tasks: Sequence[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
