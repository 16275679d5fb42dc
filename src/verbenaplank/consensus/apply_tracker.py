"""Tracking of applied log entries for callers that wait for them."""

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
    """Log index of an applied command, and the result of applying it."""

    index: int
    result: bytes


@attrs.frozen
class _PendingProposal:
    term: int
    future: asyncio.Future[AppliedCommand]


class ApplyTracker:
    """Tracks the last applied index and wakes the callers that wait for an index.

    Attributes
    ----------
    index
        Index of the last applied entry.
    """

    def __init__(self) -> None:
        self.index = 0
        self._proposals: dict[int, _PendingProposal] = {}
        self._index_waiters: list[tuple[int, asyncio.Future[None]]] = []

    async def wait_for_command(self, index: int, term: int) -> AppliedCommand:
        """Wait until the entry proposed at ``index`` in ``term`` is applied.

        Raises
        ------
        ProposalRejectedError
            If another entry was committed at the same index.
        OutcomeUnknownError
            If the entry was truncated from the local log, a snapshot covers it, or
            the instance stops.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[AppliedCommand] = loop.create_future()
        if index in self._proposals:
            self._fail_proposal(
                index, "the command was removed from this instance's log"
            )
        self._proposals[index] = _PendingProposal(term, future)
        return await future

    async def wait_for_index(self, index: int) -> None:
        """Wait until the entry at ``index`` is applied."""
        if index <= self.index:
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._index_waiters.append((index, future))
        await future

    def record_applied(self, entry: LogEntry, result: bytes) -> None:
        """Record that an entry was applied and wake the callers that wait for it."""
        self._advance(entry.index)
        proposal = self._proposals.pop(entry.index, None)
        if proposal is None or proposal.future.done():
            return
        if proposal.term == entry.term:
            proposal.future.set_result(AppliedCommand(entry.index, result))
        else:
            error = ProposalRejectedError(
                "another leader's entry was committed in place of the command"
            )
            proposal.future.set_exception(error)

    def record_restored(self, index: int) -> None:
        """Record that a snapshot replaced the state up to ``index``.

        Proposals up to there fail, since the results of their commands are unknown.
        """
        self._advance(index)
        for waiting in [known for known in self._proposals if known <= index]:
            self._fail_proposal(
                waiting, "a snapshot replaced the command before it was applied here"
            )

    def close(self) -> None:
        """Fail all pending proposals with an unknown outcome."""
        for waiting in list(self._proposals):
            self._fail_proposal(waiting, "this instance is stopping")

    def _fail_proposal(self, index: int, reason: str) -> None:
        future = self._proposals.pop(index).future
        if not future.done():
            future.set_exception(OutcomeUnknownError(reason))

    def _advance(self, index: int) -> None:
        self.index = index
        waiting: list[tuple[int, asyncio.Future[None]]] = []
        for needed, future in self._index_waiters:
            if needed > index:
                waiting.append((needed, future))
            elif not future.done():
                future.set_result(None)
        self._index_waiters = waiting
