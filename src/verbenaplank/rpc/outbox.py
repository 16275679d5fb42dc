"""Send queue of a stream that batches its items into messages."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Generic
from typing import TypeVar

Item = TypeVar("Item")

MAX_ITEMS_PER_MESSAGE = 512


class Outbox(Generic[Item]):
    """Queue of items for one stream; its reader takes all waiting items at once.

    Parameters
    ----------
    max_items
        Largest number of items in one batch.
    """

    def __init__(self, max_items: int = MAX_ITEMS_PER_MESSAGE) -> None:
        self._items: deque[Item] = deque()
        self._ready = asyncio.Event()
        self._max_items = max_items

    def __len__(self) -> int:
        return len(self._items)

    def put(self, item: Item) -> None:
        """Add an item without blocking."""
        self._items.append(item)
        self._ready.set()

    async def take_batch(self) -> list[Item]:
        """Wait for at least one item and return the next batch, oldest first."""
        await self._ready.wait()
        count = min(len(self._items), self._max_items)
        taken = [self._items.popleft() for _ in range(count)]
        if not self._items:
            self._ready.clear()
        return taken
