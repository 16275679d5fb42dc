from __future__ import annotations

import asyncio

import pytest

from verbenaplank.concurrency import restarting
from verbenaplank.concurrency.restarting import create_restarting_task


@pytest.fixture(autouse=True)
def _no_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(restarting, "RESTART_PAUSE_S", 0.0)


async def test_work_is_started_again_after_an_unexpected_error(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A process called itself ready while its only worker task had ended."""
    runs = 0

    async def work() -> None:
        nonlocal runs
        runs += 1
        if runs < 3:
            raise OverflowError("port must be 0-65535")

    await asyncio.wait_for(create_restarting_task(work), 10)

    assert runs == 3
    messages = [record.msg for record in caplog.records]
    assert messages == ["task restarted after an unexpected error"] * 2
    assert "work" in vars(caplog.records[0])["coroutine"]


async def test_cancelled_work_is_not_started_again() -> None:
    started = asyncio.Event()

    async def work() -> None:
        started.set()
        await asyncio.Event().wait()

    task = create_restarting_task(work)
    await started.wait()
    task.cancel()
    await asyncio.wait([task])

    assert task.cancelled()
