from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import pytest
from grpclib.exceptions import StreamTerminatedError

from verbenaplank.protocol.peer import RoutedCancelReply
from verbenaplank.protocol.peer import RoutedCancelRequest
from verbenaplank.rpc.address import Address
from verbenaplank.rpc.endpoint import open_channel
from verbenaplank.rpc.endpoint import serve
from verbenaplank.rpc.services import CANCEL_ROUTED
from verbenaplank.settings.clients import ClientSettings

if TYPE_CHECKING:
    from asyncio import StreamReader
    from asyncio import StreamWriter

    from grpclib.client import Channel

ANY_PORT = Address("127.0.0.1", 0)
REQUEST = RoutedCancelRequest(jobs=())


async def _answer(request: RoutedCancelRequest) -> RoutedCancelReply:
    return RoutedCancelReply(cancelled=(True,))


async def _connect(address: Address) -> tuple[StreamReader, StreamWriter]:
    return await asyncio.open_connection(address.host, address.port)


async def _is_answered(channel: Channel) -> bool:
    return (await CANCEL_ROUTED.call(channel, REQUEST, 5.0)).cancelled == (True,)


async def test_idle_connection_makes_room_for_a_new_one() -> None:
    services = [CANCEL_ROUTED.create_service(_answer)]
    clients = ClientSettings(max_connections=2)
    async with AsyncExitStack() as stack, asyncio.timeout(20):
        address = await stack.enter_async_context(
            serve(services, ANY_PORT, None, clients)
        )
        silent = [await _connect(address) for _ in range(3)]
        await silent[0][0].read()
        assert silent[0][0].at_eof()
        assert await _is_answered(stack.enter_context(open_channel(address)))
        for _, writer in silent:
            writer.transport.abort()


async def test_connection_with_a_stream_is_not_closed_for_a_new_one() -> None:
    """Guards against members that lose their streams when strangers connect."""
    may_answer = asyncio.Event()
    begun = asyncio.Event()

    async def answer_late(request: RoutedCancelRequest) -> RoutedCancelReply:
        begun.set()
        await may_answer.wait()
        return RoutedCancelReply(cancelled=(True,))

    services = [CANCEL_ROUTED.create_service(answer_late)]
    clients = ClientSettings(max_connections=1)
    async with AsyncExitStack() as stack, asyncio.timeout(20):
        address = await stack.enter_async_context(
            serve(services, ANY_PORT, None, clients)
        )
        first = stack.enter_context(open_channel(address))
        answering = asyncio.create_task(_is_answered(first))
        await begun.wait()
        second = stack.enter_context(open_channel(address))
        with pytest.raises((OSError, StreamTerminatedError)):
            await CANCEL_ROUTED.call(second, REQUEST, 5.0)
        may_answer.set()
        assert await answering
