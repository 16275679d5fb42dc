"""A validated request."""

from __future__ import annotations

import attrs

from verbenaplank.placement.task import Resources


@attrs.frozen(kw_only=True)
class Submission:
    """A validated request that the entry is to run.

    Attributes
    ----------
    digest
        Digest of the content; a request with the same id and another digest is
        rejected.
    payloads
        Encoded payload of each task, in order.
    received_s
        Monotonic time at which the request arrived.
    deadline_s
        Monotonic time by which the response is due.
    latest_start_s
        Monotonic time by which the last task must have been dispatched, or the
        response would be useless.
    single
        Whether the caller sent a single request instead of a job of tasks.
    claimed
        Whether a majority of registrars must grant the id before any task starts.
    max_runs
        Maximum number of runs of each task; above 1 only for idempotent requests
        and exclusive tasks.
    exclusive
        Whether runs of the same task must not overlap.  ``max_runs`` then limits
        the failed runs; a lost or refused run does not count.
    workload
        Name of a group of tasks with similar run times within the service.
    priority
        Priority, 0 being the highest; used if there are more than two priorities.
    goal_s
        Monotonic time until which the response meets its latency goal.
    needs
        What each task needs of a worker.
    declared_run_time_s
        Run time of a task as the caller or the configuration declares it.
    run_timeout_ms
        Maximum run time of a task, in milliseconds.
    task_names
        Name of each task at the backend server, in order, by which crash reports refer
        to it; empty if the tasks have no names there.
    preferred_rack
        Rack on which the tasks run fastest; empty if there is none.
    remote_factor
        How many times longer a task runs on any other rack.
    weighs_waits
        Whether the job leaves the queue as soon as its expected start is too late.
    """

    job_id: str
    service: str
    team: str
    digest: bytes
    payloads: tuple[bytes, ...]
    received_s: float
    deadline_s: float
    latest_start_s: float = float("inf")
    single: bool = False
    urgent: bool = False
    claimed: bool = True
    max_runs: int = 1
    exclusive: bool = False
    workload: str = ""
    priority: int = 0
    goal_s: float = float("inf")
    needs: Resources = attrs.field(factory=Resources)
    declared_run_time_s: float = 0.2
    run_timeout_ms: float = 30_000.0
    task_names: tuple[str, ...] = ()
    preferred_rack: str = ""
    remote_factor: float = 1.0
    weighs_waits: bool = False
