"""Service through which other entries attach to, or cancel, jobs of this one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from verbenaplank.protocol.peer import AttachReply
from verbenaplank.protocol.peer import AttachState
from verbenaplank.protocol.peer import CancelReply
from verbenaplank.protocol.peer import RoutedCancelReply
from verbenaplank.rpc.services import ATTACH
from verbenaplank.rpc.services import CANCEL
from verbenaplank.rpc.services import CANCEL_ROUTED

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.entry.registry import RequestRegistry
    from verbenaplank.entry.response import HttpResponse
    from verbenaplank.protocol.peer import AttachRequest
    from verbenaplank.protocol.peer import CancelRequest
    from verbenaplank.protocol.peer import RoutedCancelRequest
    from verbenaplank.rpc.method import Service

MAX_PART_BYTES = 1024 * 1024
MAX_WAIT_MS = 10_000.0
MS_PER_S = 1000


class PeerService:
    """Serves the attach and cancel calls of other entries.

    Parameters
    ----------
    registry
        The requests that this entry knows.
    cancel
        Cancels a job by its id; returns whether it was in progress.
    cancel_routed
        Cancels a routed job by its route and key; returns whether it was in progress.
    """

    def __init__(
        self,
        registry: RequestRegistry,
        cancel: Callable[[str], bool],
        cancel_routed: Callable[[str, str], bool],
    ) -> None:
        self._registry = registry
        self._cancel = cancel
        self._cancel_routed = cancel_routed
        self._attach_calls = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def services(self) -> list[Service]:
        """Return the service handlers for a gRPC server."""
        return [
            ATTACH.create_service(self.attach),
            CANCEL.create_service(self.cancel),
            CANCEL_ROUTED.create_service(self.cancel_routed),
        ]

    async def join(self) -> None:
        """Wait until no attach call is in progress."""
        await self._idle.wait()

    async def cancel(self, request: CancelRequest) -> CancelReply:
        """Handle a cancel call of another entry."""
        return CancelReply(cancelled=self._cancel(request.job_id))

    async def cancel_routed(self, request: RoutedCancelRequest) -> RoutedCancelReply:
        """Handle a cancel call of another entry for routed jobs."""
        cancelled = tuple(
            self._cancel_routed(job.route, job.key) for job in request.jobs
        )
        return RoutedCancelReply(cancelled=cancelled)

    async def attach(self, request: AttachRequest) -> AttachReply:
        """Handle an attach call; wait up to ``wait_ms``, at most ``MAX_WAIT_MS``."""
        self._attach_calls += 1
        self._idle.clear()
        try:
            return await self._attach(request)
        finally:
            self._attach_calls -= 1
            if not self._attach_calls:
                self._idle.set()

    async def _attach(self, request: AttachRequest) -> AttachReply:
        record = self._registry.find(request.job_id)
        if record is None:
            return AttachReply(state=AttachState.UNKNOWN)
        wait_s = min(request.wait_ms, MAX_WAIT_MS) / MS_PER_S
        try:
            async with asyncio.timeout(wait_s):
                await record.claim_finished.wait()
                if not record.owned:
                    return AttachReply(state=AttachState.UNKNOWN)
                if request.digest and request.digest != record.digest:
                    return AttachReply(state=AttachState.CONFLICT)
                await record.answered.wait()
        except TimeoutError:
            return AttachReply(state=AttachState.PENDING)
        return _answered_reply(request, record.response)


def _answered_reply(
    request: AttachRequest, response: HttpResponse | None
) -> AttachReply:
    if response is None:
        return AttachReply(state=AttachState.UNKNOWN)
    offset = request.offset_bytes
    return AttachReply(
        state=AttachState.ANSWERED,
        status=response.status,
        body=response.body[offset : offset + MAX_PART_BYTES],
        size_bytes=len(response.body),
    )
