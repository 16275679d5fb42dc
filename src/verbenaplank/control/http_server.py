"""Runs the administration's HTTP in the event loop of the control instance."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import uvicorn

from verbenaplank.rpc.address import Address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from litestar import Litestar

STOP_TIMEOUT_S = 10


@asynccontextmanager
async def serve_http(application: Litestar, address: Address) -> AsyncIterator[Address]:
    """Serve HTTP; the end waits for the requests in progress.

    Yields
    ------
    Address
        Where the server listens; a port 0 has been replaced by the chosen one.

    Raises
    ------
    OSError
        If the address cannot be listened on.
    """
    config = uvicorn.Config(
        application,
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        timeout_graceful_shutdown=STOP_TIMEOUT_S,
    )
    server = uvicorn.Server(config)
    listener = socket.create_server((address.host, address.port))
    # ``Server.serve`` would install signal handlers, which the program owns.
    serving = asyncio.create_task(server._serve(sockets=[listener]))
    try:
        yield Address(address.host, listener.getsockname()[1])
    finally:
        server.should_exit = True
        await serving
