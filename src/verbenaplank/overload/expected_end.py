"""Decides by its expected end whether a job that weighs its wait is admitted.

Load pattern: more jobs arrive than can be answered in time.  Callers are served better
by a short queue, in which the admitted jobs meet their goal, than by a long one, in
which most are late and the last are never tried.  While servers have free capacity
there is no such choice: a job that uses it is admitted as long as its answer is of use.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from verbenaplank.admission.priority_shares import LOWER_PRIORITY_SHARE
from verbenaplank.overload.admission import OverloadRefusal

if TYPE_CHECKING:
    from verbenaplank.placement.room import CapacityUse

MAX_QUEUE_WAIT_PER_SLACK = 0.1
"""A job may wait for this share of the time that its goal leaves besides a usual run.

The last of several tasks ends later than a usual one, which takes most of that time.
It is less than for jobs that weigh no waits, as the expected start already counts the
demand of higher priorities."""


@attrs.frozen(kw_only=True)
class JobOutlook:
    """What decides when a job is expected to end.

    Work is in units of capacity (cores, or slots) times seconds.

    Attributes
    ----------
    tasks
        Number of tasks.
    task_units
        Units of capacity that a task occupies.
    run_s
        Expected run time of a task on a server of usual speed, in seconds.
    goal_in_s
        Seconds until the answer is late.
    useless_in_s
        Seconds until the answer is useless.
    """

    tasks: int
    task_units: float
    run_s: float
    goal_in_s: float
    useless_in_s: float


@attrs.frozen(kw_only=True)
class QueueAhead:
    """The queue of an entry ahead of a job.

    Attributes
    ----------
    work
        Queued work of the job's or a higher priority, in units times seconds.
    own_priority_work
        The part of it that has the job's priority.
    drain_rate
        Units of capacity at which the entry's queue drains; 0 if none is known.
    demand_above
        Units of capacity that the arriving work of higher priorities takes.
    smaller_tasks
        Number of the tasks ahead that need no more than a task of the job.
    """

    work: float
    own_priority_work: float
    drain_rate: float
    demand_above: float = 0.0
    smaller_tasks: int = 0


@attrs.frozen(kw_only=True)
class LateEndRefusal(OverloadRefusal):
    """Why a job is refused, and how long it would have waited.

    Attributes
    ----------
    is_capacity_elsewhere
        Whether enough capacity for the job is idle on servers that can't take its
        tasks: what each has left is too small, or the server is too slow.
    """

    is_capacity_elsewhere: bool


def expected_start_s(
    queue: QueueAhead, own_work: float, *, keeps_share: bool = True
) -> float:
    """Return the seconds until the last task of a job is expected to start.

    The job leaves the queue after all work of its or a higher priority, also that which
    arrives meanwhile, or earlier by the share of the starts that its priority keeps.
    The time is infinite if the queue does not drain.

    Parameters
    ----------
    own_work
        Work of the job's tasks but the last, in units times seconds.
    keeps_share
        Whether the job may use the share that its priority keeps.
    """
    work = queue.work + own_work
    if work <= 0.0:
        return 0.0
    if queue.drain_rate <= 0.0:
        return math.inf
    kept_rate = LOWER_PRIORITY_SHARE * queue.drain_rate
    start_s = work / max(kept_rate, queue.drain_rate - queue.demand_above)
    if not keeps_share:
        return start_s
    return min(start_s, (queue.own_priority_work + own_work) / kept_rate)


def expected_end_refusal(
    job: JobOutlook, queue: QueueAhead, use: CapacityUse
) -> LateEndRefusal | None:
    """Return a refusal if a job is expected to end too late, or ``None`` to admit it.

    Parameters
    ----------
    use
        Use of the servers; ``free_tasks_in_time`` counts the tasks that would end
        before the answer is useless.
    """
    unclaimed = max(0, use.free_tasks_in_time - queue.smaller_tasks)
    waiting = job.tasks - unclaimed
    if waiting <= 0:
        return None
    start_s = expected_start_s(queue, (waiting - 1) * job.task_units * job.run_s)
    if start_s + job.run_s <= job.useless_in_s:
        slack_s = max(0.0, job.goal_in_s - job.run_s)
        if unclaimed or start_s <= MAX_QUEUE_WAIT_PER_SLACK * slack_s:
            return None
    is_elsewhere = use.idle - use.free >= job.tasks * job.task_units
    return LateEndRefusal(
        wait_s=start_s,
        is_capacity_elsewhere=is_elsewhere,
        detail=(
            f"its last task is expected to start in {start_s:.2f} s and to run for "
            f"{job.run_s:.2f} s, its goal is {job.goal_in_s:.2f} s; "
            f"{queue.work:.0f} core seconds are queued ahead, "
            f"{queue.drain_rate:.0f} cores serve this queue, "
            f"{use.idle:.0f} cores are idle, {use.free:.0f} of them usable"
        ),
    )
