from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from typing import Any

import attrs
import pytest

from verbenaplank.connections.client_connections import ClientConnections
from verbenaplank.http.connection_input import MAX_UNANSWERED
from verbenaplank.http.handler_server import HandlerServer
from verbenaplank.http.limits import HttpLimits
from verbenaplank.http.messages import Request
from verbenaplank.http.messages import Response
from verbenaplank.rpc.address import Address
from verbenaplank.settings.clients import ClientSettings

if TYPE_CHECKING:
    from asyncio import StreamReader
    from asyncio import StreamWriter
    from collections.abc import AsyncIterator

MAX_HEAD_BYTES = 16 * 1024
LIMITS = HttpLimits(max_body_bytes=100, max_head_bytes=MAX_HEAD_BYTES)


class Desk:
    """A handler that answers with the path and the body, once it may."""

    def __init__(self) -> None:
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.begun: asyncio.Queue[str] = asyncio.Queue()
        self.cancelled: asyncio.Queue[str] = asyncio.Queue()

    async def handle(self, request: Request) -> Response:
        await self.begun.put(request.path)
        try:
            await self.may_answer.wait()
        except asyncio.CancelledError:
            self.cancelled.put_nowait(request.path)
            raise
        if request.path == "/fault":
            raise ValueError("fault")
        closes = {"Connection": "close"} if request.path == "/close" else {}
        text = f"{request.method} {request.path} {request.headers.get('key')} "
        body = text.encode() + request.body
        return Response(status=200, body=body, headers={"Content-Type": "x", **closes})


@asynccontextmanager
async def serving(
    desk: Desk, limits: HttpLimits = LIMITS, **changes: Any
) -> AsyncIterator[HandlerServer]:
    server = HandlerServer(
        desk.handle, lambda: limits, Address("127.0.0.1", 0), 1.0, **changes
    )
    async with asyncio.timeout(20), server:
        yield server


async def connect(server: HandlerServer) -> tuple[StreamReader, StreamWriter]:
    return await asyncio.open_connection(server.address.host, server.address.port)


async def answer(reader: StreamReader) -> tuple[int, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = dict(line.split(": ", 1) for line in head[1:-2])
    body = await reader.readexactly(int(headers["content-length"]))
    return int(head[0].split()[1]), headers, body


async def test_kept_connection_serves_requests_one_after_the_other() -> None:
    """Guards against state of one request that leaks into the next."""
    async with serving(Desk()) as server:
        reader, writer = await connect(server)
        writer.write(b"PUT /%61?b HTTP/1.1\r\nKey:  v \r\nContent-Length: 2\r\n\r\nab")
        status, headers, body = await answer(reader)
        assert (status, body) == (200, b"PUT /a v ab")
        assert headers.keys() == {"date", "content-length", "content-type"}
        writer.write(b"PUT /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nd\r\n")
        await writer.drain()
        writer.write(b"2\r\nef\r\n0\r\n\r\n")
        assert (await answer(reader))[2] == b"PUT /c None def"
        writer.close()


async def test_pipelined_requests_are_answered_in_order_and_one_at_a_time() -> None:
    """Guards against answers that overtake each other on a connection."""
    desk = Desk()
    desk.may_answer.clear()
    async with serving(desk) as server:
        reader, writer = await connect(server)
        count = 2 * MAX_UNANSWERED
        writer.write(b"".join(b"GET /%d HTTP/1.1\r\n\r\n" % n for n in range(count)))
        writer.write(b"PUT /big HTTP/1.1\r\nContent-Length: 200\r\n\r\n" + b"x" * 200)
        assert await desk.begun.get() == "/0"
        await asyncio.sleep(0.05)
        assert desk.begun.empty()
        desk.may_answer.set()
        for number in range(count):
            assert (await answer(reader))[2] == b"GET /%d None " % number
        assert (await answer(reader))[0] == 413
        writer.close()


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /\xff HTTP/1.1\r\n\r\n", 400),
        (b"GET /a HTTP/1.0\r\n\r\n", 200),
        (b"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n", 200),
        (b"GET /close HTTP/1.1\r\n\r\n", 200),
    ],
)
async def test_connection_is_closed_after_last_answer(
    request_bytes: bytes, status: int
) -> None:
    """Guards against callers that wait for the end of a response."""
    async with serving(Desk()) as server:
        reader, writer = await connect(server)
        writer.write(request_bytes)
        found, headers, _ = await answer(reader)
        assert (found, headers["connection"]) == (status, "close")
        assert await reader.read() == b""
        writer.close()


async def test_connection_survives_refused_body_and_failed_handler() -> None:
    async with serving(Desk()) as server:
        reader, writer = await connect(server)
        writer.write(b"PUT /a HTTP/1.1\r\nContent-Length: 250\r\n\r\n" + b"x" * 150)
        assert (await answer(reader))[0] == 413
        writer.write(b"x" * 100 + b"GET /fault HTTP/1.1\r\n\r\n")
        assert (await answer(reader))[0] == 502
        writer.write(b"HEAD /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"content-length: 13\r\n" in head
        assert (await answer(reader))[2] == b"GET /b None "
        writer.close()


async def test_client_that_asks_first_is_told_to_send_the_body() -> None:
    """Guards against clients that wait a second before they send a large body."""
    async with serving(Desk()) as server:
        reader, writer = await connect(server)
        writer.write(
            b"PUT /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n"
        )
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(b"b")
        assert (await answer(reader))[2] == b"PUT /a None b"
        writer.close()


async def test_handler_is_cancelled_when_its_client_disconnects() -> None:
    """Guards against jobs that run although nobody waits for them."""
    desk = Desk()
    desk.may_answer.clear()
    async with serving(desk) as server:
        _, writer = await connect(server)
        writer.write(b"GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n")
        assert await desk.begun.get() == "/a"
        writer.close()
        assert await desk.cancelled.get() == "/a"
        assert desk.begun.empty()


async def test_idle_connection_is_closed() -> None:
    async with serving(Desk(), keep_alive_s=0.05) as server:
        reader, writer = await connect(server)
        writer.write(b"GET /a HTTP/1.1\r\n\r\n")
        await answer(reader)
        assert await reader.read() == b""
        writer.close()


async def test_malformed_request_is_not_answered_before_earlier_ones() -> None:
    """Guards against a status 400 that the client takes for an earlier request."""
    desk = Desk()
    desk.may_answer.clear()
    async with serving(desk) as server:
        reader, writer = await connect(server)
        writer.write(b"GET /a HTTP/1.1\r\n\r\n")
        assert await desk.begun.get() == "/a"
        writer.write(b"nonsense\r\n\r\n")
        assert await reader.read() == b""
        writer.close()


async def test_connection_that_stalls_in_a_refused_body_is_closed() -> None:
    """Guards against connections that stay open after a part of a refused body."""
    async with serving(Desk(), keep_alive_s=0.2) as server:
        reader, writer = await connect(server)
        writer.write(b"PUT /a HTTP/1.1\r\nContent-Length: 250\r\n\r\n" + b"x" * 150)
        assert (await answer(reader))[0] == 413
        writer.write(b"x" * 50)
        async with asyncio.timeout(5):
            assert await reader.read() == b""
        writer.close()


async def test_stop_answers_requests_in_progress_and_closes_idle_connections() -> None:
    """Guards against a stop that interrupts a request."""
    desk = Desk()
    desk.may_answer.clear()
    async with serving(desk) as server:
        idle_reader, idle_writer = await connect(server)
        reader, writer = await connect(server)
        writer.write(b"GET /a HTTP/1.1\r\n\r\n")
        await desk.begun.get()
        closing = asyncio.create_task(server.close())
        assert await idle_reader.read() == b""
        desk.may_answer.set()
        status, headers, _ = await answer(reader)
        assert (status, headers["connection"]) == (200, "close")
        await closing
        with pytest.raises(ConnectionError):
            await connect(server)
        writer.close()
        idle_writer.close()


async def test_stop_cancels_requests_that_outlast_its_timeout() -> None:
    """Guards against a program that is killed because a handler never ends."""
    desk = Desk()
    desk.may_answer.clear()
    async with serving(desk) as server:
        reader, writer = await connect(server)
        writer.write(b"GET /a HTTP/1.1\r\n\r\n")
        await desk.begun.get()
        await server.close()
        assert (await answer(reader))[0] == 500
        assert await reader.read() == b""
        writer.close()


async def test_client_that_reads_no_answers_is_not_read_from() -> None:
    """Guards against memory that grows with the requests of a stalled client."""
    async with serving(Desk()) as server:
        _, writer = await connect(server)
        request = b"GET /" + b"x" * 8_000 + b" HTTP/1.1\r\n\r\n"
        writer.transport.set_write_buffer_limits(0)
        for _ in range(10_000):
            writer.write(request)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(writer.drain(), 1.0)
        writer.transport.abort()


@pytest.mark.parametrize(
    "start",
    [
        b"GET /a HTTP/1.1\r\na: ",
        b"GET /",
        b"PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        b"PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\nc: ",
    ],
)
async def test_head_without_end_is_refused_at_its_limit(start: bytes) -> None:
    """Guards against memory that grows with what no request has a use for."""
    async with serving(Desk()) as server:
        reader, writer = await connect(server)
        writer.write(start + b"x" * (MAX_HEAD_BYTES + 4_096))
        status, headers, _ = await answer(reader)
        assert (status, headers["connection"]) == (431, "close")
        writer.transport.abort()


async def test_empty_lines_before_a_request_are_refused_at_the_limit() -> None:
    async with serving(Desk()) as server:
        reader, writer = await connect(server)
        writer.write(b"\r\n" * 10 + b"GET /a HTTP/1.1\r\n\r\n")
        assert (await answer(reader))[0] == 200
        writer.write(b"\r\n" * MAX_HEAD_BYTES)
        assert (await answer(reader))[0] == 431
        writer.transport.abort()


@pytest.mark.parametrize(("excess_bytes", "expected"), [(0, 200), (1, 431)])
async def test_head_is_served_up_to_its_limit(excess_bytes: int, expected: int) -> None:
    async with serving(Desk()) as server:
        reader, writer = await connect(server)
        start, end = b"GET /a HTTP/1.1\r\na:", b"\r\n\r\n"
        padding = MAX_HEAD_BYTES + excess_bytes - len(start) - len(end)
        writer.write(start + b"x" * padding + end)
        assert (await answer(reader))[0] == expected
        writer.transport.abort()


async def test_body_in_many_chunks_is_no_head() -> None:
    """Guards against a limit that an ordinary chunked body meets."""
    async with serving(Desk()) as server:
        reader, writer = await connect(server)
        extension = b";" + b"x" * 1_000
        chunks = (b"1" + extension + b"\r\nb\r\n") * 100
        head = b"PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head + chunks + b"0\r\n\r\n")
        assert (await answer(reader))[0] == 200
        writer.transport.abort()


def _few_clients(max_connections: int, max_bytes: int = 1_000_000) -> ClientConnections:
    return ClientConnections(
        ClientSettings(max_connections=max_connections, max_memory_mb=max_bytes / 1e6)
    )


async def test_unfinished_request_is_refused_when_the_memory_is_used_up() -> None:
    """Guards against clients that stop before the end and keep their memory."""
    async with serving(Desk(), clients=_few_clients(9, max_bytes=250)) as server:
        stalled = [await connect(server) for _ in range(3)]
        head = b"PUT /a HTTP/1.1\r\nContent-Length: 100\r\n\r\n"
        for _, writer in stalled:
            writer.write(head + b"x" * 90)
        status, headers, _ = await answer(stalled[0][0])
        assert (status, headers["retry-after"]) == (503, "1")
        assert await stalled[0][0].read() == b""
        stalled[2][1].write(b"x" * 10)
        assert (await answer(stalled[2][0]))[0] == 200
        for _, writer in stalled:
            writer.transport.abort()


async def test_input_behind_a_handled_request_is_dropped_but_not_its_answer() -> None:
    desk = Desk()
    desk.may_answer.clear()
    clients = _few_clients(9, max_bytes=100)
    async with serving(desk, clients=clients) as server:
        reader, writer = await connect(server)
        writer.write(b"GET /a HTTP/1.1\r\n\r\n")
        assert await desk.begun.get() == "/a"
        writer.write(b"PUT /b HTTP/1.1\r\nContent-Length: 100\r\n\r\n" + b"x" * 99)
        while not clients.shed_count:  # noqa: ASYNC110
            await asyncio.sleep(0)
        desk.may_answer.set()
        status, headers, _ = await answer(reader)
        assert (status, headers["connection"]) == (200, "close")
        assert await reader.read() == b""
        writer.close()


async def test_idle_connection_makes_room_for_a_new_one() -> None:
    """Guards against clients that hold every connection open."""
    async with serving(Desk(), clients=_few_clients(2)) as server:
        idle = [await connect(server) for _ in range(3)]
        assert await idle[0][0].read() == b""
        reader, writer = await connect(server)
        writer.write(b"GET /a HTTP/1.1\r\n\r\n")
        assert (await answer(reader))[0] == 200
        for _, each in (*idle, (reader, writer)):
            each.transport.abort()


async def test_connection_is_refused_while_all_others_are_handled() -> None:
    desk = Desk()
    desk.may_answer.clear()
    async with serving(desk, clients=_few_clients(1)) as server:
        first_reader, first_writer = await connect(server)
        first_writer.write(b"GET /a HTTP/1.1\r\n\r\n")
        await desk.begun.get()
        reader, writer = await connect(server)
        assert (await answer(reader))[0] == 503
        desk.may_answer.set()
        assert (await answer(first_reader))[0] == 200
        for each in (first_writer, writer):
            each.close()


@pytest.mark.parametrize(
    "start",
    [
        b"GET /a HTTP/1.1\r\nKey: v",
        b"PUT /a HTTP/1.1\r\nContent-Length: 2\r\n\r\na",
    ],
)
async def test_request_that_stops_before_its_end_is_refused_after_a_time(
    start: bytes,
) -> None:
    """Guards against connections that stay open for good."""
    limits = attrs.evolve(LIMITS, head_timeout_s=0.1, body_timeout_s=0.1)
    async with serving(Desk(), limits) as server:
        reader, writer = await connect(server)
        writer.write(start)
        status, headers, _ = await answer(reader)
        assert (status, headers["connection"]) == (408, "close")
        assert await reader.read() == b""
        writer.close()


async def test_head_has_its_time_as_a_whole_and_a_body_between_its_pieces() -> None:
    limits = attrs.evolve(LIMITS, head_timeout_s=0.3, body_timeout_s=5.0)
    async with serving(Desk(), limits) as server:
        reader, writer = await connect(server)
        writer.write(b"PUT /a HTTP/1.1\r\nContent-Length: 2\r\n\r\na")
        await asyncio.sleep(0.5)
        writer.write(b"b")
        assert (await answer(reader))[0] == 200
        writer.write(b"\r\nGET /b HTTP/1.1\r\n")
        answering = asyncio.create_task(answer(reader))
        while not answering.done():
            writer.write(b"a: b\r\n")
            await asyncio.sleep(0.05)
        assert answering.result()[0] == 408
        writer.transport.abort()


async def test_announced_body_over_the_limit_is_refused_before_it_comes() -> None:
    """Guards against a body that the client sends only to have it refused."""
    async with serving(Desk()) as server:
        reader, writer = await connect(server)
        writer.write(
            b"PUT /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 101\r\n\r\n"
        )
        assert (await answer(reader))[0] == 413
        writer.close()


async def test_client_that_reads_no_answers_is_disconnected_after_a_time() -> None:
    """Guards against answers that stay in memory for good."""
    async with serving(Desk(), keep_alive_s=0.2) as server:
        _, writer = await connect(server)
        request = b"GET /" + b"x" * 8_000 + b" HTTP/1.1\r\n\r\n"
        with pytest.raises(ConnectionError):
            await _write_forever(writer, request)
        writer.transport.abort()


async def _write_forever(writer: StreamWriter, data: bytes) -> None:
    while True:
        writer.write(data)
        await writer.drain()
