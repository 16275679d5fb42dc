from __future__ import annotations

import asyncio

import pytest

from verbenaplank.rpc.stream_buffer import ACKNOWLEDGED_TOGETHER_BYTES
from verbenaplank.rpc.stream_buffer import StreamBuffer


async def test_reader_gets_bytes_that_arrive_in_parts() -> None:
    buffer = StreamBuffer(lambda size: None)
    reading = asyncio.create_task(buffer.read(5))
    for part in (b"ab", b"", b"cdef"):
        await asyncio.sleep(0)
        assert not reading.done()
        buffer.add(part, len(part))
    assert await reading == b"abcde"
    assert await buffer.read(0) == b""
    buffer.eof()
    assert await buffer.read(1) == b"f"
    assert await buffer.read(1) == b""


async def test_stream_that_ends_within_a_message_is_an_error() -> None:
    buffer = StreamBuffer(lambda size: None)
    buffer.add(b"ab", 2)
    buffer.eof()
    with pytest.raises(AssertionError):
        await buffer.read(3)


async def test_only_taken_bytes_and_padding_are_acknowledged() -> None:
    """Guards against a slow reader whose sender fills the memory."""
    acknowledged: list[int] = []
    buffer = StreamBuffer(acknowledged.append)
    buffer.add(
        b"x" * 2 * ACKNOWLEDGED_TOGETHER_BYTES, 2 * ACKNOWLEDGED_TOGETHER_BYTES + 9
    )
    assert acknowledged == []
    await buffer.read(10)
    assert acknowledged == []
    await buffer.read(ACKNOWLEDGED_TOGETHER_BYTES)
    assert acknowledged == [ACKNOWLEDGED_TOGETHER_BYTES + 19]
    assert buffer.unacked_size() == ACKNOWLEDGED_TOGETHER_BYTES - 10
