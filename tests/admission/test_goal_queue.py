from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import strategies as st

from verbenaplank.admission.goal_queue import GoalQueue
from verbenaplank.placement.task import Resources
from verbenaplank.placement.task import TaskRequest

RUN_TIME_S = 0.1


def task(job_id: str, priority: int = 0, goal_s: float = 10.0) -> TaskRequest:
    return TaskRequest(
        job_id=job_id,
        task_index=0,
        service="draw",
        team="fixtures",
        priority=priority,
        goal_s=goal_s,
        needs=Resources(cores=2.0),
    )


def queue_of(*tasks: TaskRequest) -> GoalQueue:
    queue = GoalQueue(lambda _: RUN_TIME_S)
    for item in tasks:
        queue.push(item, 0.0)
    return queue


def drain(queue: GoalQueue, now_s: float = 0.0) -> list[str]:
    order = []
    while (item := queue.pop(now_s, lambda _: True)) is not None:
        order.append(item.job_id)
    return order


def test_tasks_leave_by_priority_and_then_by_goal() -> None:
    queue = queue_of(task("c", 2, 1.0), task("b", 0, 5.0), task("a", 0, 2.0))
    assert drain(queue) == ["a", "b", "c"]


def test_job_that_can_only_be_late_leaves_after_others_of_its_priority() -> None:
    """Serving it first would make jobs late that can still be on time."""
    queue = queue_of(task("late", 0, 1.0), task("on time", 0, 3.0), task("next", 1))
    assert drain(queue, now_s=1.0) == ["on time", "late", "next"]


def test_retried_task_leaves_before_the_other_tasks_of_its_job() -> None:
    first, second = task("a"), attrs.evolve(task("a"), task_index=1)
    queue = queue_of(first, second)
    queue.push(attrs.evolve(first, task_index=2, attempt=2), 0.0)
    popped = [queue.pop(0.0, lambda _: True) for _ in range(3)]
    assert [item.task_index for item in popped if item] == [2, 0, 1]


def test_task_that_cannot_be_placed_does_not_block_others() -> None:
    queue = queue_of(task("big", 0, 1.0), task("small", 0, 2.0))
    popped = queue.pop(0.0, lambda item: item.job_id == "small")
    assert popped is not None
    assert len(queue) == 1


def test_work_ahead_counts_the_jobs_up_to_a_priority() -> None:
    queue = queue_of(task("a", 0), task("b", 1), task("c", 2))
    assert round(queue.work_ahead_core_s(1), 3) == round(2 * 2.0 * RUN_TIME_S, 3)


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 9)), max_size=30))
def test_no_task_is_lost_or_doubled(
    jobs: list[tuple[int, int]],
) -> None:
    tasks = [task(f"job-{i}", p, float(goal)) for i, (p, goal) in enumerate(jobs)]
    queue = queue_of(*tasks)
    removed = queue.remove_job("job-0")
    order = drain(queue, now_s=4.0)
    assert sorted([*order, *(item.job_id for item in removed)]) == sorted(
        item.job_id for item in tasks
    )
    priorities = [jobs[int(job_id.removeprefix("job-"))][0] for job_id in order]
    assert priorities == sorted(priorities)
    assert len(queue) == 0


def test_tasks_of_a_confined_workload_do_not_hold_up_others() -> None:
    """They wait for servers that are down, ahead of all others by their priority."""
    queue = GoalQueue(lambda _: RUN_TIME_S, lambda item: item.workload)
    for number in range(20):
        confined = attrs.evolve(task(f"confined-{number}"), workload="deadly")
        queue.push(confined, 0.0)
    queue.push(task("other", priority=1), 0.0)
    popped = queue.pop(0.0, lambda item: not item.workload)
    assert popped is not None
    assert popped.job_id == "other"


def test_work_ahead_counts_the_tasks_that_compete_for_the_same_servers() -> None:
    queue = GoalQueue(lambda _: RUN_TIME_S, lambda item: item.workload)
    queue.push(attrs.evolve(task("confined"), workload="deadly"), 0.0)
    assert queue.work_ahead_core_s(1) == 0.0
    assert queue.work_ahead_core_s(1, "deadly") == 2.0 * RUN_TIME_S
