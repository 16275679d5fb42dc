"""Bounded records of started tasks, closed dispatches and results.

The gate consults them so that no repeated or delayed message starts a task twice.
"""

from __future__ import annotations

from collections import OrderedDict
from collections import deque

import attrs

from verbenaplank.protocol.work import TaskResult

GENERATIONS = 8
"""Number of generations in one retention period; each is evicted as a whole."""

MAX_RETAINED_STARTS = 16_384
"""With more starts than this, the oldest are evicted before the retention ends."""

DISPATCH_ID_BITS = 48
"""Low bits of a packed start; the entry's number takes the bits above them."""

MAX_CLOSED_DISPATCHES = 4_096
"""Number of closed dispatches of one entry that are stored one by one."""

MAX_RETAINED_RESULT_BYTES = 512 * 1024
RETAINED_RESULT_OVERHEAD_BYTES = 512
"""Size that each result counts for in addition to its output and error."""


@attrs.frozen
class StartedBy:
    """Identifies the dispatch that started a task.

    Attributes
    ----------
    entry_number
        :attr:`Entry.number` of the entry that sent the dispatch.
    """

    entry_number: int
    dispatch_id: int


class StartedTasks:
    """Maps each started task to its dispatch, within the retention and the capacity.

    A start is stored as one integer that packs the entry's number and the dispatch
    id.  Of the evicted starts, only the highest dispatch id of each entry is kept:
    any dispatch of that entry up to it may have started.
    """

    def __init__(self, retention_s: float) -> None:
        self._generation_s = retention_s / GENERATIONS
        self._generations: deque[dict[str, int]] = deque([{}])
        self._newest_began_s = 0.0
        self._newest_evicted_ids: dict[int, int] = {}

    def __len__(self) -> int:
        return sum(map(len, self._generations))

    def add(
        self, task_id: str, entry_number: int, dispatch_id: int, now_s: float
    ) -> None:
        """Record that a dispatch started a task at the monotonic time ``now_s``."""
        self.expire(now_s)
        if len(self._generations[-1]) >= MAX_RETAINED_STARTS // GENERATIONS:
            self._add_generation()
        start = entry_number << DISPATCH_ID_BITS | dispatch_id
        self._generations[-1][task_id] = start

    def get(self, task_id: str) -> StartedBy | None:
        """Return the dispatch that started a task, or ``None`` if none is recorded."""
        for generation in self._generations:
            start = generation.get(task_id)
            if start is not None:
                return _unpack(start)
        return None

    def may_have_evicted(self, entry_number: int, dispatch_id: int) -> bool:
        """Return whether a dispatch may be a start that has been evicted."""
        return dispatch_id <= self._newest_evicted_ids.get(entry_number, -1)

    def expire(self, now_s: float) -> None:
        """Evict the starts that are older than the retention."""
        elapsed = int((now_s - self._newest_began_s) / self._generation_s)
        if elapsed <= 0:
            return
        self._newest_began_s += elapsed * self._generation_s
        for _ in range(min(elapsed, GENERATIONS + 1)):
            self._add_generation()

    def _add_generation(self) -> None:
        self._generations.append({})
        if len(self._generations) > GENERATIONS + 1:
            self._evict(self._generations.popleft())

    def _evict(self, generation: dict[str, int]) -> None:
        for start in map(_unpack, generation.values()):
            newest = self._newest_evicted_ids.get(start.entry_number, -1)
            self._newest_evicted_ids[start.entry_number] = max(
                newest, start.dispatch_id
            )


def _unpack(start: int) -> StartedBy:
    return StartedBy(start >> DISPATCH_ID_BITS, start & (1 << DISPATCH_ID_BITS) - 1)


class ClosedDispatches:
    """Set of the dispatches of one entry that must never start.

    Dispatches are closed when they are refused or revoked.  Beyond
    ``MAX_CLOSED_DISPATCHES`` the oldest members are dropped, and from then on every
    dispatch id up to the highest dropped one counts as closed.
    """

    def __init__(self) -> None:
        self._ids: OrderedDict[int, None] = OrderedDict()
        self._closed_up_to = -1

    def add(self, dispatch_id: int) -> None:
        """Close a dispatch, so that it can never start."""
        self._ids[dispatch_id] = None
        if len(self._ids) > MAX_CLOSED_DISPATCHES:
            dropped, _ = self._ids.popitem(last=False)
            self._closed_up_to = max(self._closed_up_to, dropped)

    def __contains__(self, dispatch_id: int) -> bool:
        return dispatch_id <= self._closed_up_to or dispatch_id in self._ids


@attrs.frozen
class _RetainedResult:
    result: TaskResult
    expires_s: float


class ResultCache:
    """Caches results to send again, within the retention and a size limit.

    The oldest results are dropped first.
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._retained: OrderedDict[str, _RetainedResult] = OrderedDict()
        self._size_bytes = 0

    def __len__(self) -> int:
        return len(self._retained)

    def add(self, task_id: str, result: TaskResult, now_s: float) -> None:
        """Store a result and drop the oldest ones while the size limit is exceeded.

        The newest result is always kept, even if it alone exceeds the limit.
        """
        retained = _RetainedResult(result, now_s + self._retention_s)
        self._retained[task_id] = retained
        self._size_bytes += _size_bytes(result)
        while self._size_bytes > MAX_RETAINED_RESULT_BYTES and len(self._retained) > 1:
            self.drop(next(iter(self._retained)))

    def get(self, task_id: str) -> TaskResult | None:
        """Return the stored result of a task, or ``None`` if there is none."""
        retained = self._retained.get(task_id)
        return retained.result if retained else None

    def drop(self, task_id: str) -> None:
        """Drop the result of a task, if it is stored."""
        retained = self._retained.pop(task_id, None)
        if retained is not None:
            self._size_bytes -= _size_bytes(retained.result)

    def expire(self, now_s: float) -> None:
        """Drop the results that are older than the retention."""
        while self._retained:
            task_id, retained = next(iter(self._retained.items()))
            if retained.expires_s > now_s:
                return
            self.drop(task_id)


def _size_bytes(result: TaskResult) -> int:
    return len(result.output) + len(result.error) + RETAINED_RESULT_OVERHEAD_BYTES
