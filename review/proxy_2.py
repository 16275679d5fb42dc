"""A TCP proxy that can refuse what it carries, as a cut link that is not silent."""

from __future__ import annotations

import asyncio

CHUNK_BYTES = 64 * 1024


class Proxy:
    """Forwards connections from one address to another while it is open."""

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen and forward."""
        self._server = await asyncio.start_server(self._accept, *self._listen)

    def refuse(self) -> None:
        """Reset all connections, and refuse further ones until :meth:`open`."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except (OSError, asyncio.CancelledError):
            writer.close()
            return
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            self._writers.add(sink)
            task = asyncio.create_task(self._pump(source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await source.read(CHUNK_BYTES):
                sink.write(data)
                await sink.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(sink)
            sink.close()
