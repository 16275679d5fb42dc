from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from verbenaplank.consensus import writer as writer_module
from verbenaplank.consensus.writer import GroupCommitWriter
from verbenaplank.storage.errors import StorageFullError
from verbenaplank.storage.model import Write

if TYPE_CHECKING:
    from collections.abc import Sequence

    import pytest


class FailingStore:
    """Raises each error once, then takes all writes."""

    def __init__(self, *errors: Exception) -> None:
        self.errors = list(errors)
        self.groups: list[list[int]] = []

    def write(self, writes: Sequence[Write]) -> None:
        if self.errors:
            raise self.errors.pop(0)
        self.groups.append([write.sequence for write in writes])


async def _run(store: FailingStore, until: int) -> list[object]:
    """Write three writes and return what was told, up to a number of events."""
    told: list[object] = []
    enough = asyncio.Event()

    def tell(event: object) -> None:
        told.append(event)
        if len(told) == until:
            enough.set()

    writer = GroupCommitWriter(store, tell, tell)
    for sequence in (1, 2, 3):
        writer.enqueue(Write(sequence=sequence))
    task = asyncio.create_task(writer.run())
    await enough.wait()
    task.cancel()
    writer.close()
    return told


async def test_writes_that_wait_share_one_sync() -> None:
    store = FailingStore()

    assert await _run(store, until=1) == [3]
    assert store.groups == [[1, 2, 3]]


async def test_full_disk_is_told_and_the_writes_are_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(writer_module, "DISK_FULL_RETRY_S", 0.0)
    store = FailingStore(StorageFullError("full"), StorageFullError("full"))

    assert await _run(store, until=3) == [False, True, 3]
    assert store.groups == [[1, 2, 3]]


async def test_failed_disk_ends_the_writing() -> None:
    store = FailingStore(OSError("broken"))
    told: list[object] = []
    writer = GroupCommitWriter(store, told.append, told.append)
    writer.enqueue(Write(sequence=1))
    await writer.run()
    writer.close()

    assert told == [False]
    assert store.groups == []
    assert writer.error == "the disk failed: broken"
