from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from verbenaplank.concurrency.unexpected_end import log_unexpected_end

if TYPE_CHECKING:
    import pytest


async def _fail() -> None:
    raise OverflowError("port must be 0-65535")


async def test_error_of_a_task_is_logged_while_its_owner_keeps_it(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """An agent's only task that serves backend servers ended without a line."""
    task = asyncio.create_task(_fail())
    task.add_done_callback(log_unexpected_end)
    await asyncio.wait([task])
    await asyncio.sleep(0)

    (line,) = caplog.records
    assert line.msg == "task ended by an unexpected error"
    assert vars(line)["coroutine"] == "_fail"
    assert line.exc_info is not None


async def test_cancelled_task_is_not_logged(caplog: pytest.LogCaptureFixture) -> None:
    task = asyncio.create_task(asyncio.sleep(10))
    task.add_done_callback(log_unexpected_end)
    task.cancel()
    await asyncio.wait([task])
    await asyncio.sleep(0)

    assert not caplog.records
