"""Server side of an RPC connection, whose memory and number are limited."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.connections.client_connections import Activity
from verbenaplank.connections.client_connections import ClientConnections
from verbenaplank.rpc.data_frames import DataFrameProtocol
from verbenaplank.rpc.stream_buffer import StreamBuffer

if TYPE_CHECKING:
    from asyncio import BaseTransport
    from collections.abc import Iterator

    from grpclib.config import Configuration
    from grpclib.protocol import AbstractHandler
    from h2.config import H2Configuration


class ServerConnection(DataFrameProtocol):
    """An accepted connection that reports what its streams hold.

    A connection with a stream is not closed to make room for another one, but it is
    if messages that were not received as a whole take too much memory.
    """

    def __init__(
        self,
        handler: AbstractHandler,
        config: Configuration,
        h2_config: H2Configuration,
        clients: ClientConnections,
    ) -> None:
        super().__init__(handler, config, h2_config)
        self._clients = clients
        self._last_report: tuple[Activity, int] | None = None

    def connection_made(self, transport: BaseTransport) -> None:
        """Handle a connection that was accepted."""
        super().connection_made(transport)
        if not self._clients.add(self):
            self.processor.close("too many connections")

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handle a connection that was closed by either side."""
        self._clients.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        super().data_received(data)
        self.report()

    def report(self) -> None:
        """Report what the connection does and holds."""
        if self.connection.is_closing():
            return
        held_bytes = sum(buffer.held_bytes for buffer in self._buffers())
        if held_bytes:
            activity = Activity.HANDLING_WITH_INPUT
        elif self.processor.streams:
            activity = Activity.HANDLING
        else:
            activity = Activity.IDLE
        report = (activity, held_bytes)
        if report != self._last_report:
            self._last_report = report
            self._clients.update(self, activity, held_bytes)

    def shed(self) -> None:
        """Close the connection and forget what was received."""
        for buffer in self._buffers():
            buffer.discard()
        self.processor.close("too many connections or unread bytes")

    def _buffers(self) -> Iterator[StreamBuffer]:
        for stream in self.processor.streams.values():
            if isinstance(stream.buffer, StreamBuffer):
                yield stream.buffer
