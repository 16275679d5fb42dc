"""Loads of jobs that name racks, for the comparison of rules for waiting."""

from __future__ import annotations

import random

import attrs

REMOTE_FACTOR = 2.0
STRETCH = 1.6
TARGET_LATENCY_MS = 61
SPREAD = 0.4
LONG_SHARE = 0.03
LONG_FACTOR = 7.0
ESTIMATE_ERROR = 1.4
CALLER_TIMEOUT_S = 1.54
RACKS = 9
SERVERS_PER_RACK = 2
CORES = 32.0
LARGE_SIZE = 1.5
"""Size of each third server relative to the others."""

SPEEDS = (0.55, 1.2, 1.2, 1.2)


@attrs.frozen(kw_only=True)
class Kind:
    """A kind of job.

    Attributes
    ----------
    tasks
        Number of tasks of a job.
    run_s
        Mean run time of most tasks in their rack at speed 1, in seconds.
    cores
        Cores that a task occupies.
    share
        Share of the jobs.
    names_rack
        Whether the tasks run faster on one rack.
    """

    name: str
    priority: int
    tasks: int
    run_s: float
    cores: float
    share: float
    names_rack: bool = False


SHORT = Kind(
    name="short",
    priority=0,
    tasks=8,
    run_s=0.12,
    cores=2.6,
    share=103 / 422,
    names_rack=True,
)
MEDIUM = Kind(name="medium", priority=1, tasks=2, run_s=0.4, cores=4.0, share=300 / 422)
LONG = Kind(name="long", priority=2, tasks=4, run_s=1.8, cores=4.0, share=19 / 422)
KINDS = (SHORT, MEDIUM, LONG)


@attrs.frozen(kw_only=True)
class LocalityScenario:
    """An offered load of which a part names one rack.

    Attributes
    ----------
    load
        Offered work in local runs as a share of the capacity of the servers.
    skew
        Share of the short jobs that name the same rack; the others name any rack.
    length_s
        Time during which jobs arrive, in seconds.
    """

    load: float
    skew: float
    entries: int = 6
    length_s: float = 20.0
    seed: int = 1


@attrs.frozen(kw_only=True)
class LocalityJob:
    """A job of the load.

    Attributes
    ----------
    arrival_s
        Simulated time of its arrival, in seconds.
    estimate_s
        The caller's estimate of the run time of a task, in seconds.
    run_times_s
        Run time of each task in its rack at speed 1, in seconds.
    """

    job_id: str
    arrival_s: float
    entry: int
    kind: Kind
    rack: str
    estimate_s: float
    run_times_s: tuple[float, ...]


def server_names() -> list[str]:
    """Return the names of the servers; the first part is the rack."""
    return [
        f"rack{rack}/{number}"
        for rack in range(RACKS)
        for number in range(SERVERS_PER_RACK)
    ]


def cores_of(index: int) -> float:
    """Return the cores of a server."""
    return CORES * (LARGE_SIZE if index % 3 == 2 else 1.0)


def speed_of(index: int) -> float:
    """Return the speed of a server; slow ones are spread over the racks."""
    return SPEEDS[index % len(SPEEDS)]


def jobs_per_s(load: float) -> float:
    """Return the rate of jobs that offers a share of the capacity."""
    count = RACKS * SERVERS_PER_RACK
    capacity = sum(cores_of(index) * speed_of(index) for index in range(count))
    mean_factor = 1.0 + LONG_SHARE * (LONG_FACTOR - 1.0)
    work = sum(kind.share * kind.tasks * kind.run_s * kind.cores for kind in KINDS)
    return load * capacity / (work * mean_factor)


def generate_jobs(scenario: LocalityScenario) -> list[LocalityJob]:
    """Return the jobs of a scenario in the order of their arrival."""
    source = random.Random(scenario.seed)
    rate_per_s = jobs_per_s(scenario.load)
    jobs: list[LocalityJob] = []
    now_s = source.expovariate(rate_per_s)
    while now_s < scenario.length_s:
        kind = source.choices(KINDS, [kind.share for kind in KINDS])[0]
        is_hot = source.random() < scenario.skew
        rack = f"rack{0 if is_hot else source.randrange(RACKS)}"
        error = ESTIMATE_ERROR ** source.uniform(-1.0, 1.0)
        jobs.append(
            LocalityJob(
                job_id=f"job-{len(jobs)}",
                arrival_s=now_s,
                entry=source.randrange(scenario.entries),
                kind=kind,
                rack=rack if kind.names_rack else "",
                estimate_s=kind.run_s * error,
                run_times_s=tuple(_run_time_s(kind, source) for _ in range(kind.tasks)),
            )
        )
        now_s += source.expovariate(rate_per_s)
    return jobs


def _run_time_s(kind: Kind, source: random.Random) -> float:
    long = LONG_FACTOR if source.random() < LONG_SHARE else 1.0
    return kind.run_s * long * source.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
