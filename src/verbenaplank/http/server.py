"""HTTP server of an ASGI application, which runs in the event loop of its program."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import Self
from typing import cast

import uvicorn

from verbenaplank.connections.listener import ACCEPTED_TOGETHER
from verbenaplank.connections.listener import BACKLOG
from verbenaplank.connections.listener import KEEP_ALIVE_S
from verbenaplank.connections.listener import open_listener
from verbenaplank.http.asgi import asgi_handler
from verbenaplank.http.connection import ConnectionSettings
from verbenaplank.http.connection import HttpConnection
from verbenaplank.rpc.address import Address

if TYPE_CHECKING:
    from types import TracebackType

    from uvicorn.server import ServerState

    from verbenaplank.connections.client_connections import ClientConnections
    from verbenaplank.http.asgi import Application
    from verbenaplank.http.limits import ReadLimits
    from verbenaplank.http.refusals import RefusalResponse


class HttpServer:
    """Serves an ASGI application while it is open; an async context manager.

    On exit, the server stops accepting connections and waits for the requests in
    progress, at most for ``stop_timeout_s`` in whole seconds and at least for 1 s.
    uvicorn starts and stops it; the connections are the product's own, as those of
    uvicorn limit neither heads nor the requests that wait.

    Parameters
    ----------
    read_limits
        Returns the limits of requests.
    clients
        Limits the connections and their memory.
    refusal_response
        Returns the response of a refusal for which the application is not asked.

    Attributes
    ----------
    address
        Address that the server listens on; once the context is open, port 0 has
        been replaced by the port that the system chose.
    """

    def __init__(
        self,
        application: Application,
        address: Address,
        stop_timeout_s: float,
        *,
        read_limits: ReadLimits,
        clients: ClientConnections,
        refusal_response: RefusalResponse,
    ) -> None:
        config = uvicorn.Config(
            application,
            http=cast("type[asyncio.Protocol]", self._new_connection),
            lifespan="off",
            log_config=None,
            backlog=ACCEPTED_TOGETHER,
            timeout_graceful_shutdown=max(1, round(stop_timeout_s)),
        )
        self.address = address
        self._server = uvicorn.Server(config)
        self._settings = ConnectionSettings(
            handler=asgi_handler(application, self._server.server_state.tasks),
            read_limits=read_limits,
            keep_alive_s=KEEP_ALIVE_S,
            clients=clients,
            refusal_response=refusal_response,
            on_close=self._remove,
        )
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
        listener.listen(BACKLOG)
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

    def _new_connection(
        self, *, server_state: ServerState, **_: object
    ) -> HttpConnection:
        """Return a connection; uvicorn calls this for each client."""
        connection = HttpConnection(self._settings)
        cast("set[Any]", server_state.connections).add(connection)
        return connection

    def _remove(self, connection: HttpConnection) -> None:
        cast("set[Any]", self._server.server_state.connections).discard(connection)
