"""Queue of the dispatches that wait for a slot, urgent before routine ones."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from verbenaplank.agent.entries import Entry
from verbenaplank.protocol.work import Dispatch

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

MS_PER_S = 1_000.0


@attrs.frozen
class QueuedDispatch:
    """A received dispatch that has not started yet.

    Attributes
    ----------
    received_s
        Monotonic time at which the dispatch was received.
    """

    entry: Entry
    task_id: str
    dispatch: Dispatch
    received_s: float

    def is_from(self, entry: Entry, dispatch_id: int) -> bool:
        """Return whether this is the dispatch of ``entry`` with the given id."""
        return self.entry is entry and self.dispatch.dispatch_id == dispatch_id

    def is_late(self, now_s: float) -> bool:
        """Return whether the dispatch has waited longer than its start budget."""
        waited_ms = (now_s - self.received_s) * MS_PER_S
        return waited_ms > self.dispatch.start_budget_ms


@attrs.frozen
class _Key:
    entry_number: int
    dispatch_id: int


class DispatchQueue:
    """Priority queue of dispatches, first in, first out within each priority."""

    def __init__(self) -> None:
        self._urgent: OrderedDict[_Key, QueuedDispatch] = OrderedDict()
        self._routine: OrderedDict[_Key, QueuedDispatch] = OrderedDict()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._routine)

    def append(self, queued: QueuedDispatch) -> None:
        """Append a dispatch to the queue of its priority."""
        queue = self._urgent if queued.dispatch.urgent else self._routine
        queue[_Key(queued.entry.number, queued.dispatch.dispatch_id)] = queued

    def pop(self) -> QueuedDispatch:
        """Remove and return the next dispatch.

        Raises
        ------
        KeyError
            If the queue is empty.
        """
        _, queued = (self._urgent or self._routine).popitem(last=False)
        return queued

    def __iter__(self) -> Iterator[QueuedDispatch]:
        yield from self._urgent.values()
        yield from self._routine.values()

    def first(self) -> QueuedDispatch | None:
        """Return the next dispatch without removing it, or ``None``."""
        return next(iter(self), None)

    def contains(self, entry: Entry, dispatch_id: int) -> bool:
        """Return whether a dispatch is queued."""
        key = _Key(entry.number, dispatch_id)
        return key in self._urgent or key in self._routine

    def remove(self, entry: Entry, dispatch_id: int) -> QueuedDispatch | None:
        """Remove and return a dispatch, or return ``None`` if it is not queued."""
        key = _Key(entry.number, dispatch_id)
        return self._urgent.pop(key, None) or self._routine.pop(key, None)

    def remove_where(
        self, condition: Callable[[QueuedDispatch], bool]
    ) -> list[QueuedDispatch]:
        """Remove and return the dispatches that satisfy a condition."""
        dispatches = [*self._urgent.values(), *self._routine.values()]
        removed = [queued for queued in dispatches if condition(queued)]
        for queued in removed:
            self.remove(queued.entry, queued.dispatch.dispatch_id)
        return removed
