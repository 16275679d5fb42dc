"""What an agent remembers of starts and refusals, in bounded memory."""

from __future__ import annotations

from collections import OrderedDict
from collections import deque

import attrs

from verbenaplank.protocol.work import TaskResult

GENERATIONS = 8
"""The retention is divided into so many generations, each dropped as a whole."""

MAX_REMEMBERED_STARTS = 16_384
"""Beyond so many starts, the oldest are forgotten before the retention ends."""

DISPATCH_ID_BITS = 48

MAX_CLOSED_DISPATCHES = 4_096
"""How many refused or revoked dispatches of one entry are remembered singly."""

MAX_KEPT_RESULT_BYTES = 512 * 1024
KEPT_RESULT_OVERHEAD_BYTES = 512


@attrs.frozen
class StartedBy:
    """The dispatch that started a task."""

    entry_number: int
    dispatch_id: int


class StartedTasks:
    """The dispatch that started each task, for the retention if there is room.

    Entries are numbered by the caller, so that a start takes one integer.  Of
    the starts that are forgotten, the newest dispatch of each entry is kept:
    those up to it may have started.
    """

    def __init__(self, retention_s: float) -> None:
        self._generation_s = retention_s / GENERATIONS
        self._generations: deque[dict[str, int]] = deque([{}])
        self._newest_since_s = 0.0
        self._forgotten_ids: dict[int, int] = {}

    def __len__(self) -> int:
        return sum(map(len, self._generations))

    def add(
        self, task_id: str, entry_number: int, dispatch_id: int, now_s: float
    ) -> None:
        """Remember that a dispatch started a task."""
        self.expire(now_s)
        if len(self._generations[-1]) >= MAX_REMEMBERED_STARTS // GENERATIONS:
            self._begin_generation()
        start = entry_number << DISPATCH_ID_BITS | dispatch_id
        self._generations[-1][task_id] = start

    def get(self, task_id: str) -> StartedBy | None:
        """Return what started a task, if that is remembered."""
        for generation in self._generations:
            start = generation.get(task_id)
            if start is not None:
                return _unpack(start)
        return None

    def may_have_evicted(self, entry_number: int, dispatch_id: int) -> bool:
        """Return whether a dispatch may have started before the retention."""
        return dispatch_id <= self._forgotten_ids.get(entry_number, -1)

    def expire(self, now_s: float) -> None:
        """Forget the starts that are older than the retention."""
        elapsed = int((now_s - self._newest_since_s) / self._generation_s)
        if elapsed <= 0:
            return
        self._newest_since_s += elapsed * self._generation_s
        for _ in range(min(elapsed, GENERATIONS + 1)):
            self._begin_generation()

    def _begin_generation(self) -> None:
        self._generations.append({})
        if len(self._generations) > GENERATIONS + 1:
            self._forget(self._generations.popleft())

    def _forget(self, generation: dict[str, int]) -> None:
        for start in map(_unpack, generation.values()):
            newest = self._forgotten_ids.get(start.entry_number, -1)
            self._forgotten_ids[start.entry_number] = max(newest, start.dispatch_id)


def _unpack(start: int) -> StartedBy:
    return StartedBy(start >> DISPATCH_ID_BITS, start & (1 << DISPATCH_ID_BITS) - 1)


class ClosedDispatches:
    """Dispatches of one entry that were refused or revoked.

    Beyond ``MAX_CLOSED_DISPATCHES``, every dispatch up to the newest one that
    is dropped counts as closed.
    """

    def __init__(self) -> None:
        self._ids: OrderedDict[int, None] = OrderedDict()
        self._all_up_to = -1

    def add(self, dispatch_id: int) -> None:
        """Close a dispatch for good."""
        self._ids[dispatch_id] = None
        if len(self._ids) > MAX_CLOSED_DISPATCHES:
            dropped, _ = self._ids.popitem(last=False)
            self._all_up_to = max(self._all_up_to, dropped)

    def __contains__(self, dispatch_id: int) -> bool:
        return dispatch_id <= self._all_up_to or dispatch_id in self._ids


@attrs.frozen
class _KeptResult:
    result: TaskResult
    kept_until_s: float


class ResultCache:
    """Results that their entries may ask for again, oldest dropped first."""

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._kept: OrderedDict[str, _KeptResult] = OrderedDict()
        self._size_bytes = 0

    def __len__(self) -> int:
        return len(self._kept)

    def keep(self, task_id: str, result: TaskResult, now_s: float) -> None:
        """Keep a result for the retention, or until the room is needed."""
        kept = _KeptResult(result, now_s + self._retention_s)
        self._kept[task_id] = kept
        self._size_bytes += _size_bytes(result)
        while self._size_bytes > MAX_KEPT_RESULT_BYTES and len(self._kept) > 1:
            self.drop(next(iter(self._kept)))

    def get(self, task_id: str) -> TaskResult | None:
        """Return a kept result."""
        kept = self._kept.get(task_id)
        return kept.result if kept else None

    def drop(self, task_id: str) -> None:
        """Drop a result that its entry has received."""
        kept = self._kept.pop(task_id, None)
        if kept is not None:
            self._size_bytes -= _size_bytes(kept.result)

    def expire(self, now_s: float) -> None:
        """Drop the results that are older than the retention."""
        while self._kept:
            task_id, kept = next(iter(self._kept.items()))
            if kept.kept_until_s > now_s:
                return
            self.drop(task_id)


def _size_bytes(result: TaskResult) -> int:
    return len(result.output) + len(result.error) + KEPT_RESULT_OVERHEAD_BYTES
