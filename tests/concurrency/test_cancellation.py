from __future__ import annotations

import asyncio

import pytest

from verbenaplank.concurrency.cancellation import cancel_and_wait


async def end_slowly(cancelled: asyncio.Event, release: asyncio.Event) -> None:
    try:
        await asyncio.Event().wait()
    finally:
        cancelled.set()
        await release.wait()


async def test_cancellation_of_the_caller_is_not_suppressed() -> None:
    """The caller is cancelled while the task that it cancelled still ends."""
    cancelled, release = asyncio.Event(), asyncio.Event()
    task = asyncio.create_task(end_slowly(cancelled, release))
    await asyncio.sleep(0)
    caller = asyncio.create_task(cancel_and_wait(task))
    await cancelled.wait()

    caller.cancel()
    await asyncio.wait([caller])
    release.set()
    await asyncio.wait([task])

    assert caller.cancelled()
    assert task.cancelled()


async def test_only_expected_errors_of_the_task_are_suppressed() -> None:
    async def fail() -> None:
        try:
            await asyncio.Event().wait()
        finally:
            raise ValueError("cannot close")

    first, second = asyncio.create_task(fail()), asyncio.create_task(fail())
    await asyncio.sleep(0)

    await cancel_and_wait(first, ValueError)
    with pytest.raises(ValueError, match="cannot close"):
        await cancel_and_wait(second, OSError)
