"""What local callers ask of the replicated log: proposals and reads."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from verbenaplank.consensus.effects import ProposalAppended
from verbenaplank.consensus.effects import ReadAnswered
from verbenaplank.consensus.errors import NoQuorumError
from verbenaplank.consensus.errors import OutcomeUnknownError
from verbenaplank.consensus.errors import ProposalRejectedError
from verbenaplank.consensus.events import CommandProposed
from verbenaplank.consensus.events import ReadStarted
from verbenaplank.consensus.forwarding import Forwarder
from verbenaplank.consensus.state import Role

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.consensus.driver import Answer
    from verbenaplank.consensus.driver import Driver
    from verbenaplank.consensus.waiting import AppliedCommand
    from verbenaplank.consensus.waiting import AppliedIndex
    from verbenaplank.protocol.consensus import PeerMessage
    from verbenaplank.protocol.consensus import Replica

MAX_COMMAND_BYTES = 1024 * 1024
READ_RETRY_HEARTBEATS = 5
NO_LEADER = "no leader was found in time"


class Calls:
    """Proposals and reads of one instance.

    Parameters
    ----------
    driver
        Runs the core.
    applied
        Tells what has been applied.
    send
        Sends a message to another instance.
    storage_error
        Tells why the storage accepts no writes; empty if it does.
    """

    def __init__(
        self,
        driver: Driver,
        applied: AppliedIndex,
        send: Callable[[PeerMessage], None],
        storage_error: Callable[[], str],
    ) -> None:
        self._driver = driver
        self._state = driver.core.state
        self._applied = applied
        self._storage_error = storage_error
        self._forwarder = Forwarder(send, self._propose_here)
        self._appended: ProposalAppended | None = None
        self._reads: dict[int, asyncio.Future[int | None]] = {}
        self._last_id = 0
        self._leader_changed = asyncio.Event()
        driver.listen(self._on_answer, self._on_leader)

    async def propose(self, command: bytes, timeout_s: float) -> bytes:
        """Replicate a command and return what the state machine answers.

        Raises
        ------
        ProposalRejectedError
            If the command was not accepted and never will be.
        OutcomeUnknownError
            If it may have been accepted.
        """
        if len(command) > MAX_COMMAND_BYTES:
            raise ProposalRejectedError(f"over the limit of {MAX_COMMAND_BYTES} bytes")
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        reason = NO_LEADER
        while (remaining_s := deadline_s - loop.time()) > 0:
            try:
                applied = await self._propose_once(command, remaining_s)
            except ProposalRejectedError as error:
                reason = str(error)
                await self._pause(remaining_s)
            else:
                return applied.result
        raise ProposalRejectedError(reason)

    async def read_barrier(self, timeout_s: float) -> None:
        """Wait until all that was acknowledged before the call is applied here.

        Raises
        ------
        NoQuorumError
            If no quorum confirmed that in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                index = await self._read_index()
                await self._applied.wait_for_index(index)
        except TimeoutError as error:
            raise NoQuorumError(f"no quorum within {timeout_s} s") from error

    async def wait_for_leader_change(self) -> None:
        """Wait until another leader, or none, is followed."""
        self._leader_changed.clear()
        await self._leader_changed.wait()

    def receive(self, message: PeerMessage) -> bool:
        """Take a forwarded command or its outcome; return whether it was one."""
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
        """Release all callers; their outcomes are unknown."""
        self._forwarder.close()
        self._applied.close()

    async def _propose_once(self, command: bytes, timeout_s: float) -> AppliedCommand:
        leader = self._state.leader
        if leader is None:
            raise ProposalRejectedError(self._storage_error() or NO_LEADER)
        try:
            if self._state.role is Role.LEADER:
                return await self._propose_here(command, timeout_s)
            return await self._propose_there(leader, command, timeout_s)
        except TimeoutError as error:
            raise OutcomeUnknownError(f"no outcome within {timeout_s} s") from error

    async def _propose_here(self, command: bytes, timeout_s: float) -> AppliedCommand:
        self._last_id += 1
        self._appended = None
        event = CommandProposed(proposal_id=self._last_id, command=command)
        self._driver.step(event)
        appended = self._appended
        if appended is None:
            raise ProposalRejectedError("the leader accepts no commands now")
        async with asyncio.timeout(timeout_s):
            return await self._applied.wait_for_command(appended.index, appended.term)

    async def _propose_there(
        self, leader: Replica, command: bytes, timeout_s: float
    ) -> AppliedCommand:
        identity = self._state.identity
        async with asyncio.timeout(timeout_s):
            applied = await self._forwarder.forward(
                identity, leader, command, timeout_s
            )
        await self._read_own_write(applied, timeout_s)
        return applied

    async def _read_own_write(self, applied: AppliedCommand, timeout_s: float) -> None:
        """Wait until the command is applied here too, as far as time allows."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._applied.wait_for_index(applied.index)
        except TimeoutError:
            return

    async def _read_index(self) -> int:
        retry_s = READ_RETRY_HEARTBEATS * self._state.timing.heartbeat_s
        while True:
            index = await self._ask_read_index(retry_s)
            if index is not None:
                return index
            await self._pause(retry_s)

    async def _ask_read_index(self, timeout_s: float) -> int | None:
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

    async def _pause(self, limit_s: float) -> None:
        """Wait for another leader, but no longer than a heartbeat."""
        delay_s = min(limit_s, self._state.timing.heartbeat_s)
        try:
            async with asyncio.timeout(delay_s):
                await self.wait_for_leader_change()
        except TimeoutError:
            return

    def _on_answer(self, answer: Answer) -> None:
        if isinstance(answer, ProposalAppended):
            self._appended = answer
        if isinstance(answer, ReadAnswered):
            future = self._reads.get(answer.read_id)
            if future is not None and not future.done():
                future.set_result(answer.index)

    def _on_leader(self, leader: Replica | None) -> None:
        self._leader_changed.set()
        self._forwarder.on_leader(leader)
