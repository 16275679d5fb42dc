from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from verbenaplank.connections.listener import open_listener
from verbenaplank.rpc.address import Address

if TYPE_CHECKING:
    from asyncio import StreamReader
    from asyncio import StreamWriter


async def test_accepted_connections_have_nagles_algorithm_turned_off() -> None:
    """Guards against answers that wait for a delayed acknowledgement.

    asyncio sets ``TCP_NODELAY`` only if the listener was created with the protocol
    TCP; without it, the second write of an answer is delayed.
    """
    options: asyncio.Queue[int] = asyncio.Queue()

    async def report_option(reader: StreamReader, writer: StreamWriter) -> None:
        connection = writer.get_extra_info("socket")
        await options.put(connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        writer.close()

    listener = open_listener(Address("127.0.0.1", 0))
    async with await asyncio.start_server(report_option, sock=listener):
        _, writer = await asyncio.open_connection(*listener.getsockname())
        assert await options.get() != 0
        writer.close()
