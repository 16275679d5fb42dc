"""Placement policies: functions that choose a backend server for one task."""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

from verbenaplank.placement.backend_server import BackendServer
from verbenaplank.placement.cold import decayed_factor
from verbenaplank.placement.expected_end import expected_completion_s
from verbenaplank.placement.expected_end import expected_run_time_s
from verbenaplank.placement.expected_end import has_room
from verbenaplank.placement.load import PlacementContext
from verbenaplank.placement.load import estimated_load

Policy = Callable[
    [Sequence[BackendServer], PlacementContext, random.Random], BackendServer | None
]
"""Returns one of the usable backend servers, or ``None`` to keep the task queued."""


def least_expected_completion(
    servers: Sequence[BackendServer],
    context: PlacementContext,
    random_source: random.Random,
) -> BackendServer | None:
    """Choose the backend server with the earliest expected completion.

    The task stays queued while all backend servers are full.  It also stays
    queued if the full ones are so much faster that they are expected to complete
    all tasks queued at this entry before the best one with room completes this task.
    """
    free: list[tuple[float, BackendServer]] = []
    full: list[BackendServer] = []
    for server in servers:
        load = estimated_load(server, context)
        if load < server.slots or has_room(server, load, context):
            free.append((expected_completion_s(server, load, context), server))
        else:
            full.append(server)
    if not free:
        return None
    best_s = min(completion_s for completion_s, _ in free)
    if full and _completion_if_queued_s(full, context) < best_s:
        return None
    tolerance_s = context.settings.tie_share * context.run_time_s
    tied = [server for end_s, server in free if end_s <= best_s + tolerance_s]
    return break_tie(tied, context)


def random_choice(
    servers: Sequence[BackendServer],
    context: PlacementContext,
    random_source: random.Random,
) -> BackendServer | None:
    """Choose a random one of those below the limit of outstanding tasks."""
    candidates = _below_outstanding_limit(servers, context)
    return random_source.choice(candidates) if candidates else None


def least_outstanding(
    servers: Sequence[BackendServer],
    context: PlacementContext,
    random_source: random.Random,
) -> BackendServer | None:
    """Choose one that has the fewest tasks of this entry; break ties at random."""
    candidates = _below_outstanding_limit(servers, context)
    if not candidates:
        return None
    fewest = min(len(server.outstanding) for server in candidates)
    tied = [server for server in candidates if len(server.outstanding) == fewest]
    return random_source.choice(tied)


def power_of_two(
    servers: Sequence[BackendServer],
    context: PlacementContext,
    random_source: random.Random,
) -> BackendServer | None:
    """Choose the less loaded of two random ones below the limit."""
    candidates = _below_outstanding_limit(servers, context)
    if not candidates:
        return None
    first = random_source.choice(candidates)
    second = random_source.choice(candidates)
    if estimated_load(first, context) <= estimated_load(second, context):
        return first
    return second


def slot_credits(
    servers: Sequence[BackendServer],
    context: PlacementContext,
    random_source: random.Random,
) -> BackendServer | None:
    """Choose one with the most unused credits; keep the task queued if none is left."""
    granted = context.settings.credits_per_entry
    credited = [server for server in servers if len(server.outstanding) < granted]
    return least_outstanding(credited, context, random_source)


POLICIES: Mapping[str, Policy] = {
    "least_expected_completion": least_expected_completion,
    "random": random_choice,
    "least_outstanding": least_outstanding,
    "power_of_two": power_of_two,
    "slot_credits": slot_credits,
}


def _below_outstanding_limit(
    servers: Sequence[BackendServer], context: PlacementContext
) -> list[BackendServer]:
    limit = context.settings.max_outstanding_per_agent
    return [server for server in servers if len(server.outstanding) < limit]


def _completion_if_queued_s(
    full: Sequence[BackendServer], context: PlacementContext
) -> float:
    """Return the seconds until the full servers would have run all queued tasks."""
    rate_per_s = 0.0
    for server in full:
        own_tasks = len(server.outstanding)
        share = own_tasks / max(estimated_load(server, context), 1.0)
        rate_per_s += share * server.slots / expected_run_time_s(server, context)
    if rate_per_s <= 0.0:
        return float("inf")
    fastest = min(
        full,
        key=lambda server: (
            server.slowness * decayed_factor(server, context.cold_factor, context.now_s)
        ),
    )
    run_s = expected_run_time_s(fastest, context)
    return fastest.round_trip_s + context.waiting / rate_per_s + run_s


def break_tie(
    servers: Sequence[BackendServer], context: PlacementContext
) -> BackendServer:
    """Choose among backend servers that are expected to complete at the same time.

    Several entries may choose the last free capacity of a backend server before its
    next report, and all but one are refused.  So it is used only if there is no other,
    whatever the round trip.  Apart from that only this entry's own tasks count, as
    entries that all choose the least loaded server would choose the same one.
    """
    if len(servers) == 1:
        return servers[0]
    counts = context.rack_tasks
    needs = context.task.needs

    def rank(server: BackendServer) -> tuple[bool, float, int, float]:
        takes_last_capacity = not server.has_free_resources(needs, tasks=2)
        rack_tasks = counts.get(server.member.rack, 0)
        own_share = len(server.outstanding) / max(server.slots, 1)
        return (takes_last_capacity, server.round_trip_s, rack_tasks, own_share)

    return min(servers, key=rank)
