"""Target size of the system, and the current and the planned stream layout."""

from __future__ import annotations

import math

import attrs

SECONDS_PER_DAY = 86_400


@attrs.frozen(kw_only=True)
class CapacityTarget:
    """Size and load that the system is planned for.

    Attributes
    ----------
    tasks_per_job, run_time_s
        Mean number of tasks of a job, and mean run time of a task. In the worst
        case for claims, every task is a job of its own.
    retention_s
        Time for which claims, starts and answers are kept.
    """

    workers: int = 3_800
    starts_per_s: float = 83_000.0
    teams: int = 680
    regions: int = 4
    data_centres: int = 9
    changes_per_day: int = 1_600
    failures_per_day: int = 22
    restarts_per_day: int = 1_500
    control_instances: int = 14
    tasks_per_job: float = 17.0
    run_time_s: float = 0.3
    retention_s: float = 300.0

    @property
    def agents_per_data_centre(self) -> int:
        """Return the number of agents in one data centre, rounded up."""
        return math.ceil(self.workers / self.data_centres)


@attrs.frozen(kw_only=True)
class WorkerLimits:
    """Limits of the resources that an agent may use on a worker.

    The limits on processor and network apply to its work apart from tasks.
    """

    processor_share: float = 0.013
    resident_bytes: int = 32 * 1024 * 1024
    bytes_per_s: float = 2_048.0


@attrs.frozen(kw_only=True)
class Layout:
    """Streams between entries and agents, and the number of registrars.

    Attributes
    ----------
    entry_utilization
        Planned share of a core that an entry uses.
    agents_per_other_data_centre
        Number of agents to which an entry keeps a stream in each other data
        centre of its region. ``None`` stands for a stream to every agent of
        all data centres.
    registrars
        Number of control instances that grant claims. Each job is claimed at
        three of them.
    """

    name: str
    entry_utilization: float = 0.6
    agents_per_other_data_centre: int | None = None
    heartbeat_period_s: float = 1.0
    registrars: int = 3


CURRENT_LAYOUT = Layout(
    name="as built: every entry to every agent, one registrar group"
)
PLANNED_LAYOUT = Layout(
    name="planned: entries of the data centre, regional registrar groups",
    agents_per_other_data_centre=16,
    registrars=12,
)
