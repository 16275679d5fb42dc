"""Answers other entries that attach to, or cancel, a job of this one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from verbenaplank.protocol.peer import AttachReply
from verbenaplank.protocol.peer import AttachState
from verbenaplank.protocol.peer import CancelReply
from verbenaplank.rpc.services import ATTACH
from verbenaplank.rpc.services import CANCEL

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from verbenaplank.entry.answer import Answer
    from verbenaplank.entry.pipeline import Pipeline
    from verbenaplank.entry.registry import RequestRegistry
    from verbenaplank.protocol.peer import AttachRequest
    from verbenaplank.protocol.peer import CancelRequest
    from verbenaplank.rpc.method import Service

MAX_PART_BYTES = 1024 * 1024
MAX_WAIT_MS = 10_000.0
MILLISECONDS_PER_SECOND = 1000


def peer_services(pipeline: Pipeline, registry: RequestRegistry) -> list[Service]:
    """Return the services that an entry offers to other entries."""

    async def cancel(request: CancelRequest) -> CancelReply:
        return CancelReply(cancelled=pipeline.cancel_here(request.job_id))

    return [ATTACH.handler(attach_handler(registry)), CANCEL.handler(cancel)]


def attach_handler(
    registry: RequestRegistry,
) -> Callable[[AttachRequest], Awaitable[AttachReply]]:
    """Return a function that answers attach requests."""

    async def attach(request: AttachRequest) -> AttachReply:
        record = registry.find(request.job_id)
        if record is None:
            return AttachReply(state=AttachState.UNKNOWN)
        wait_s = min(request.wait_ms, MAX_WAIT_MS) / MILLISECONDS_PER_SECOND
        try:
            async with asyncio.timeout(wait_s):
                await record.decided.wait()
                if not record.owned:
                    return AttachReply(state=AttachState.UNKNOWN)
                if request.digest and request.digest != record.digest:
                    return AttachReply(state=AttachState.CONFLICT)
                await record.answered.wait()
        except TimeoutError:
            return AttachReply(state=AttachState.PENDING)
        return _answered(request, record.answer)

    return attach


def _answered(request: AttachRequest, answer: Answer | None) -> AttachReply:
    if answer is None:
        return AttachReply(state=AttachState.UNKNOWN)
    begin = request.offset_bytes
    return AttachReply(
        state=AttachState.ANSWERED,
        status=answer.status,
        body=answer.body[begin : begin + MAX_PART_BYTES],
        size_bytes=len(answer.body),
    )
