from __future__ import annotations

from verbenaplank.agent.deduplication import GENERATIONS
from verbenaplank.agent.deduplication import MAX_CLOSED_DISPATCHES
from verbenaplank.agent.deduplication import MAX_RETAINED_RESULT_BYTES
from verbenaplank.agent.deduplication import MAX_RETAINED_STARTS
from verbenaplank.agent.deduplication import ClosedDispatches
from verbenaplank.agent.deduplication import ResultCache
from verbenaplank.agent.deduplication import StartedBy
from verbenaplank.agent.deduplication import StartedTasks
from verbenaplank.protocol.work import TaskOutcome
from verbenaplank.protocol.work import TaskResult

RETENTION_S = 80.0


def _result(number: int, size_bytes: int) -> TaskResult:
    return TaskResult(
        job_id="j",
        task_index=number,
        dispatch_id=number,
        outcome=TaskOutcome.SUCCEEDED,
        output=b" " * size_bytes,
    )


def test_start_is_retained_for_the_retention_and_not_much_longer() -> None:
    """A dispatch up to the newest evicted one of its entry may have started."""
    starts = StartedTasks(RETENTION_S)
    starts.add("task", 3, 1 << 40, now_s=5.0)
    starts.expire(5.0 + RETENTION_S)
    assert starts.get("task") == StartedBy(3, 1 << 40)

    starts.expire(5.0 + RETENTION_S * (GENERATIONS + 2) / GENERATIONS)
    assert starts.get("task") is None
    assert starts.may_have_evicted(3, 1 << 40)
    assert not starts.may_have_evicted(3, (1 << 40) + 1)
    assert not starts.may_have_evicted(4, 1)


def test_evicted_starts_are_never_denied() -> None:
    """Starts beyond the limit are evicted but still count as possibly started."""
    starts = StartedTasks(RETENTION_S)
    for number in range(2 * MAX_RETAINED_STARTS):
        starts.add(f"task/{number}", 1, number, now_s=1.0)

    share = MAX_RETAINED_STARTS // GENERATIONS
    assert len(starts) <= MAX_RETAINED_STARTS + share
    assert all(
        starts.get(f"task/{number}") or starts.may_have_evicted(1, number)
        for number in range(2 * MAX_RETAINED_STARTS)
    )


def test_closed_dispatches_stay_closed_beyond_the_limit() -> None:
    """A dispatch must not start because newer closed ones displaced it."""
    closed = ClosedDispatches()
    for number in range(2 * MAX_CLOSED_DISPATCHES):
        closed.add(number)

    assert all(number in closed for number in range(2 * MAX_CLOSED_DISPATCHES))
    assert 2 * MAX_CLOSED_DISPATCHES not in closed


def test_oldest_results_are_dropped_and_the_latest_is_always_kept() -> None:
    """A result above the size limit is still available to its entry."""
    results = ResultCache(RETENTION_S)
    for number in range(4):
        results.add(f"{number}", _result(number, MAX_RETAINED_RESULT_BYTES // 3), 0.0)
    results.add("large", _result(9, 2 * MAX_RETAINED_RESULT_BYTES), 1.0)

    assert len(results) == 1
    assert results.get("large") is not None
    results.expire(1.0 + RETENTION_S)
    assert len(results) == 0
