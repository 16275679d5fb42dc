"""Seeded traces of jobs whose arrivals do not depend on earlier responses."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from uuid import UUID

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    Rate = Callable[[float], float]
    """Returns the arrival rate, in jobs per second, at a time in seconds."""

MIN_RUN_TIME_S = 0.05
MAX_RUN_TIME_S = 1.0
LONG_TASK_SHARE = 0.005
MIN_LONG_RUN_TIME_S = 2.0
MAX_LONG_RUN_TIME_S = 5.0
JOB_MEDIAN_SIGMA = 0.5
TASK_RUN_TIME_SIGMA = 0.4
DECLARED_RUN_TIME_SIGMA = 1.0
UUID7_VERSION_BITS = 0x7 << 76
UUID_VARIANT_BITS = 0x2 << 62


@attrs.frozen(kw_only=True)
class JobShape:
    """Distribution of the jobs of one kind.

    Attributes
    ----------
    share
        Share of the jobs of the workload that are of this kind.
    urgent_share
        Share of the jobs of this kind that are urgent.
    """

    share: float
    min_tasks: int
    max_tasks: int
    median_run_time_s: float
    urgent_share: float = 0.0


@attrs.frozen(kw_only=True)
class Workload:
    """Service, teams and kinds of jobs of one user of the system."""

    service: str
    teams: tuple[str, ...]
    shapes: tuple[JobShape, ...]


@attrs.frozen(kw_only=True)
class TracedJob:
    """One job of a trace.

    Attributes
    ----------
    run_times_s
        Run time of each task on a backend server of slowness 1.
    declared_run_time_s
        Run time that the caller declares, which is often wrong.
    """

    job_id: str
    arrival_s: float
    service: str
    team: str
    urgent: bool
    run_times_s: tuple[float, ...]
    declared_run_time_s: float


BOCHAS = Workload(
    service="fixtures",
    teams=("rosario", "litoral", "umpires"),
    shapes=(
        JobShape(
            share=0.50,
            min_tasks=1,
            max_tasks=1,
            median_run_time_s=0.15,
            urgent_share=0.5,
        ),
        JobShape(
            share=0.30,
            min_tasks=2,
            max_tasks=10,
            median_run_time_s=0.2,
            urgent_share=0.2,
        ),
        JobShape(share=0.15, min_tasks=11, max_tasks=50, median_run_time_s=0.25),
        JobShape(share=0.05, min_tasks=51, max_tasks=350, median_run_time_s=0.25),
    ),
)
KAYAL = Workload(
    service="enrolment",
    teams=("kochi", "kozhikode"),
    shapes=(
        JobShape(
            share=0.60,
            min_tasks=1,
            max_tasks=1,
            median_run_time_s=0.1,
            urgent_share=0.6,
        ),
        JobShape(
            share=0.30,
            min_tasks=2,
            max_tasks=8,
            median_run_time_s=0.15,
            urgent_share=0.2,
        ),
        JobShape(share=0.08, min_tasks=9, max_tasks=40, median_run_time_s=0.2),
        JobShape(share=0.02, min_tasks=41, max_tasks=200, median_run_time_s=0.2),
    ),
)
WORKLOADS = {"bochas": BOCHAS, "kayal": KAYAL}
MEAN_SAMPLE_JOBS = 20_000


def generate_trace(
    workload: Workload, seed: int, rate_per_s: Rate, peak_per_s: float, length_s: float
) -> list[TracedJob]:
    """Generate the jobs that arrive within ``length_s`` seconds.

    Arrivals are a Poisson process whose rate varies over time. The rate must
    never exceed ``peak_per_s``.
    """
    rng = random.Random(seed)
    jobs = []
    arrival_s = rng.expovariate(peak_per_s)
    while arrival_s < length_s:
        if rng.random() * peak_per_s < rate_per_s(arrival_s):
            jobs.append(generate_job(workload, rng, arrival_s))
        arrival_s += rng.expovariate(peak_per_s)
    return jobs


def generate_job(workload: Workload, rng: random.Random, arrival_s: float) -> TracedJob:
    """Generate one random job of a workload."""
    weights = [shape.share for shape in workload.shapes]
    shape = rng.choices(workload.shapes, weights)[0]
    count = rng.randint(shape.min_tasks, shape.max_tasks)
    median_s = shape.median_run_time_s * rng.lognormvariate(0, JOB_MEDIAN_SIGMA)
    return TracedJob(
        job_id=_generate_job_id(rng, arrival_s),
        arrival_s=arrival_s,
        service=workload.service,
        team=rng.choice(workload.teams),
        urgent=rng.random() < shape.urgent_share,
        run_times_s=tuple(_run_times_s(rng, median_s, count)),
        declared_run_time_s=median_s * rng.lognormvariate(0, DECLARED_RUN_TIME_SIGMA),
    )


def mean_work_s(workload: Workload) -> float:
    """Return the mean of the total run time of a job at slowness 1, in seconds.

    The mean is taken over a sample of generated jobs.
    """
    rng = random.Random(0)
    jobs = (generate_job(workload, rng, 0.0) for _ in range(MEAN_SAMPLE_JOBS))
    return sum(sum(job.run_times_s) for job in jobs) / MEAN_SAMPLE_JOBS


def _run_times_s(rng: random.Random, median_s: float, count: int) -> Iterator[float]:
    for _ in range(count):
        if rng.random() < LONG_TASK_SHARE:
            yield rng.uniform(MIN_LONG_RUN_TIME_S, MAX_LONG_RUN_TIME_S)
        else:
            run_s = median_s * rng.lognormvariate(0, TASK_RUN_TIME_SIGMA)
            yield min(max(run_s, MIN_RUN_TIME_S), MAX_RUN_TIME_S)


def _generate_job_id(rng: random.Random, arrival_s: float) -> str:
    timestamp = int(arrival_s * 1000) << 80
    random_bits = rng.getrandbits(128) & ~(-1 << 76) & ~(0x3 << 62)
    return str(
        UUID(int=timestamp | UUID7_VERSION_BITS | UUID_VARIANT_BITS | random_bits)
    )
