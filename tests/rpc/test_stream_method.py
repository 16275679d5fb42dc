from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import attrs
import pytest
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from verbenaplank.protocol.peer import CancelReply
from verbenaplank.protocol.peer import CancelRequest
from verbenaplank.protocol.work import FromAgent
from verbenaplank.protocol.work import LoadReport
from verbenaplank.protocol.work import Revoke
from verbenaplank.protocol.work import ToAgent
from verbenaplank.rpc.address import Address
from verbenaplank.rpc.endpoint import open_channel
from verbenaplank.rpc.endpoint import serve
from verbenaplank.rpc.method import StreamMethod
from verbenaplank.rpc.services import CANCEL
from verbenaplank.rpc.services import WORK

if TYPE_CHECKING:
    from grpclib.client import Channel
    from grpclib.server import Stream

    from verbenaplank.rpc.method import Service

ANY_PORT = Address("127.0.0.1", 0)


@attrs.frozen
class MistypedMessage:
    revokes: int


MISTYPED_WORK = StreamMethod(WORK.path, MistypedMessage, FromAgent)


async def _count_revokes(stream: Stream[ToAgent, FromAgent]) -> None:
    """Answer each message with the number of its revokes as the running load."""
    async for message in stream:
        load = LoadReport(running=len(message.revokes), queued=0)
        await stream.send_message(FromAgent(load=load))


async def _cancel(request: CancelRequest) -> CancelReply:
    return CancelReply(cancelled=request.job_id == "known")


async def _send_mistyped_message(channel: Channel) -> None:
    async with MISTYPED_WORK.open(channel) as stream:
        await stream.send_message(MistypedMessage(1), end=True)
        await stream.recv_message()


def _services() -> list[Service]:
    return [WORK.create_service(_count_revokes), CANCEL.create_service(_cancel)]


async def test_stream_carries_messages_both_ways() -> None:
    revoke = Revoke(dispatch_id=1, job_id="j", task_index=0)
    async with serve(_services(), ANY_PORT) as address:
        with open_channel(address) as channel:
            async with WORK.open(channel) as stream:
                await stream.send_message(ToAgent(revokes=(revoke, revoke)))
                reply = await stream.recv_message()
                await stream.end()

    assert reply == FromAgent(load=LoadReport(running=2, queued=0))


async def test_invalid_message_ends_only_its_own_stream() -> None:
    """Guard against one bad client that breaks other calls on the connection."""
    async with serve(_services(), ANY_PORT) as address:
        with open_channel(address) as channel:
            with pytest.raises(GRPCError) as error:
                await _send_mistyped_message(channel)
            reply = await CANCEL.call(channel, CancelRequest(job_id="known"))

    assert error.value.status is Status.INVALID_ARGUMENT
    assert reply.cancelled


async def test_closed_server_ends_the_streams_of_its_clients() -> None:
    """An agent that serves a restarted backend server was silent on its old streams."""
    async with AsyncExitStack() as stack:
        serving = await stack.enter_async_context(AsyncExitStack())
        address = await serving.enter_async_context(serve(_services(), ANY_PORT))
        channel = stack.enter_context(open_channel(address))
        stream = await stack.enter_async_context(WORK.open(channel))
        await stream.send_message(ToAgent())
        await stream.recv_message()

        await serving.aclose()

        with pytest.raises(StreamTerminatedError):
            await asyncio.wait_for(stream.recv_message(), timeout=2.0)
        stack.push_async_exit(_suppress_termination)


async def _suppress_termination(
    exception_type: type[BaseException] | None, *_: object
) -> bool:
    return exception_type is not None and issubclass(
        exception_type, StreamTerminatedError
    )
