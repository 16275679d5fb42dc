"""Proposals and linearizable reads of callers in this process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from verbenaplank.consensus.effects import ProposalAppended
from verbenaplank.consensus.effects import ReadAnswered
from verbenaplank.consensus.errors import CommandTooLargeError
from verbenaplank.consensus.errors import NoQuorumError
from verbenaplank.consensus.errors import OutcomeUnknownError
from verbenaplank.consensus.errors import ProposalRejectedError
from verbenaplank.consensus.events import CommandProposed
from verbenaplank.consensus.events import ReadStarted
from verbenaplank.consensus.forwarding import Forwarder
from verbenaplank.consensus.state import Role

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.consensus.apply_tracker import AppliedCommand
    from verbenaplank.consensus.apply_tracker import ApplyTracker
    from verbenaplank.consensus.driver import CallerReply
    from verbenaplank.consensus.driver import Driver
    from verbenaplank.protocol.consensus import PeerMessage
    from verbenaplank.protocol.consensus import Replica

MAX_COMMAND_BYTES = 1024 * 1024
READ_RETRY_HEARTBEATS = 5
NO_LEADER = "no leader was found in time"


class LocalClient:
    """Performs proposals and linearizable reads through the local replica.

    A proposal on a follower is forwarded to the leader.

    Parameters
    ----------
    driver
        Driver of the local Raft core.
    applied
        Records the applied entries and wakes the callers that wait for them.
    send
        Sends a message to another instance.
    storage_error
        Returns why the storage accepts no writes; an empty text if it accepts them.
    """

    def __init__(
        self,
        driver: Driver,
        applied: ApplyTracker,
        send: Callable[[PeerMessage], None],
        storage_error: Callable[[], str],
    ) -> None:
        self._driver = driver
        self._state = driver.core.state
        self._applied = applied
        self._storage_error = storage_error
        self._forwarder = Forwarder(send, self._propose_locally)
        self._appended: ProposalAppended | None = None
        self._reads: dict[int, asyncio.Future[int | None]] = {}
        self._last_id = 0
        self._leader_changed = asyncio.Event()
        driver.set_callbacks(self._on_reply, self._on_leader_change)

    async def propose(self, command: bytes, timeout_s: float) -> bytes:
        """Replicate a command and return the result of applying it.

        A rejected proposal is retried until ``timeout_s`` seconds have passed.

        Raises
        ------
        CommandTooLargeError
            If the command is larger than ``MAX_COMMAND_BYTES``.
        ProposalRejectedError
            If no leader accepted the command in time; it never will be accepted.
        OutcomeUnknownError
            If the command may have been accepted.
        """
        if len(command) > MAX_COMMAND_BYTES:
            raise CommandTooLargeError(
                f"the command of {len(command)} bytes is over the limit of "
                f"{MAX_COMMAND_BYTES} bytes"
            )
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        reason = NO_LEADER
        while (remaining_s := deadline_s - loop.time()) > 0:
            try:
                applied = await self._propose_once(command, remaining_s)
            except ProposalRejectedError as error:
                reason = str(error)
                await self._wait_before_retry(remaining_s)
            else:
                return applied.result
        raise ProposalRejectedError(reason)

    async def read_barrier(self, timeout_s: float) -> None:
        """Wait until all commands acknowledged before the call are applied here.

        Raises
        ------
        NoQuorumError
            If that takes longer than ``timeout_s`` seconds.
        """
        try:
            async with asyncio.timeout(timeout_s):
                index = await self._read_index()
                await self._applied.wait_for_index(index)
        except TimeoutError as error:
            raise NoQuorumError(
                f"the read barrier was not reached within {timeout_s} s"
            ) from error

    async def wait_for_leader_change(self) -> None:
        """Wait until the known leader changes, possibly to none."""
        self._leader_changed.clear()
        await self._leader_changed.wait()

    def handle_forwarding(self, message: PeerMessage) -> bool:
        """Handle a forwarded command or the reply to one.

        Returns
        -------
        bool
            ``False`` if the message is neither of these, so that the core must
            handle it. One that is addressed to another incarnation is dropped.
        """
        if message.forward is None and message.forward_reply is None:
            return False
        identity = self._state.identity
        if message.recipient != identity.replica:
            return True
        if message.forward:
            self._forwarder.on_forward(identity, message.sender, message.forward)
        if message.forward_reply:
            self._forwarder.on_reply(message.forward_reply)
        return True

    def close(self) -> None:
        """Fail all pending proposals with an unknown outcome."""
        self._forwarder.close()
        self._applied.close()

    async def _propose_once(self, command: bytes, timeout_s: float) -> AppliedCommand:
        leader = self._state.leader
        if leader is None:
            raise ProposalRejectedError(self._storage_error() or NO_LEADER)
        try:
            if self._state.role is Role.LEADER:
                return await self._propose_locally(command, timeout_s)
            return await self._forward_to_leader(leader, command, timeout_s)
        except TimeoutError as error:
            raise OutcomeUnknownError(
                f"the outcome of the command was not known within {timeout_s} s"
            ) from error

    async def _propose_locally(
        self, command: bytes, timeout_s: float
    ) -> AppliedCommand:
        self._last_id += 1
        self._appended = None
        event = CommandProposed(proposal_id=self._last_id, command=command)
        self._driver.step(event)
        appended = self._appended
        if appended is None:
            raise ProposalRejectedError(
                "this instance is not the leader, is transferring its leadership, "
                "or its storage accepts no writes"
            )
        async with asyncio.timeout(timeout_s):
            return await self._applied.wait_for_command(appended.index, appended.term)

    async def _forward_to_leader(
        self, leader: Replica, command: bytes, timeout_s: float
    ) -> AppliedCommand:
        identity = self._state.identity
        async with asyncio.timeout(timeout_s):
            applied = await self._forwarder.forward(
                identity, leader, command, timeout_s
            )
        await self._wait_until_applied_here(applied, timeout_s)
        return applied

    async def _wait_until_applied_here(
        self, applied: AppliedCommand, timeout_s: float
    ) -> None:
        """Wait until the command is applied here too, for at most ``timeout_s``.

        A caller that then reads from this instance sees the effect of the command.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._applied.wait_for_index(applied.index)
        except TimeoutError:
            return

    async def _read_index(self) -> int:
        retry_s = READ_RETRY_HEARTBEATS * self._state.timing.heartbeat_s
        while True:
            index = await self._request_read_index(retry_s)
            if index is not None:
                return index
            await self._wait_before_retry(retry_s)

    async def _request_read_index(self, timeout_s: float) -> int | None:
        self._last_id += 1
        read_id = self._last_id
        future: asyncio.Future[int | None]
        future = asyncio.get_running_loop().create_future()
        self._reads[read_id] = future
        try:
            self._driver.step(ReadStarted(read_id=read_id))
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return None
        finally:
            del self._reads[read_id]

    async def _wait_before_retry(self, limit_s: float) -> None:
        """Wait for a leader change, for up to ``limit_s`` or a heartbeat interval.

        The shorter of the two limits applies.
        """
        delay_s = min(limit_s, self._state.timing.heartbeat_s)
        try:
            async with asyncio.timeout(delay_s):
                await self.wait_for_leader_change()
        except TimeoutError:
            return

    def _on_reply(self, reply: CallerReply) -> None:
        if isinstance(reply, ProposalAppended):
            self._appended = reply
        if isinstance(reply, ReadAnswered):
            future = self._reads.get(reply.read_id)
            if future is not None and not future.done():
                future.set_result(reply.index)

    def _on_leader_change(self, leader: Replica | None) -> None:
        self._leader_changed.set()
        self._forwarder.on_leader_change(leader)
