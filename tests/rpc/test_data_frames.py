from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import pytest

from verbenaplank.protocol.work import Dispatch
from verbenaplank.protocol.work import FromAgent
from verbenaplank.protocol.work import LoadReport
from verbenaplank.protocol.work import ToAgent
from verbenaplank.rpc import data_frames
from verbenaplank.rpc.address import Address
from verbenaplank.rpc.endpoint import WINDOW_BYTES
from verbenaplank.rpc.endpoint import open_channel
from verbenaplank.rpc.endpoint import serve
from verbenaplank.rpc.services import WORK

if TYPE_CHECKING:
    from grpclib.protocol import H2Protocol
    from grpclib.server import Stream

ANY_PORT = Address("127.0.0.1", 0)
LARGE = 1_000_000
SIZES = (0, 1, 200, 16_384, 16_385, LARGE) * (WINDOW_BYTES // LARGE + 2)
"""Together more than a flow control window, so that it has to be reopened."""


def message_of(size: int) -> ToAgent:
    dispatch = Dispatch(
        job_id="j",
        task_index=0,
        dispatch_id=1,
        agent_incarnation="1",
        service="s",
        payload=b"x" * size,
        start_budget_ms=1.0,
        run_budget_ms=1.0,
    )
    return ToAgent(dispatches=(dispatch,))


async def report_sizes(stream: Stream[ToAgent, FromAgent]) -> None:
    async for message in stream:
        size = len(message.dispatches[0].payload)
        await stream.send_message(FromAgent(load=LoadReport(running=size, queued=0)))


async def exchange_all() -> list[int]:
    """Send messages of all sizes and return the sizes that the server received."""
    found = []
    service = WORK.create_service(report_sizes)
    async with asyncio.timeout(60), serve([service], ANY_PORT) as address:
        with open_channel(address) as channel:
            async with WORK.open(channel) as stream:
                for size in SIZES:
                    await stream.send_message(message_of(size))
                await stream.end()
                async for message in stream:
                    assert message.load is not None
                    found.append(message.load.running)
    return found


async def test_messages_beyond_the_flow_control_window_arrive_in_order() -> None:
    """Guards against a window that is counted twice or never reopened."""
    assert await exchange_all() == list(SIZES)


async def test_bytes_may_be_split_anywhere(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against frames whose header or payload arrives in parts."""
    chance = random.Random(3)
    whole = data_frames.DataFrameProtocol.data_received

    def receive_in_parts(protocol: H2Protocol, data: bytes) -> None:
        while data:
            count = chance.choice((1, 5, 9, 30, 70_000))
            whole(protocol, data[:count])  # type: ignore[arg-type]
            data = data[count:]

    monkeypatch.setattr(
        data_frames.DataFrameProtocol, "data_received", receive_in_parts
    )
    monkeypatch.setattr(f"{__name__}.SIZES", (0, 1, 200, 16_385, 40_000, 3))
    assert await exchange_all() == [0, 1, 200, 16_385, 40_000, 3]


@pytest.mark.parametrize(
    "sent",
    [b"GET / HTTP/1.1\r\n\r\n" * 2, b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\xff" * 99],
)
async def test_peer_that_does_not_speak_the_protocol_harms_no_other(
    sent: bytes,
) -> None:
    async with serve([WORK.create_service(report_sizes)], ANY_PORT) as address:
        _, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(sent)
        await writer.drain()
        with open_channel(address) as channel:
            async with WORK.open(channel) as stream:
                await stream.send_message(message_of(7), end=True)
                reply = await stream.recv_message()
        writer.close()
    assert reply is not None
    assert reply.load == LoadReport(running=7, queued=0)


async def test_usual_data_frames_are_not_parsed_by_h2(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a new version of a library that makes the module useless."""
    handled: list[bool] = []
    receive = data_frames.DataFrameProtocol._receive_data

    def record(protocol: data_frames.DataFrameProtocol, frame: bytes) -> bool:
        handled.append(receive(protocol, frame))
        return handled[-1]

    monkeypatch.setattr(data_frames.DataFrameProtocol, "_receive_data", record)
    monkeypatch.setattr(f"{__name__}.SIZES", (1, 20, 300))
    await exchange_all()
    assert handled
    assert all(handled)
