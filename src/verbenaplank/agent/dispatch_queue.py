"""Dispatches that wait for a slot, urgent before routine."""

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
    """A dispatch that has been received and not been started."""

    entry: Entry
    task_id: str
    dispatch: Dispatch
    received_s: float

    def is_from(self, entry: Entry, dispatch_id: int) -> bool:
        """Return whether this is a given dispatch of a given entry."""
        return self.entry is entry and self.dispatch.dispatch_id == dispatch_id

    def is_late(self, now_s: float) -> bool:
        """Return whether the start budget is spent."""
        waited_ms = (now_s - self.received_s) * MS_PER_S
        return waited_ms > self.dispatch.start_budget_ms


@attrs.frozen
class _Key:
    entry_number: int
    dispatch_id: int


class DispatchQueue:
    """First in, first out within each priority."""

    def __init__(self) -> None:
        self._urgent: OrderedDict[_Key, QueuedDispatch] = OrderedDict()
        self._routine: OrderedDict[_Key, QueuedDispatch] = OrderedDict()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._routine)

    def append(self, waiting: QueuedDispatch) -> None:
        """Queue a dispatch behind those of its priority."""
        queue = self._urgent if waiting.dispatch.urgent else self._routine
        queue[_Key(waiting.entry.number, waiting.dispatch.dispatch_id)] = waiting

    def pop(self) -> QueuedDispatch:
        """Remove and return the next dispatch.

        Raises
        ------
        KeyError
            If none waits.
        """
        _, waiting = (self._urgent or self._routine).popitem(last=False)
        return waiting

    def __iter__(self) -> Iterator[QueuedDispatch]:
        yield from self._urgent.values()
        yield from self._routine.values()

    def first(self) -> QueuedDispatch | None:
        """Return the next dispatch without removing it."""
        return next(iter(self), None)

    def contains(self, entry: Entry, dispatch_id: int) -> bool:
        """Return whether a dispatch waits."""
        key = _Key(entry.number, dispatch_id)
        return key in self._urgent or key in self._routine

    def remove(self, entry: Entry, dispatch_id: int) -> QueuedDispatch | None:
        """Remove a dispatch and return it, or ``None`` if it does not wait."""
        key = _Key(entry.number, dispatch_id)
        return self._urgent.pop(key, None) or self._routine.pop(key, None)

    def remove_where(
        self, condition: Callable[[QueuedDispatch], bool]
    ) -> list[QueuedDispatch]:
        """Remove and return the dispatches that fulfil a condition."""
        queued = [*self._urgent.values(), *self._routine.values()]
        removed = [waiting for waiting in queued if condition(waiting)]
        for waiting in removed:
            self.remove(waiting.entry, waiting.dispatch.dispatch_id)
        return removed
