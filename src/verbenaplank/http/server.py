"""HTTP server that runs in the event loop of its program."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Self

import uvicorn

from verbenaplank.http.listener import BACKLOG
from verbenaplank.http.listener import KEEP_ALIVE_S
from verbenaplank.http.listener import open_listener
from verbenaplank.rpc.address import Address

if TYPE_CHECKING:
    from types import TracebackType

    from verbenaplank.http.asgi import Application


class HttpServer:
    """Serves an ASGI application while it is open; an async context manager.

    On exit, the server stops accepting connections and waits for the requests in
    progress, at most for ``stop_timeout_s`` in whole seconds and at least for 1 s.

    Attributes
    ----------
    address
        Address that the server listens on; once the context is open, port 0 has
        been replaced by the port that the system chose.
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
        # The public ``Server.serve`` would replace the program's signal handlers.
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
        """Stop accepting connections and wait for the requests in progress."""
        self._server.should_exit = True
        if self._serving is not None:
            await self._serving
