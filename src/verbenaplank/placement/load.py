"""Estimates of a backend server's load and of when it would finish a task."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.placement.settings import PlacementSettings
from verbenaplank.placement.task import TaskRequest

if TYPE_CHECKING:
    from verbenaplank.placement.backend_server import BackendServer


@attrs.frozen(kw_only=True)
class PlacementContext:
    """What a policy knows besides the backend servers.

    Attributes
    ----------
    run_time_s
        Expected run time of the task on a backend server of slowness 1.
    waiting
        Tasks that wait at this entry, the one to place included.
    usual_share_of_others
        Usual number of other entries' tasks per slot.
    rack_tasks
        Tasks of the same job by rack.
    """

    task: TaskRequest
    now_s: float
    run_time_s: float
    waiting: int
    usual_share_of_others: float
    rack_tasks: dict[str, int]
    settings: PlacementSettings


def others_estimate(server: BackendServer, context: PlacementContext) -> float:
    """Return the estimated tasks of other entries; an old report counts less."""
    age_s = context.now_s - server.reported_s
    validity_s = context.settings.report_validity_s
    if age_s <= 0.0:
        return server.others
    usual = context.usual_share_of_others * server.slots
    if age_s >= validity_s:
        return usual
    weight = 1.0 - age_s / validity_s
    return weight * server.others + (1.0 - weight) * usual


def load_estimate(server: BackendServer, context: PlacementContext) -> float:
    """Return the estimated tasks of all entries at a backend server."""
    return len(server.outstanding) + others_estimate(server, context)


def run_time_s(server: BackendServer, context: PlacementContext) -> float:
    """Return the expected run time there, in seconds."""
    return context.run_time_s * server.slowness


def lead(server: BackendServer, run_s: float, settings: PlacementSettings) -> int:
    """Return how many tasks may wait there, to bridge one round trip."""
    needed = round(server.slots * server.round_trip_s / run_s)
    return max(settings.minimum_lead, min(server.slots, needed))


def has_room(server: BackendServer, load: float, context: PlacementContext) -> bool:
    """Return whether the slots and the lead there are not yet taken."""
    if load < server.slots:
        return True
    if len(server.outstanding) < context.settings.guaranteed_tasks:
        return True
    run_s = run_time_s(server, context)
    return load < server.slots + lead(server, run_s, context.settings)


def silence_s(server: BackendServer, run_s: float, context: PlacementContext) -> float:
    """Return by how long its next finished task is overdue, in seconds."""
    if not server.outstanding:
        return 0.0
    quiet_s = context.now_s - server.quiet_since_s
    return max(0.0, quiet_s - allowed_silence_s(run_s, context.settings))


def allowed_silence_s(run_s: float, settings: PlacementSettings) -> float:
    """Return how long tasks may run without one of them finishing, in seconds."""
    return max(settings.stall_factor * run_s, settings.minimum_silence_s)


def expected_completion_s(
    server: BackendServer, load: float, context: PlacementContext
) -> float:
    """Return in how many seconds a task dispatched now would be answered."""
    run_s = context.run_time_s * server.slowness
    expected_s = server.round_trip_s + run_s + silence_s(server, run_s, context)
    ahead = load - server.slots + 1.0
    if ahead > 0.0:
        expected_s += run_s * ahead / server.slots
    return expected_s
