"""HTTP/2 protocol that receives the usual data frames without the frame objects of h2.

Nearly all frames on a long-lived stream are data frames without padding or flags.  Of
such a frame, h2 builds and formats objects that take most of the processor time of a
received message.  All other frames, and data frames in an unusual state, go to h2.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from grpclib.protocol import EventsProcessor
from grpclib.protocol import H2Protocol
from h2.events import DataReceived
from h2.stream import StreamState

from verbenaplank.rpc.stream_buffer import StreamBuffer

if TYPE_CHECKING:
    from asyncio import BaseTransport
    from collections.abc import Callable

    from grpclib.config import Configuration
    from grpclib.protocol import AbstractHandler
    from grpclib.protocol import Connection
    from grpclib.protocol import Stream
    from h2.config import H2Configuration

HEADER_BYTES = 9
PREFACE_BYTES = 24
"""Length of the text that a client sends before its first frame."""

DATA_WITHOUT_FLAGS = b"\x00\x00"
RECEIVING_STATES = frozenset({StreamState.OPEN, StreamState.HALF_CLOSED_LOCAL})


class _StreamsProcessor(EventsProcessor):
    """Gives each stream a buffer that needs less processor time for each frame."""

    def __init__(
        self,
        handler: AbstractHandler,
        connection: Connection,
        on_taken: Callable[[], None],
    ) -> None:
        super().__init__(handler, connection)
        self._on_taken = on_taken

    def register(self, stream: Stream) -> Callable[[], None]:
        assert stream.id is not None
        acknowledge = partial(self.connection.ack, stream.id)
        stream.buffer = StreamBuffer(acknowledge, self._on_taken)
        return super().register(stream)


class DataFrameProtocol(H2Protocol):
    """Splits the received bytes into frames, and keeps the order of the frames."""

    def __init__(
        self,
        handler: AbstractHandler,
        config: Configuration,
        h2_config: H2Configuration,
    ) -> None:
        super().__init__(handler, config, h2_config)
        self._preface_left = 0 if h2_config.client_side else PREFACE_BYTES
        self._partial_frame = b""
        self._passes_all_on = False

    def connection_made(self, transport: BaseTransport) -> None:
        """Handle an open connection."""
        super().connection_made(transport)
        self.processor = _StreamsProcessor(self.handler, self.connection, self.report)
        self._h2 = self.connection._connection

    def data_received(self, data: bytes) -> None:
        """Handle received bytes, which need not end with the end of a frame."""
        if self._preface_left:
            preface, data = data[: self._preface_left], data[self._preface_left :]
            self._preface_left -= len(preface)
            super().data_received(preface)
        if self._passes_all_on:
            super().data_received(data)
            return
        received = self._partial_frame + data
        position = others_from = 0
        while len(received) - position >= HEADER_BYTES:
            length = int.from_bytes(received[position : position + 3], "big")
            if length > self._h2.max_inbound_frame_size:
                self._passes_all_on = True
                super().data_received(received[others_from:])
                return
            end = position + HEADER_BYTES + length
            if end > len(received):
                break
            if received[position + 3 : position + 5] == DATA_WITHOUT_FLAGS:
                if others_from < position:
                    super().data_received(received[others_from:position])
                is_handled = self._receive_data(received[position:end])
                others_from = end if is_handled else position
            position = end
        if others_from < position:
            super().data_received(received[others_from:position])
        self._partial_frame = received[position:]

    def report(self) -> None:
        """Do nothing; called when a reader has taken many bytes of a stream."""

    def _receive_data(self, frame: bytes) -> bool:
        """Pass a data frame to its stream, as h2 and grpclib do.

        Returns
        -------
        bool
            Whether the stream and the flow control windows allow it.  If not, h2
            decides what follows.
        """
        stream_id = int.from_bytes(frame[5:HEADER_BYTES], "big")
        payload = frame[HEADER_BYTES:]
        stream = self._h2.streams.get(stream_id)
        if not payload or stream is None or stream_id not in self.processor.streams:
            return False
        if stream.state_machine.state not in RECEIVING_STATES:
            return False
        if stream._expected_content_length is not None:
            return False
        size_bytes = len(payload)
        connection_window = self._h2._inbound_flow_control_window_manager
        stream_window = stream._inbound_window_manager
        if size_bytes > connection_window.current_window_size:
            return False
        if size_bytes > stream_window.current_window_size:
            return False
        connection_window.window_consumed(size_bytes)
        stream_window.window_consumed(size_bytes)
        event = DataReceived(
            stream_id=stream_id, data=payload, flow_controlled_length=size_bytes
        )
        self.processor.process_data_received(event)
        return True
