"""Stand-in for the platform's executor that takes little processor time."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Any

import httptools
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.rpc.address import Address

FIRST_CLOCK_MS = 1_000
BORN_MS = 1_700


class StandInExecutor:
    """Serves the calls ``run-start``, ``run-stop`` and ``hold`` of one executor.

    A repeated start request is answered like the first one and has no effect.

    Parameters
    ----------
    on_start
        Called with the name of each task that starts.
    """

    def __init__(self, on_start: Callable[[str], None]) -> None:
        self._known_runs: set[tuple[str, int]] = set()
        self._on_start = on_start
        self._fence = 0
        self._began_s = time.monotonic()
        self._active: dict[tuple[str, int], tuple[float, float]] = {}
        self._ended: list[list[Any]] = []
        self._ends = 0
        self._holds: dict[_Connection, tuple[asyncio.TimerHandle, dict[str, Any]]] = {}

    async def serve(self, address: Address) -> asyncio.Server:
        """Listen at an address."""
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: _Connection(self._handle), address.host, address.port
        )

    def _handle(self, connection: _Connection, path: str, body: dict[str, Any]) -> None:
        if body["fence"] < self._fence:
            connection.answer(409, self._fields(reason="fence"))
            return
        self._fence = body["fence"]
        if path == "/v1/hold":
            self._hold(connection, body)
            return
        run = (body["task"], body["run-id"])
        if path == "/v1/run-start":
            if run not in self._known_runs:
                self._start(run, float(body["spec"]))
        else:
            self._end(run, "stopped")
        connection.answer(200, self._fields())

    def _start(self, run: tuple[str, int], run_time_s: float) -> None:
        self._known_runs.add(run)
        self._on_start(run[0])
        self._active[run] = (time.monotonic(), run_time_s)
        loop = asyncio.get_running_loop()
        loop.call_later(run_time_s, self._end, run, "done")

    def _end(self, run: tuple[str, int], outcome: str) -> None:
        if self._active.pop(run, None) is None:
            return
        self._ends += 1
        self._ended.append([self._ends, *run, outcome, ""])
        for connection in tuple(self._holds):
            self._release(connection)

    def _hold(self, connection: _Connection, body: dict[str, Any]) -> None:
        self._ended = [row for row in self._ended if row[0] > body["last-seen"]]
        wait_s = body.get("wait-ms", 0) / 1_000
        timer = asyncio.get_running_loop().call_later(wait_s, self._release, connection)
        self._holds[connection] = (timer, body)
        if self._ended or not wait_s:
            self._release(connection)

    def _release(self, connection: _Connection) -> None:
        timer, _ = self._holds.pop(connection)
        timer.cancel()
        now_s = time.monotonic()
        active = [
            [*run, "", min(99, int(100 * (now_s - began_s) / run_time_s)), 0]
            for run, (began_s, run_time_s) in self._active.items()
        ]
        connection.answer(200, self._fields(active=active, finished=self._ended))

    def _fields(self, **fields: Any) -> dict[str, Any]:
        clock_ms = round((time.monotonic() - self._began_s) * 1_000) + FIRST_CLOCK_MS
        return {"clock-ms": clock_ms, "born": BORN_MS, **fields}


class _Connection(asyncio.Protocol):
    """Connection on which an agent calls the executor."""

    def __init__(
        self, handle: Callable[[_Connection, str, dict[str, Any]], None]
    ) -> None:
        self._handle = handle
        self._parser = httptools.HttpRequestParser(self)
        self._path = ""
        self._body = bytearray()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self._path = url.decode()
        self._body.clear()

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self._handle(self, self._path, msgspec.json.decode(self._body))

    def answer(self, status: int, fields: dict[str, Any]) -> None:
        if self._transport is None:
            return
        body = msgspec.json.encode(fields)
        head = (
            f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._transport.write(head.encode() + body)
