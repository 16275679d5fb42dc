"""Estimates of a backend server's load and of the completion time of a task."""

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
    """

    task: TaskRequest
    now_s: float
    run_time_s: float
    waiting: int
    average_other_tasks_per_slot: float
    rack_tasks: dict[str, int]
    settings: PlacementSettings


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


def expected_run_time_s(server: BackendServer, context: PlacementContext) -> float:
    """Return the expected run time on a backend server, in seconds."""
    return context.run_time_s * server.slowness


def prefetch_limit(
    server: BackendServer, run_s: float, settings: PlacementSettings
) -> int:
    """Return the number of tasks that may wait at an agent beyond its slots.

    They fill the slots that become free during one round trip.
    """
    needed = round(server.slots * server.round_trip_s / run_s)
    return max(settings.minimum_prefetch, min(server.slots, needed))


def has_room(server: BackendServer, load: float, context: PlacementContext) -> bool:
    """Return whether a backend server may get one more task from this entry.

    It may while a slot or prefetch capacity is free, and always up to the
    number of guaranteed tasks.
    """
    if load < server.slots:
        return True
    if len(server.outstanding) < context.settings.guaranteed_tasks:
        return True
    run_s = expected_run_time_s(server, context)
    return load < server.slots + prefetch_limit(server, run_s, context.settings)


def stall_delay_s(
    server: BackendServer, run_s: float, context: PlacementContext
) -> float:
    """Return the seconds without a finished task beyond the stall timeout."""
    if not server.outstanding:
        return 0.0
    without_progress_s = context.now_s - server.last_progress_s
    return max(0.0, without_progress_s - stall_timeout_s(run_s, context.settings))


def stall_timeout_s(run_s: float, settings: PlacementSettings) -> float:
    """Return how long a server may run tasks without finishing one, in seconds."""
    return max(settings.stall_factor * run_s, settings.minimum_stall_s)


def expected_completion_s(
    server: BackendServer, load: float, context: PlacementContext
) -> float:
    """Return the seconds until a task dispatched now is expected to be answered."""
    run_s = context.run_time_s * server.slowness
    expected_s = server.round_trip_s + run_s + stall_delay_s(server, run_s, context)
    ahead = load - server.slots + 1.0
    if ahead > 0.0:
        expected_s += run_s * ahead / server.slots
    return expected_s
