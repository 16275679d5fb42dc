"""A task as placement and admission see it."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class Resources:
    """What one task needs of a worker; a core may be shared by several."""

    cores: float = 0
    memory_mb: int = 0
    accelerators: int = 0


NO_RESOURCES = Resources()


@attrs.frozen(kw_only=True)
class TaskRequest:
    """One task that waits for, or runs on, a backend server.

    Attributes
    ----------
    declared_run_time_s
        The run time that the caller or the configuration declares.
    deadline_s
        Monotonic time by which the answer is due.
    priority
        0 is served first; used where there are more than two.
    goal_s
        Monotonic time until which the answer is still on time.
    workload
        Tasks of one service and workload have similar run times.
    exclusive
        Whether no two runs of the task may overlap.
    avoided_members
        Agents that an earlier attempt of this task went to.
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
