"""A timeout that counts only time in which the event loop runs."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

STEP_S = 0.05
"""Interval at which the elapsed time is counted."""

MAX_COUNTED_STEP_S = 2 * STEP_S
"""Largest part of a late step that counts; the rest is lag of the event loop."""


@asynccontextmanager
async def running_timeout(limit_s: float) -> AsyncIterator[None]:
    """Limit the time of a block, except time in which the event loop was late.

    An overloaded process handles a peer's reply late.  A timeout by the clock would
    blame the peer, and the process would never connect while it is overloaded.

    Raises
    ------
    TimeoutError
        If the block takes longer than ``limit_s`` seconds of such time.
    """
    loop = asyncio.get_running_loop()
    timer: asyncio.TimerHandle | None = None
    left_s = limit_s
    checked_s = loop.time()
    async with asyncio.timeout(None) as scope:

        def check() -> None:
            nonlocal timer, left_s, checked_s
            now_s = loop.time()
            left_s -= min(now_s - checked_s, MAX_COUNTED_STEP_S)
            checked_s = now_s
            if left_s <= 0.0:
                scope.reschedule(now_s)
                return
            timer = loop.call_later(min(STEP_S, left_s), check)

        check()
        try:
            yield
        finally:
            if timer is not None:
                timer.cancel()
