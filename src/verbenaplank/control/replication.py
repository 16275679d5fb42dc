"""What the control instance asks of the replicated log."""

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
        """Whether this instance leads."""

    @property
    def leader_id(self) -> str | None:
        """The instance that leads, as far as it is known."""

    @property
    def term(self) -> int:
        """The term; each leader has its own."""

    @property
    def commit_index(self) -> int:
        """Index of the newest entry known to be committed."""

    @property
    def replica(self) -> Replica:
        """The instance with the incarnation of its storage."""

    @property
    def members(self) -> Sequence[Replica]:
        """The instances that vote."""

    def services(self) -> Sequence[Service]:
        """Return what the instances ask of each other."""

    async def propose(self, command: bytes, timeout_s: float) -> bytes:
        """Append a command and return what applying it gave.

        Raises
        ------
        ProposalRejectedError
            If the command surely has no effect.
        OutcomeUnknownError
            If it may have one.
        """

    async def read_barrier(self, timeout_s: float) -> None:
        """Wait until all that was committed before is applied here.

        Raises
        ------
        NoQuorumError
            If no quorum answered in time.
        """

    def is_current(self, now_s: float) -> bool:
        """Return whether a quorum backs this instance at a monotonic time."""

    async def transfer_leadership(self) -> None:
        """Let another instance lead."""


class SharedReadBarrier:
    """Read barriers that callers share when they come at the same time."""

    def __init__(self, log: ReplicatedLog, timeout_s: float) -> None:
        self._log = log
        self._timeout_s = timeout_s
        self._next: asyncio.Task[None] | None = None
        self._running: asyncio.Task[None] | None = None

    async def wait(self) -> None:
        """Wait for a barrier that starts after this call.

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
    """Let no failure be reported that its waiters no longer wait for."""
    if not task.cancelled():
        task.exception()
