"""Estimates of a backend server's load."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.placement.settings import PlacementSettings
from verbenaplank.placement.task import TaskRequest

if TYPE_CHECKING:
    from verbenaplank.placement.backend_server import BackendServer


@attrs.frozen(kw_only=True)
class PlacementContext:
    """Input of a placement policy in addition to the candidate backend servers.

    Attributes
    ----------
    run_time_s
        Expected run time of the task on a backend server of slowness 1.
    waiting
        Number of tasks queued at this entry, including the one to place.
    average_other_tasks_per_slot
        Moving average of the other entries' tasks per slot, over all reports.
    rack_tasks
        Outstanding tasks of the same job by rack.
    cold_factor
        How many times longer the task runs at the beginning of a cold time.
    """

    task: TaskRequest
    now_s: float
    run_time_s: float
    waiting: int
    average_other_tasks_per_slot: float
    rack_tasks: dict[str, int]
    settings: PlacementSettings
    cold_factor: float = 1.0


def estimated_other_tasks(server: BackendServer, context: PlacementContext) -> float:
    """Estimate the number of other entries' tasks at a backend server.

    The last load report loses weight with age, in favour of the fleet's average.
    """
    age_s = context.now_s - server.last_report_s
    validity_s = context.settings.report_validity_s
    if age_s <= 0.0:
        return server.other_entries_tasks
    usual = context.average_other_tasks_per_slot * server.slots
    if age_s >= validity_s:
        return usual
    weight = 1.0 - age_s / validity_s
    return weight * server.other_entries_tasks + (1.0 - weight) * usual


def estimated_load(server: BackendServer, context: PlacementContext) -> float:
    """Estimate the number of tasks of all entries at a backend server."""
    return len(server.outstanding) + estimated_other_tasks(server, context)


def stall_timeout_s(run_s: float, settings: PlacementSettings) -> float:
    """Return how long a server may run tasks without finishing one, in seconds."""
    return max(settings.stall_factor * run_s, settings.minimum_stall_s)
