"""Interface of the replicated log, and read barriers shared by callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from verbenaplank.protocol.consensus import Replica
    from verbenaplank.rpc.method import Service


class ReplicatedLog(Protocol):
    """A log that every control instance applies in the same order."""

    @property
    def is_leader(self) -> bool:
        """Whether this instance is the leader."""

    @property
    def leader_id(self) -> str | None:
        """Id of the leader, or ``None`` if it is unknown."""

    @property
    def term(self) -> int:
        """Current Raft term; a term has at most one leader."""

    @property
    def commit_index(self) -> int:
        """Index of the newest entry known to be committed, which is also applied."""

    @property
    def replica(self) -> Replica:
        """Identity of this instance: its id and the incarnation of its storage."""

    @property
    def members(self) -> Sequence[Replica]:
        """The voting instances."""

    def services(self) -> Sequence[Service]:
        """Return the RPC services that the instances call on each other."""

    async def propose(self, command: bytes, timeout_s: float) -> bytes:
        """Replicate a command and return the encoded result of applying it.

        Raises
        ------
        ProposalRejectedError
            If the command is certain to have no effect.
        OutcomeUnknownError
            If the command may take effect.
        """

    async def read_barrier(self, timeout_s: float) -> None:
        """Wait until everything that was committed before the call is applied here.

        Raises
        ------
        NoQuorumError
            If no quorum answered in time.
        """

    def is_current(self, now_s: float) -> bool:
        """Return whether a quorum has confirmed this instance's state recently enough.

        ``now_s`` is the monotonic time in seconds.
        """

    async def transfer_leadership(self) -> None:
        """Transfer leadership to another instance."""

    async def leave(self) -> None:
        """Let another instance take over this one's vote, if one can."""


class SharedReadBarrier:
    """Runs read barriers one by one, each for all callers that wait at its start."""

    def __init__(self, log: ReplicatedLog, timeout_s: float) -> None:
        self._log = log
        self._timeout_s = timeout_s
        self._next: asyncio.Task[None] | None = None
        self._running: asyncio.Task[None] | None = None

    async def wait(self) -> None:
        """Wait for a read barrier that starts after this call.

        Raises
        ------
        NoQuorumError
            If no quorum answered in time.
        """
        if self._next is None:
            self._next = asyncio.create_task(self._run(self._running))
            self._next.add_done_callback(_retrieve_exception)
        await asyncio.shield(self._next)

    async def _run(self, previous: asyncio.Task[None] | None) -> None:
        if previous is not None:
            await asyncio.wait([previous])
        self._running = self._next
        self._next = None
        await self._log.read_barrier(self._timeout_s)


def _retrieve_exception(task: asyncio.Task[None]) -> None:
    """Mark the exception as retrieved.

    Otherwise asyncio would log it if every waiter had been cancelled.
    """
    if not task.cancelled():
        task.exception()
