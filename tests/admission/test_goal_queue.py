from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import strategies as st

from verbenaplank.admission.goal_queue import GoalQueue
from verbenaplank.admission.queue_protocol import Choice
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


def weighing(job_id: str, priority: int = 0, **changes: object) -> TaskRequest:
    return attrs.evolve(task(job_id, priority), weighs_waits=True, **changes)


def push_jobs(queue: GoalQueue, *jobs: TaskRequest, tasks: int = 1) -> None:
    for job in jobs:
        for index in range(tasks):
            queue.push(attrs.evolve(job, task_index=index), 0.0)


def test_each_lower_priority_keeps_a_share_of_the_starts() -> None:
    """On the heaviest days the lowest priority was never served."""
    queue = queue_of()
    for priority in range(3):
        jobs = [weighing(f"{priority}-{i}", priority) for i in range(120)]
        push_jobs(queue, *jobs)
    order = drain(queue)[:120]
    counts = [sum(job.startswith(f"{p}-") for job in order) for p in range(3)]
    assert 8 <= counts[2] <= 12
    assert 8 <= counts[1] <= 13
    assert sum(counts) == 120


def test_share_is_not_taken_from_jobs_that_do_not_weigh_waits() -> None:
    queue = queue_of(*[task(f"urgent-{i}") for i in range(50)])
    push_jobs(queue, *[weighing(f"low-{i}", 1) for i in range(9)])
    assert not [job for job in drain(queue)[:50] if job.startswith("low")]


def test_started_job_goes_ahead_of_its_priority() -> None:
    """Jobs with urgent goals took over, and the work of started ones was lost."""
    queue = queue_of()
    push_jobs(queue, weighing("started", goal_s=9.0), tasks=3)
    assert queue.pop(0.0, lambda _: True) is not None
    push_jobs(queue, weighing("sooner", goal_s=2.0), weighing("higher", -1))
    assert drain(queue, now_s=9.0) == ["higher", "started", "started", "sooner"]


def test_retried_task_of_a_started_job_goes_ahead() -> None:
    queue = queue_of()
    queue.has_started = lambda job_id: job_id == "retried"
    push_jobs(queue, weighing("other", goal_s=2.0), weighing("retried", attempt=2))
    assert drain(queue) == ["retried", "other"]


def test_smaller_tasks_overtake_a_wide_job_only_up_to_a_limit() -> None:
    """Tasks of one core took each core that became free, for as long as they came."""
    queue = queue_of()
    push_jobs(queue, weighing("wide", needs=Resources(cores=6.0)), tasks=8)
    push_jobs(queue, *[weighing(f"{i}", 1) for i in range(99)])
    overtaking = 0
    while queue.pop(0.0, lambda item: item.job_id != "wide") is not None:
        overtaking += 1
    assert overtaking == 8 * 6.0 / 2.0
    kept = 2
    assert drain(queue)[: 8 + kept].count("wide") == 8


def test_late_wide_job_does_not_hold_up_smaller_ones() -> None:
    queue = queue_of()
    push_jobs(queue, weighing("wide", needs=Resources(cores=6.0), goal_s=1.0))
    push_jobs(queue, *[weighing(f"{i}", 1) for i in range(20)])
    overtaking = 0
    while queue.pop(1.0, lambda item: item.job_id != "wide") is not None:
        overtaking += 1
    assert overtaking == 20


def test_only_what_leaves_earlier_is_ahead_of_a_new_job() -> None:
    queue = queue_of(weighing("urgent"), weighing("low", 2))
    push_jobs(queue, weighing("late", 1, goal_s=0.5), weighing("own", 1), tasks=2)
    queue.pop(1.0, lambda _: False)
    ahead = queue.ahead_of(weighing("new", 1))
    assert ahead.smaller_tasks == 3
    assert round(ahead.core_s, 3) == round(3 * 2.0 * RUN_TIME_S, 3)
    assert round(ahead.own_priority_core_s, 3) == round(2 * 2.0 * RUN_TIME_S, 3)
    small = queue.ahead_of(weighing("small", 1, needs=Resources(cores=1.0)))
    assert small.smaller_tasks == 0


def test_demand_is_the_recorded_work_of_higher_priorities() -> None:
    queue = queue_of()
    for step in range(200):
        queue.record_arrival(weighing("a"), 4, step * 0.1)
    demand = queue.demand_above(("draw", ""), 1, 20.0)
    assert abs(demand - 4 * 2.0 * RUN_TIME_S / 0.1) < 1.0
    assert queue.demand_above(("draw", ""), 0, 20.0) == 0.0


def test_owed_wide_job_does_not_hold_up_higher_priorities() -> None:
    """Guards against a low wide job that keeps urgent jobs from free servers."""
    queue = queue_of()
    push_jobs(queue, *[weighing(f"urgent-{i}") for i in range(60)])
    push_jobs(queue, weighing("wide", 2, needs=Resources(cores=4.0)))
    started = 0
    while queue.pop(0.0, lambda item: item.job_id != "wide") is not None:
        started += 1
    assert started == 60


def test_owed_job_is_tried_once_per_pop() -> None:
    """Guards against an owed job that is placed and counted as overtaken twice."""
    queue = queue_of()
    push_jobs(queue, *[weighing(f"urgent-{i}") for i in range(24)])
    push_jobs(queue, weighing("low", 1), weighing("lowest", 2))
    for _ in range(20):
        queue.pop(0.0, lambda item: item.job_id.startswith("urgent"))
    tried: list[str] = []
    queue.pop(0.0, lambda item: bool(tried.append(item.job_id)))
    assert tried[0] == "low"
    assert len(tried) == len(set(tried)) == 6


def test_only_jobs_without_capacity_count_as_overtaken() -> None:
    """Guards against jobs that may not start yet and hold up smaller ones."""
    queue = queue_of()
    push_jobs(queue, weighing("waits", goal_s=1.0))
    push_jobs(queue, *[weighing(f"{i}") for i in range(20)])

    def choose(item: TaskRequest) -> Choice:
        return Choice.NOT_NOW if item.job_id == "waits" else Choice.PLACED

    started = 0
    while queue.pop(0.0, choose) is not None:
        started += 1
    assert started == 20


def hold_and_return(queue: GoalQueue, times: int) -> set[str]:
    job_ids = set()
    for _ in range(times):
        held = queue.pop(0.0, lambda _: Choice.HELD)
        assert held is not None
        job_ids.add(held.job_id)
        queue.push(held, 0.0)
    return job_ids


def test_hold_does_not_use_up_the_share_of_a_priority() -> None:
    """Guards against holds that are charged as starts, again after each return."""
    queue = queue_of()
    push_jobs(queue, *[weighing(f"urgent-{i}") for i in range(20)])
    push_jobs(queue, weighing("low", 1))
    for _ in range(10):
        queue.pop(0.0, lambda item: item.job_id.startswith("urgent"))
    hold_and_return(queue, 3)
    assert drain(queue)[0] == "low"


def test_hold_earns_no_share_for_lower_priorities() -> None:
    """Guards against holds of urgent tasks that let low jobs go first."""
    queue = queue_of()
    push_jobs(queue, weighing("urgent"), weighing("low", 1))
    assert hold_and_return(queue, 30) == {"urgent"}


def test_held_job_has_started_only_when_its_task_is_dispatched() -> None:
    """Guards against held jobs that go ahead of earlier goals as if they had run."""
    queue = queue_of()
    push_jobs(queue, weighing("held", goal_s=5.0), tasks=3)
    held = queue.pop(0.0, lambda _: Choice.HELD)
    assert held is not None
    push_jobs(queue, *[weighing(f"sooner-{i}", goal_s=2.0) for i in range(2)])
    first = queue.pop(0.0, lambda _: Choice.PLACED)
    assert first is not None
    assert first.job_id == "sooner-0"
    queue.record_start(held)
    assert drain(queue) == ["held", "held", "sooner-1"]


def test_dispatched_held_task_is_charged_to_its_priority() -> None:
    """Guards against held tasks that start without using the share they are owed."""
    queue = queue_of()
    push_jobs(queue, *[weighing(f"urgent-{i}") for i in range(20)])
    push_jobs(queue, weighing("low", 1), tasks=2)
    for _ in range(10):
        queue.pop(0.0, lambda item: item.job_id.startswith("urgent"))
    held = queue.pop(0.0, lambda _: Choice.HELD)
    assert held is not None
    assert held.job_id == "low"
    queue.record_start(held)
    assert drain(queue)[0].startswith("urgent")


def test_work_of_other_services_is_not_ahead_of_a_job() -> None:
    """Guards against jobs that are refused while the servers of their service idle."""
    queue = queue_of()
    push_jobs(queue, weighing("other", service="paint"), tasks=9)
    queue.record_arrival(weighing("arriving", service="paint"), 9, 0.0)
    ahead = queue.ahead_of(weighing("new", 1))
    assert (ahead.core_s, ahead.smaller_tasks) == (0.0, 0)
    assert queue.demand_above(("draw", ""), 1, 0.0) == 0.0
    assert queue.demand_above(("paint", ""), 1, 0.0) > 0.0


def test_wide_job_does_not_hold_up_jobs_of_other_services() -> None:
    """Guards against capacity that is left to a job which cannot use it."""
    queue = queue_of()
    push_jobs(queue, weighing("wide", needs=Resources(cores=6.0)))
    jobs = [weighing(f"{i}", service="paint", goal_s=11.0) for i in range(20)]
    push_jobs(queue, *jobs)
    started = 0
    while queue.pop(0.0, lambda item: item.job_id != "wide") is not None:
        started += 1
    assert started == 20
