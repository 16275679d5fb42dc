"""A request that passed all checks."""

from __future__ import annotations

import attrs

from verbenaplank.placement.task import Resources


@attrs.frozen(kw_only=True)
class Submission:
    """What the entry undertakes to run.

    Attributes
    ----------
    single
        Whether the caller sent one call instead of a job of tasks.
    digest
        Digest of the content; another content under the same id is refused.
    claimed
        Whether a majority of registrars must grant the id before a start.
    max_runs
        How often each task may run; above 1 only for idempotent calls.
    exclusive
        Whether no two runs of a task may overlap.  ``max_runs`` then counts the
        runs that failed; one that was lost or refused does not count.
    priority
        0 is served first; used where there are more than two.
    goal_s
        Monotonic time until which the answer is still on time.
    workload
        Names tasks of similar run times within the service.
    received_s
        Monotonic time at which the request arrived.
    deadline_s
        Monotonic time by which the answer is due.
    """

    job_id: str
    service: str
    team: str
    digest: bytes
    payloads: tuple[bytes, ...]
    received_s: float
    deadline_s: float
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
