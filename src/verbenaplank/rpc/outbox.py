"""A queue whose items leave together: all that is ready, in one message."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Generic
from typing import TypeVar

Item = TypeVar("Item")

MAX_ITEMS_PER_MESSAGE = 512


class Outbox(Generic[Item]):
    """Collects items for one stream; the reader takes all that are ready."""

    def __init__(self, max_items: int = MAX_ITEMS_PER_MESSAGE) -> None:
        self._items: deque[Item] = deque()
        self._ready = asyncio.Event()
        self._max_items = max_items

    def __len__(self) -> int:
        return len(self._items)

    def put(self, item: Item) -> None:
        """Add one item; it never waits."""
        self._items.append(item)
        self._ready.set()

    async def take_batch(self) -> list[Item]:
        """Wait for the first item and return what is ready, oldest first."""
        await self._ready.wait()
        count = min(len(self._items), self._max_items)
        taken = [self._items.popleft() for _ in range(count)]
        if not self._items:
            self._ready.clear()
        return taken
