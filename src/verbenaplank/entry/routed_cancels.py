"""Cancels routed jobs that may run at other entries.

Only the entry that runs a routed job knows it, and a caller's cancel may reach any.
Cancels for one entry that arrive while a call to it is in progress share the next call,
so that a wave of them costs few messages.
"""

from __future__ import annotations

import asyncio
import logging
from enum import StrEnum
from typing import TYPE_CHECKING

from verbenaplank.concurrency.unexpected_end import log_unexpected_end
from verbenaplank.entry import decision_log
from verbenaplank.protocol.peer import RoutedCancelRequest
from verbenaplank.protocol.peer import RoutedJobName
from verbenaplank.rpc.address import parse_address
from verbenaplank.rpc.endpoint import open_channel
from verbenaplank.rpc.errors import RPC_ERRORS
from verbenaplank.rpc.services import CANCEL_ROUTED

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from types import TracebackType
    from typing import Self

    from verbenaplank.protocol.membership import Member
    from verbenaplank.settings.common import TlsSettings

CALL_TIMEOUT_S = 1.0
MAX_JOBS_PER_CALL = 512
MAX_WAITING_JOBS = 4_096
"""Limit of the jobs that wait for a call to one entry; further ones are not sent."""

logger = logging.getLogger(__name__)


class CancelState(StrEnum):
    """What became of a cancel.

    ``CANCELLED``: an entry ran the job and stops it.
    ``UNKNOWN_JOB``: no entry runs the job.
    ``UNCERTAIN``: an entry did not answer, so that the job may go on there.
    """

    CANCELLED = "cancelled"
    UNKNOWN_JOB = "unknown_job"
    UNCERTAIN = "uncertain"


class RoutedCancels:
    """Sends cancels to the other entries; an async context manager.

    Parameters
    ----------
    other_entries
        Returns the other entries, as far as they are known.
    tls
        TLS settings, or ``None`` for plain text.
    """

    def __init__(
        self, other_entries: Callable[[], Iterable[Member]], tls: TlsSettings | None
    ) -> None:
        self._other_entries = other_entries
        self._tls = tls
        self._senders: dict[str, _CancelSender] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        senders = list(self._senders.values())
        await asyncio.gather(*(sender.close() for sender in senders))

    async def cancel(self, route_name: str, key: str) -> CancelState:
        """Cancel a job at every other entry, and return what became of it."""
        job = RoutedJobName(route=route_name, key=key)
        addresses = [member.address for member in self._other_entries()]
        self._remove_idle(addresses)
        states = await asyncio.gather(
            *(self._sender(address).cancel(job) for address in addresses)
        )
        state = _combined(states)
        unanswered = states.count(CancelState.UNCERTAIN)
        decision_log.cancel_sent(job, state, len(states), unanswered)
        return state

    def _sender(self, address: str) -> _CancelSender:
        sender = self._senders.get(address)
        if sender is None:
            sender = self._senders[address] = _CancelSender(address, self._tls)
        return sender

    def _remove_idle(self, addresses: list[str]) -> None:
        """Forget the entries that have left."""
        left = self._senders.keys() - set(addresses)
        for address in left:
            if self._senders[address].is_idle:
                del self._senders[address]


class _CancelSender:
    """Sends cancels to one entry, in one call at a time."""

    def __init__(self, address: str, tls: TlsSettings | None) -> None:
        self._address = address
        self._tls = tls
        self._waiting: dict[RoutedJobName, asyncio.Future[CancelState]] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no call is in progress."""
        return self._task is None or self._task.done()

    async def close(self) -> None:
        """End the call in progress; the cancels that wait become uncertain."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def cancel(self, job: RoutedJobName) -> CancelState:
        """Cancel a job at this entry; repeated cancels of a job share a call."""
        waiting = self._waiting.get(job)
        if waiting is None:
            if len(self._waiting) >= MAX_WAITING_JOBS:
                return CancelState.UNCERTAIN
            waiting = asyncio.get_running_loop().create_future()
            self._waiting[job] = waiting
        if self.is_idle:
            self._task = asyncio.create_task(self._send_waiting())
            self._task.add_done_callback(log_unexpected_end)
        return await asyncio.shield(waiting)

    async def _send_waiting(self) -> None:
        try:
            while self._waiting:
                jobs = list(self._waiting)[:MAX_JOBS_PER_CALL]
                batch = {job: self._waiting[job] for job in jobs}
                answers = await self._call(jobs)
                _resolve(batch, answers)
                for job in jobs:
                    del self._waiting[job]
        finally:
            _resolve(self._waiting, {})
            self._waiting.clear()

    async def _call(self, jobs: list[RoutedJobName]) -> dict[RoutedJobName, bool]:
        """Return for each job whether the entry ran it; empty if that is unknown."""
        request = RoutedCancelRequest(jobs=tuple(jobs))
        try:
            with open_channel(parse_address(self._address), self._tls) as channel:
                reply = await CANCEL_ROUTED.call(channel, request, CALL_TIMEOUT_S)
        except ConnectionRefusedError:
            # The process has ended, and its jobs with it.
            return dict.fromkeys(jobs, False)
        except RPC_ERRORS as error:
            logger.warning(
                "entry did not answer a cancel",
                extra={"address": self._address, "cause": repr(error)},
            )
            return {}
        return dict(zip(jobs, reply.cancelled, strict=False))


def _resolve(
    batch: dict[RoutedJobName, asyncio.Future[CancelState]],
    answers: dict[RoutedJobName, bool],
) -> None:
    """Set the state of each cancel that has none; uncertain without an answer."""
    for job, waiting in batch.items():
        if waiting.done():
            continue
        known = CancelState.CANCELLED if answers.get(job) else CancelState.UNKNOWN_JOB
        waiting.set_result(known if job in answers else CancelState.UNCERTAIN)


def _combined(states: list[CancelState]) -> CancelState:
    for state in (CancelState.CANCELLED, CancelState.UNCERTAIN):
        if state in states:
            return state
    return CancelState.UNKNOWN_JOB
