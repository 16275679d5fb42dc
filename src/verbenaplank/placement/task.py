"""Description of a task for admission and placement."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class Resources:
    """Resources that a task needs or a worker offers.

    Cores may be fractional, since several tasks can share a core.
    """

    cores: float = 0
    memory_mb: int = 0
    accelerators: int = 0


NO_RESOURCES = Resources()


@attrs.frozen(kw_only=True)
class TaskRequest:
    """One attempt of a task that waits for, or runs on, a backend server.

    Attributes
    ----------
    declared_run_time_s
        Run time that the caller or the configuration declares.
    deadline_s
        Monotonic time by which the answer is due.
    priority
        Priority level, 0 being served first.  It replaces ``urgent`` where there
        are more than two levels.
    goal_s
        Monotonic time by which the answer counts as on time.
    workload
        Name of a kind of task; within a service, tasks of the same workload have
        similar run times.
    exclusive
        Whether the runs of the task must not overlap.
    avoided_members
        Identifiers of the agents to which earlier attempts of the task went.
    name
        Name of the task at the backend server; empty if it has none.
    preferred_rack
        Rack on which the task runs fastest; empty if it has none.
    remote_factor
        How many times longer the task runs on any other rack.
    weighs_waits
        Whether its job is admitted, ordered and removed by its expected end.
    latest_start_s
        Monotonic time after which the task is not held.
    ends_wide_job
        Whether it is the last task of a job of many tasks, which waits for it.
    """

    job_id: str
    task_index: int
    service: str
    team: str
    urgent: bool = False
    needs: Resources = Resources()
    declared_run_time_s: float = 0.2
    deadline_s: float = float("inf")
    attempt: int = 1
    workload: str = ""
    priority: int = 0
    goal_s: float = float("inf")
    exclusive: bool = False
    avoided_members: frozenset[str] = frozenset()
    name: str = ""
    preferred_rack: str = ""
    remote_factor: float = 1.0
    weighs_waits: bool = False
    latest_start_s: float = float("inf")
    ends_wide_job: bool = False
