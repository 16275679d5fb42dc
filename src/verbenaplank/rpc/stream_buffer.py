"""Received bytes of one gRPC stream, without a queue entry for each frame."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from grpclib.protocol import Buffer

if TYPE_CHECKING:
    from collections.abc import Callable

ACKNOWLEDGED_TOGETHER_BYTES = 64 * 1024
"""Number of consumed bytes that are acknowledged to the sender together.

It is small beside a flow control window, so that no sender waits for it.
"""

COUNTED_BYTES = 4 * 1024
"""Unread bytes of a stream from which on they count towards the limit of a server.

Nearly all messages are smaller, and would be counted only to be taken at once.
"""


def ignore_taken() -> None:
    """Do nothing; the default for ``on_taken``."""


class StreamBuffer(Buffer):
    """Holds received bytes until the stream's reader takes them.

    Only bytes that the reader has taken are acknowledged, so that a slow reader slows
    the sender down.

    Parameters
    ----------
    acknowledge
        Tells the sender that it may send so many more bytes.
    on_taken
        Called when the reader has taken many bytes at once.
    """

    def __init__(
        self,
        acknowledge: Callable[[int], None],
        on_taken: Callable[[], None] = ignore_taken,
    ) -> None:
        super().__init__(acknowledge)
        self._on_taken = on_taken
        self._acknowledge = acknowledge
        self._received = bytearray()
        self._taken_bytes = 0
        self._has_ended = False
        self._changed = asyncio.Event()

    def add(self, data: bytes, ack_size: int) -> None:
        """Add received bytes; the padding of their frame counts as taken."""
        self._received += data
        self._taken_bytes += ack_size - len(data)
        self._changed.set()

    def eof(self) -> None:
        """Handle the end of the stream."""
        self._has_ended = True
        self._changed.set()

    async def read(self, size: int) -> bytes:
        """Wait for ``size`` bytes and take them; empty after the end of the stream.

        Raises
        ------
        AssertionError
            If the stream ends with fewer bytes, as in the library.
        """
        while len(self._received) < size and not self._has_ended:
            self._changed.clear()
            await self._changed.wait()
        if len(self._received) < size:
            if not self._received:
                return b""
            raise AssertionError("Received less data than expected")
        taken = bytes(self._received[:size])
        del self._received[:size]
        self._taken_bytes += size
        if size >= COUNTED_BYTES:
            self._on_taken()
        if self._taken_bytes >= ACKNOWLEDGED_TOGETHER_BYTES:
            self._acknowledge(self._taken_bytes)
            self._taken_bytes = 0
        return taken

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes that the reader has not taken, or 0 if few."""
        size_bytes = len(self._received)
        return size_bytes if size_bytes >= COUNTED_BYTES else 0

    def discard(self) -> None:
        """Forget what was received, as the stream has no reader any more."""
        self._received.clear()

    def unacked_size(self) -> int:
        """Return the number of bytes that are not acknowledged, at the stream's end."""
        return self._taken_bytes + len(self._received)
