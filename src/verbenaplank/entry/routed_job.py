"""Jobs that callers submit through a route, and their outcomes."""

from __future__ import annotations

from enum import StrEnum

import attrs

from verbenaplank.agent.named_task import NamedTask
from verbenaplank.agent.named_task import encode_task
from verbenaplank.entry.submission import Submission
from verbenaplank.overload.job_memory import job_bytes
from verbenaplank.overload.latest_start import latest_start_s
from verbenaplank.overload.refusal import RefusalCause
from verbenaplank.placement.task import Resources
from verbenaplank.placement.task import TaskRequest
from verbenaplank.routing.table import Route
from verbenaplank.routing.weighing import weighs_waits

MS_PER_S = 1_000.0
USELESS_AFTER_FACTOR = 3.0
"""A result is useless to its caller after this multiple of the latency goal."""

ESTIMATE_ERROR_FACTOR = 1.4
"""Factor by which the actual run time may exceed a caller's estimate."""

RUN_TIMEOUT_FACTOR = 12.0
"""A run may take this multiple of its estimate, or ``MIN_RUN_TIMEOUT_S`` if longer."""

MIN_RUN_TIMEOUT_S = 4.0


class RoutedJobState(StrEnum):
    """Final state of a routed job.

    ``REFUSED`` means that none of its tasks has run or will run.  ``UNKNOWN``
    means that some tasks may have run, or may still run until their lease expires.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class RoutedOutcome:
    """Outcome of a routed job.

    Attributes
    ----------
    state
        The final state.
    detail
        The reason if the job did not succeed.
    retry_after_s
        Seconds after which a refused job may be sent again, or ``None``.
    cause
        Why the job was refused; ``None`` if it was not.
    """

    state: RoutedJobState
    detail: str = ""
    retry_after_s: float | None = None
    cause: RefusalCause | None = None


@attrs.frozen(kw_only=True)
class RoutedJob:
    """A job of tasks with equal needs, submitted through a route.

    Attributes
    ----------
    key
        The caller's id of the job, unique within the route.
    route
        The route that matched the request.
    tasks
        The tasks, each with its name at the backend server.
    needs
        What each task needs of a worker.
    estimate_s
        The caller's estimate of the run time of a task, in seconds.
    caller_timeout_s
        How long the caller waits for the outcome, in seconds.
    request_id
        The caller's id of this request, used in the log.
    preferred_rack
        Rack on which the tasks run fastest; empty if there is none.
    remote_factor
        How many times longer a task runs on any other rack.
    """

    key: str
    route: Route
    tasks: tuple[NamedTask, ...]
    needs: Resources
    estimate_s: float
    caller_timeout_s: float
    request_id: str = ""
    preferred_rack: str = ""
    remote_factor: float = 1.0

    @property
    def goal_s(self) -> float:
        """Return the longest latency that meets the job's goal, in seconds.

        It grows with the run time that the caller estimates.
        """
        target_s = self.route.target_latency_ms / MS_PER_S
        return self.route.stretch * self.estimate_s + target_s

    @property
    def useless_after_s(self) -> float:
        """Return the latency from which a result is useless, in seconds."""
        return min(self.caller_timeout_s, USELESS_AFTER_FACTOR * self.goal_s)

    @property
    def weighs_waits(self) -> bool:
        """Return whether the job weighs waits, once it has its remote factor."""
        return weighs_waits(self.route, self.remote_factor)

    @property
    def size_bytes(self) -> int:
        """Return the memory that the job takes while it is in progress."""
        content_bytes = sum(len(task.content) for task in self.tasks)
        return job_bytes(len(self.tasks), content_bytes)

    @property
    def slack_s(self) -> float:
        """Return the time that the job can wait and still meet its goal."""
        return self.goal_s - self.estimate_s


def apply_remote_factor(job: RoutedJob, remote_factor: float) -> RoutedJob:
    """Return the job with the remote factor if its goal does not allow for it.

    A goal of more run times than the factor allows for a run on any rack; such a job
    is placed without regard to its rack.
    """
    weighs = weighs_waits(job.route, remote_factor)
    if not weighs and job.remote_factor == 1.0 and not job.preferred_rack:
        return job
    if weighs:
        return attrs.evolve(job, remote_factor=remote_factor)
    return attrs.evolve(job, remote_factor=1.0, preferred_rack="")


def routed_submission(
    job: RoutedJob, job_id: str, received_s: float, *, weighs_waits: bool = False
) -> Submission:
    """Return the submission that runs a routed job.

    Parameters
    ----------
    job_id
        Id that is unique among the jobs of all entries.
    received_s
        Monotonic time at which the job was received.
    weighs_waits
        Whether the job leaves the queue as soon as its expected start is too late.
    """
    goal_s = job.goal_s
    useless_after_s = USELESS_AFTER_FACTOR * goal_s * ESTIMATE_ERROR_FACTOR
    run_timeout_s = max(MIN_RUN_TIMEOUT_S, RUN_TIMEOUT_FACTOR * job.estimate_s)
    deadline_s = received_s + min(job.caller_timeout_s, useless_after_s)
    shortest_run_s = job.estimate_s / ESTIMATE_ERROR_FACTOR
    return Submission(
        job_id=job_id,
        service=job.route.service,
        team=job.route.name,
        digest=b"",
        payloads=tuple(
            encode_task(
                NamedTask(name=task.name, content=task.content, workload=job.route.name)
            )
            for task in job.tasks
        ),
        received_s=received_s,
        deadline_s=deadline_s,
        latest_start_s=latest_start_s(deadline_s, shortest_run_s),
        urgent=job.route.priority == 0,
        claimed=False,
        max_runs=max(1, job.route.max_attempts),
        exclusive=True,
        workload=job.route.name,
        priority=job.route.priority,
        goal_s=received_s + goal_s,
        needs=job.needs,
        declared_run_time_s=job.estimate_s,
        run_timeout_ms=run_timeout_s * MS_PER_S,
        task_names=tuple(task.name for task in job.tasks),
        preferred_rack=job.preferred_rack,
        remote_factor=job.remote_factor,
        weighs_waits=weighs_waits,
    )


def routed_task(job: RoutedJob, received_s: float) -> TaskRequest:
    """Return a placement request for a task of a job that has no id yet."""
    return TaskRequest(
        job_id="",
        task_index=0,
        service=job.route.service,
        team=job.route.name,
        urgent=job.route.priority == 0,
        needs=job.needs,
        declared_run_time_s=job.estimate_s,
        workload=job.route.name,
        priority=job.route.priority,
        goal_s=received_s + job.goal_s,
        exclusive=True,
        preferred_rack=job.preferred_rack,
        remote_factor=job.remote_factor,
        weighs_waits=job.weighs_waits,
    )
