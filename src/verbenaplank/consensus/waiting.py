"""Callers that wait for entries of the log to be applied."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from verbenaplank.consensus.errors import OutcomeUnknownError
from verbenaplank.consensus.errors import ProposalRejectedError

if TYPE_CHECKING:
    from verbenaplank.protocol.consensus import LogEntry


@attrs.frozen
class AppliedCommand:
    """Where a command was applied, and what the state machine returned."""

    index: int
    result: bytes


@attrs.frozen
class _Proposal:
    term: int
    future: asyncio.Future[AppliedCommand]


class AppliedIndex:
    """The index applied last, the proposals and the reads that wait for one."""

    def __init__(self) -> None:
        self.index = 0
        self._proposals: dict[int, _Proposal] = {}
        self._readers: list[tuple[int, asyncio.Future[None]]] = []

    async def wait_for_command(self, index: int, term: int) -> AppliedCommand:
        """Wait for a proposed entry.

        Raises
        ------
        ProposalRejectedError
            If another entry was committed in its place.
        OutcomeUnknownError
            If a snapshot skipped it, or the instance stops.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[AppliedCommand] = loop.create_future()
        if index in self._proposals:
            self._give_up(index, "its entry was dropped from this instance's log")
        self._proposals[index] = _Proposal(term, future)
        return await future

    async def wait_for_index(self, index: int) -> None:
        """Wait until the entry at an index is applied."""
        if index <= self.index:
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._readers.append((index, future))
        await future

    def applied(self, entry: LogEntry, result: bytes) -> None:
        """Note an applied entry."""
        self._advance(entry.index)
        proposal = self._proposals.pop(entry.index, None)
        if proposal is None or proposal.future.done():
            return
        if proposal.term == entry.term:
            proposal.future.set_result(AppliedCommand(entry.index, result))
        else:
            error = ProposalRejectedError("another leader's entry took its place")
            proposal.future.set_exception(error)

    def restored(self, index: int) -> None:
        """Note a snapshot that replaced the state up to an index."""
        self._advance(index)
        for waiting in [known for known in self._proposals if known <= index]:
            self._give_up(waiting, "a snapshot covers the command")

    def close(self) -> None:
        """Release everyone who waits for a command."""
        for waiting in list(self._proposals):
            self._give_up(waiting, "this instance stops")

    def _give_up(self, index: int, reason: str) -> None:
        future = self._proposals.pop(index).future
        if not future.done():
            future.set_exception(OutcomeUnknownError(reason))

    def _advance(self, index: int) -> None:
        self.index = index
        waiting: list[tuple[int, asyncio.Future[None]]] = []
        for needed, future in self._readers:
            if needed > index:
                waiting.append((needed, future))
            elif not future.done():
                future.set_result(None)
        self._readers = waiting
