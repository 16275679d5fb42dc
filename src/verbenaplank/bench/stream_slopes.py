"""Slopes of messages on a long-lived stream with both ends in this process.

Measured costs are divided by two to get the cost of one end.
"""

from __future__ import annotations

import asyncio
import time
import tracemalloc
from contextlib import ExitStack
from typing import TYPE_CHECKING

from verbenaplank.bench.slope import MICROSECONDS_PER_SECOND
from verbenaplank.bench.slope import Slope
from verbenaplank.bench.task_slopes import dispatches
from verbenaplank.protocol.membership import FromControl
from verbenaplank.protocol.membership import Heartbeat
from verbenaplank.protocol.membership import LeaseGrant
from verbenaplank.protocol.membership import ToControl
from verbenaplank.protocol.work import FromAgent
from verbenaplank.protocol.work import LoadReport
from verbenaplank.protocol.work import ToAgent
from verbenaplank.rpc.address import Address
from verbenaplank.rpc.endpoint import open_channel
from verbenaplank.rpc.endpoint import serve
from verbenaplank.rpc.services import JOIN
from verbenaplank.rpc.services import WORK

if TYPE_CHECKING:
    from collections.abc import Iterator

    from grpclib.server import Stream

MESSAGES = 4_000
LOOPBACK = Address("127.0.0.1", 0)
ENDS_PER_STREAM = 2
"""Number of ends of each stream in this process."""

OPEN_STREAMS = 200


def measure_stream_slopes() -> Iterator[Slope]:
    """Measure one-way messages, heartbeats with their replies, and open streams."""
    for count in (1, 8, 32):
        yield asyncio.run(_measure_dispatch_messages(count))
    yield asyncio.run(_measure_heartbeats())
    yield asyncio.run(_measure_open_streams())


async def _measure_dispatch_messages(count: int) -> Slope:
    """Measure the processor time of a message of dispatches at one end.

    The receiver replies only once, after the last message.
    """
    message = ToAgent(dispatches=dispatches(count))
    last_reply = FromAgent(load=LoadReport(running=0, queued=0))

    async def receive(stream: Stream[ToAgent, FromAgent]) -> None:
        for _ in range(MESSAGES):
            await stream.recv_message()
        await stream.send_message(last_reply)

    async with serve([WORK.create_service(receive)], LOOPBACK) as address:
        with open_channel(address) as channel:
            async with WORK.open(channel) as stream:
                started_s = time.process_time()
                for _ in range(MESSAGES):
                    await stream.send_message(message)
                await stream.recv_message()
                spent_s = time.process_time() - started_s
                await stream.end()
    return _processor_time_slope(
        f"stream.message.{count}_dispatches", spent_s, MESSAGES * ENDS_PER_STREAM
    )


async def _measure_heartbeats() -> Slope:
    """Measure the processor time of a heartbeat and its lease grant at one end."""
    heartbeat = ToControl(heartbeat=Heartbeat(configuration_version=1_600))
    lease = FromControl(lease=LeaseGrant(lease_ms=5_000.0))

    async def reply(stream: Stream[ToControl, FromControl]) -> None:
        async for _ in stream:
            await stream.send_message(lease)

    async with serve([JOIN.create_service(reply)], LOOPBACK) as address:
        with open_channel(address) as channel:
            async with JOIN.open(channel) as stream:
                started_s = time.process_time()
                for _ in range(MESSAGES):
                    await stream.send_message(heartbeat)
                    await stream.recv_message()
                spent_s = time.process_time() - started_s
                await stream.end()
    return _processor_time_slope(
        "stream.heartbeat_and_lease", spent_s, MESSAGES * ENDS_PER_STREAM
    )


async def _measure_open_streams() -> Slope:
    """Measure the memory of one end of a connection with one open stream."""

    async def reply(stream: Stream[ToControl, FromControl]) -> None:
        async for _ in stream:
            await stream.send_message(FromControl())

    async with serve([JOIN.create_service(reply)], LOOPBACK) as address:
        with ExitStack() as stack:
            tracemalloc.start()
            before_bytes, _ = tracemalloc.get_traced_memory()
            streams = []
            for _ in range(OPEN_STREAMS):
                channel = stack.enter_context(open_channel(address))
                stream = JOIN.open(channel)
                await stream.__aenter__()
                await stream.send_message(ToControl())
                await stream.recv_message()
                streams.append(stream)
            after_bytes, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            for stream in streams:
                await stream.end()
                await stream.__aexit__(None, None, None)
    value = (after_bytes - before_bytes) / (OPEN_STREAMS * ENDS_PER_STREAM)
    return Slope(
        name="stream.open", value=round(value), unit="bytes", items=OPEN_STREAMS
    )


def _processor_time_slope(name: str, spent_s: float, items: int) -> Slope:
    value = round(spent_s / items * MICROSECONDS_PER_SECOND, 1)
    return Slope(name=name, value=value, unit="us", items=items)
