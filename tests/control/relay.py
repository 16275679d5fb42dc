from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

CHUNK_BYTES = 65_536


class Relay:
    """A TCP proxy that can drop all data without closing any connection."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        self.silent = False

    async def __aenter__(self) -> Relay:
        self._server = await asyncio.start_server(self._serve, sock=self._listener)
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        with suppress(OSError, asyncio.CancelledError):
            upstream = await asyncio.open_connection("127.0.0.1", self._target_port)
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._pipe(reader, upstream[1]))
                    group.create_task(self._pipe(upstream[0], writer))
            finally:
                upstream[1].close()
        writer.close()

    async def _pipe(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if not self.silent:
                    writer.write(data)
                    await writer.drain()
        writer.close()
