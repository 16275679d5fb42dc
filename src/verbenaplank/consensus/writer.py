"""Writes to the storage in a separate thread, with group commit."""

from __future__ import annotations

import asyncio
import logging
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING
from typing import TypeVar

from verbenaplank.storage.errors import StorageFullError

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.storage.model import Write
    from verbenaplank.storage.store import Store

DISK_FULL_RETRY_S = 1.0
"""Delay between two attempts to write to a full disk."""

Result = TypeVar("Result")

_logger = logging.getLogger(__name__)


class GroupCommitWriter:
    """Makes queued writes durable in order, all waiting ones with one sync.

    If the disk is full, the writes stay queued and are retried until there is room.
    After any other disk error the writer stops for good, since the content of the
    disk is then unknown.

    Parameters
    ----------
    store
        Storage to write to.
    on_synced
        Called with the sequence number up to which all writes are durable.
    on_writable_changed
        Called with whether the storage accepts writes, when that changes.

    Attributes
    ----------
    error
        Why the storage accepts no writes; empty if it accepts them.
    """

    def __init__(
        self,
        store: Store,
        on_synced: Callable[[int], None],
        on_writable_changed: Callable[[bool], None],
    ) -> None:
        self._store = store
        self._on_synced = on_synced
        self._on_writable_changed = on_writable_changed
        self._waiting: list[Write] = []
        self._ready = asyncio.Event()
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="consensus-writer")
        self.error = ""

    def enqueue(self, write: Write) -> None:
        """Queue a write without blocking."""
        self._waiting.append(write)
        self._ready.set()

    async def run_in_thread(self, function: Callable[[], Result]) -> Result:
        """Run a blocking function in the writer's thread and return its result."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, function)

    async def run(self) -> None:
        """Write queued writes until cancelled, or until a disk error that is final."""
        while True:
            await self._ready.wait()
            self._ready.clear()
            batch = self._waiting
            self._waiting = []
            if not await self._write(batch):
                return
            self._on_synced(batch[-1].sequence)

    def close(self) -> None:
        """Wait for the write in progress to finish and stop the thread."""
        self._executor.shutdown(wait=True)

    async def _write(self, batch: list[Write]) -> bool:
        while True:
            try:
                await self.run_in_thread(lambda: self._store.write(batch))
            except StorageFullError as error:
                self._set_error(f"the disk is full: {error}")
            except OSError as error:
                self._set_error(f"the disk failed: {error}")
                return False
            else:
                self._clear_error()
                return True
            await asyncio.sleep(DISK_FULL_RETRY_S)

    def _set_error(self, text: str) -> None:
        if not self.error:
            _logger.error("storage accepts no writes: %s", text)
            self._on_writable_changed(False)
        self.error = text

    def _clear_error(self) -> None:
        if self.error:
            _logger.warning("storage accepts writes again")
            self.error = ""
            self._on_writable_changed(True)
