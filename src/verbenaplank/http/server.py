"""Runs an HTTP interface in the event loop of its program."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING
from typing import Self

import uvicorn

from verbenaplank.rpc.address import Address

if TYPE_CHECKING:
    from types import TracebackType

    from verbenaplank.http.asgi import Application

BACKLOG = 2048
KEEP_ALIVE_S = 75


class HttpServer:
    """Serves an ASGI application for as long as its context lasts.

    The end of the context accepts no further connection and waits until the
    requests in progress are answered.

    Attributes
    ----------
    address
        Where it listens; a port 0 has been replaced by the chosen one.
    """

    def __init__(
        self, application: Application, address: Address, stop_timeout_s: float
    ) -> None:
        config = uvicorn.Config(
            application,
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            backlog=BACKLOG,
            timeout_keep_alive=KEEP_ALIVE_S,
            timeout_graceful_shutdown=max(1, round(stop_timeout_s)),
        )
        self.address = address
        self._server = uvicorn.Server(config)
        self._serving: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        listener = open_listener(self.address)
        self.address = Address(self.address.host, listener.getsockname()[1])
        # ``Server.serve`` installs signal handlers, which belong to the program.
        serving = self._server._serve(sockets=[listener])
        self._serving = asyncio.create_task(serving)
        while not self._server.started:
            if self._serving.done():
                await self._serving
                raise OSError("the HTTP server did not start")
            await asyncio.sleep(0)
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Accept no further connection; wait for the requests in progress."""
        self._server.should_exit = True
        if self._serving is not None:
            await self._serving


def open_listener(address: Address) -> socket.socket:
    """Return a bound socket whose connections send small answers at once.

    asyncio turns Nagle's algorithm off only on sockets that name TCP as their
    protocol; with it, the second write of an answer waits for a delayed
    acknowledgement of the first.

    Raises
    ------
    OSError
        If the address cannot be listened on.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address.host, address.port))
    listener.setblocking(False)
    return listener
