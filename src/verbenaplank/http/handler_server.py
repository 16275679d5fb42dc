"""HTTP server for a handler, which runs in the event loop of its program."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING
from typing import Self

from verbenaplank.connections.client_connections import ClientConnections
from verbenaplank.connections.listener import ACCEPTED_TOGETHER
from verbenaplank.connections.listener import BACKLOG
from verbenaplank.connections.listener import KEEP_ALIVE_S
from verbenaplank.connections.listener import open_listener
from verbenaplank.http.connection import ConnectionSettings
from verbenaplank.http.connection import HttpConnection
from verbenaplank.http.refusals import RefusalResponse
from verbenaplank.http.refusals import text_refusal
from verbenaplank.rpc.address import Address
from verbenaplank.settings.clients import ClientSettings

if TYPE_CHECKING:
    from types import TracebackType

    from verbenaplank.http.limits import ReadLimits
    from verbenaplank.http.messages import Handler

logger = logging.getLogger(__name__)


class HandlerServer:
    """Serves a handler while it is open; an async context manager.

    A handler is cancelled if its client disconnects.  If it raises an exception, the
    client gets status 502.  On exit, the server stops accepting connections and waits
    for the requests in progress.

    Parameters
    ----------
    read_limits
        Returns the limits of requests; one with a larger head gets status 431, one
        with a larger body status 413.
    stop_timeout_s
        Longest wait for the requests in progress, in seconds; at least 1.
    keep_alive_s
        How long a connection without requests stays open, in seconds.
    clients
        Limits the connections and their memory; by default, those of this server.
    refusal_response
        Returns the response of a refusal for which no handler is asked.

    Attributes
    ----------
    address
        Address that the server listens on; once the context is open, port 0 has
        been replaced by the port that the system chose.
    """

    def __init__(
        self,
        handler: Handler,
        read_limits: ReadLimits,
        address: Address,
        stop_timeout_s: float,
        keep_alive_s: float = KEEP_ALIVE_S,
        *,
        clients: ClientConnections | None = None,
        refusal_response: RefusalResponse = text_refusal,
    ) -> None:
        if clients is None:
            clients = ClientConnections(ClientSettings())
        self.address = address
        self._stop_timeout_s = max(1.0, stop_timeout_s)
        self._connections: set[HttpConnection] = set()
        self._all_closed = asyncio.Event()
        self._settings = ConnectionSettings(
            handler=handler,
            read_limits=read_limits,
            keep_alive_s=keep_alive_s,
            clients=clients,
            refusal_response=refusal_response,
            on_close=self._remove,
        )
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        listener = open_listener(self.address)
        self.address = Address(self.address.host, listener.getsockname()[1])
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._new_connection, sock=listener, backlog=ACCEPTED_TOGETHER
        )
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
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.stop()
        try:
            async with asyncio.timeout(self._stop_timeout_s):
                await self._wait_all_closed()
        except TimeoutError:
            count = len(self._connections)
            logger.error("requests in progress cancelled", extra={"count": count})
            for connection in tuple(self._connections):
                connection.cancel()

    async def _wait_all_closed(self) -> None:
        while self._connections:
            self._all_closed.clear()
            await self._all_closed.wait()

    def _new_connection(self) -> HttpConnection:
        connection = HttpConnection(self._settings)
        self._connections.add(connection)
        return connection

    def _remove(self, connection: HttpConnection) -> None:
        self._connections.discard(connection)
        if not self._connections:
            self._all_closed.set()
