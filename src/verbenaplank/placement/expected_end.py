"""The expected end of a task on a backend server, and whether it has room for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.placement.cold import decayed_factor
from verbenaplank.placement.load import stall_timeout_s

if TYPE_CHECKING:
    from verbenaplank.placement.backend_server import BackendServer
    from verbenaplank.placement.load import PlacementContext
    from verbenaplank.placement.settings import PlacementSettings
    from verbenaplank.placement.task import TaskRequest


def expected_run_time_s(server: BackendServer, context: PlacementContext) -> float:
    """Return the expected run time on a backend server, in seconds."""
    warm_s = warm_run_time_s(server, context.task, context.run_time_s)
    return warm_s * decayed_factor(server, context.cold_factor, context.now_s)


def warm_run_time_s(
    server: BackendServer, task: TaskRequest, run_time_s: float
) -> float:
    """Return the expected run time while the server is not cold, in seconds.

    Parameters
    ----------
    run_time_s
        Expected run time at slowness 1, in seconds.
    """
    return run_time_s * server.slowness * remote_factor(server, task)


def remote_factor(server: BackendServer, task: TaskRequest) -> float:
    """Return how many times longer a task runs there than in its preferred rack."""
    if not task.preferred_rack or task.preferred_rack == server.member.rack:
        return 1.0
    return task.remote_factor


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
    without_progress_s = context.now_s - server.stall_counts_from_s
    if without_progress_s <= context.settings.minimum_stall_s:
        return 0.0
    return max(0.0, without_progress_s - stall_timeout_s(run_s, context.settings))


def expected_completion_s(
    server: BackendServer, load: float, context: PlacementContext
) -> float:
    """Return the seconds until a task dispatched now is expected to be answered."""
    run_s = expected_run_time_s(server, context)
    expected_s = server.round_trip_s + run_s + stall_delay_s(server, run_s, context)
    ahead = load - server.slots + 1.0
    if ahead > 0.0:
        expected_s += run_s * ahead / server.slots
    return expected_s
