from __future__ import annotations

import asyncio

import pytest

from verbenaplank.rpc.stream_buffer import ACKNOWLEDGED_TOGETHER_BYTES
from verbenaplank.rpc.stream_buffer import COUNTED_BYTES
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


async def test_many_unread_bytes_are_counted_until_they_are_taken() -> None:
    """Guards against the memory of messages that no handler reads."""
    taken: list[int] = []
    buffer = StreamBuffer(lambda size: None, lambda: taken.append(buffer.held_bytes))
    buffer.add(b"x" * (COUNTED_BYTES - 1), COUNTED_BYTES - 1)
    assert buffer.held_bytes == 0
    buffer.add(b"x" * 10, 10)
    assert buffer.held_bytes == COUNTED_BYTES + 9
    await buffer.read(9)
    assert taken == []
    await buffer.read(COUNTED_BYTES)
    assert taken == [0]
    buffer.add(b"x" * COUNTED_BYTES, COUNTED_BYTES)
    buffer.discard()
    assert buffer.held_bytes == 0
