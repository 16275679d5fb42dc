"""The size that the system is to carry, and the layout planned for it."""

from __future__ import annotations

import math

import attrs

SECONDS_PER_DAY = 86_400


@attrs.frozen(kw_only=True)
class CapacityTarget:
    """Sizes at the target.

    Attributes
    ----------
    tasks_per_job, run_time_s
        Means; every task is a job of its own in the worst case for claims.
    retention_s
        How long claims, starts and answers are remembered.
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
        """Return the agents in one data centre."""
        return math.ceil(self.workers / self.data_centres)


@attrs.frozen(kw_only=True)
class NodeLimits:
    """What control may cost a node."""

    processor_share: float = 0.013
    resident_bytes: int = 32 * 1024 * 1024
    bytes_per_s: float = 2_048.0


@attrs.frozen(kw_only=True)
class Layout:
    """Who keeps a stream to whom.

    Attributes
    ----------
    entry_utilization
        Share of a core that an entry is planned to use.
    spill_agents
        Agents of each other data centre of its region that an entry uses;
        ``None`` for a stream to every agent of all data centres.
    registrars
        Control instances that grant claims; each job is claimed at three.
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
