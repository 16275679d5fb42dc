from __future__ import annotations

import asyncio

import pytest

from verbenaplank.concurrency.running_timeout import running_timeout

BLOCKED_S = 0.3
BLOCKS = 3
LIMIT_S = 0.8
"""Less than the blocks take, and more than the loop's turns can count at most."""


async def test_lag_of_the_event_loop_does_not_count() -> None:
    """Guards against an overloaded process that gives up each connection it opens."""
    loop = asyncio.get_running_loop()

    def block() -> None:
        end_s = loop.time() + BLOCKED_S
        while loop.time() < end_s:
            pass

    async with running_timeout(LIMIT_S):
        for _ in range(BLOCKS):
            loop.call_soon(block)
            await asyncio.sleep(0)
            await asyncio.sleep(0)


async def test_silent_peer_times_out() -> None:
    """Guards against a peer that never replies and keeps its caller from others."""
    with pytest.raises(TimeoutError):
        async with running_timeout(0.1):
            await asyncio.Event().wait()


async def test_block_that_ends_in_time_leaves_no_timer() -> None:
    """Guards against a timer that cancels what its task does next."""
    async with running_timeout(0.06):
        await asyncio.sleep(0)
    await asyncio.sleep(0.15)
