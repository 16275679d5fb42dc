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
    """Store that raises each error once and then accepts all writes."""

    def __init__(self, *errors: Exception) -> None:
        self.errors = list(errors)
        self.groups: list[list[int]] = []

    def write(self, writes: Sequence[Write]) -> None:
        if self.errors:
            raise self.errors.pop(0)
        self.groups.append([write.sequence for write in writes])


async def _run(store: FailingStore, until: int) -> list[object]:
    """Write three writes and return what was reported, up to a number of events."""
    reported: list[object] = []
    done = asyncio.Event()

    def report(event: object) -> None:
        reported.append(event)
        if len(reported) == until:
            done.set()

    writer = GroupCommitWriter(store, report, report)
    for sequence in (1, 2, 3):
        writer.enqueue(Write(sequence=sequence))
    task = asyncio.create_task(writer.run())
    await done.wait()
    task.cancel()
    writer.close()
    return reported


async def test_queued_writes_share_one_sync() -> None:
    """Guard against one slow sync for each of many writes."""
    store = FailingStore()

    assert await _run(store, until=1) == [3]
    assert store.groups == [[1, 2, 3]]


async def test_full_disk_is_reported_and_the_writes_are_retried(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against writes that are lost or reordered while the disk is full."""
    monkeypatch.setattr(writer_module, "DISK_FULL_RETRY_S", 0.0)
    store = FailingStore(StorageFullError("full"), StorageFullError("full"))

    assert await _run(store, until=3) == [False, True, 3]
    assert store.groups == [[1, 2, 3]]


async def test_failed_disk_stops_the_writer() -> None:
    """After a failed sync, the content of the disk is unknown: write nothing more."""
    store = FailingStore(OSError("broken"))
    reported: list[object] = []
    writer = GroupCommitWriter(store, reported.append, reported.append)
    writer.enqueue(Write(sequence=1))
    await writer.run()
    writer.close()

    assert reported == [False]
    assert store.groups == []
    assert writer.error == "the disk failed: broken"
