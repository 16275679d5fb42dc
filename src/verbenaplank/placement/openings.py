"""When full servers are expected to have capacity for further tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.placement.load import estimated_other_tasks

if TYPE_CHECKING:
    from verbenaplank.placement.backend_server import BackendServer
    from verbenaplank.placement.load import PlacementContext

MIN_TYPICAL_RUN_S = 0.001
OVERDUE_SHARE = 0.25
"""Share of its run time for which a task is expected to run on at its expected end."""

OVERDUE_GROWTH = 2.0
"""Further run time to expect for each second beyond the expected end.

It follows the mean remaining run time where run times are log-normal with a spread of
0.4 and 3% of the tasks take 7 times as long: the longer a task is overdue, the more
likely it is one of these."""


def openings_s(
    server: BackendServer, context: PlacementContext, count: int, typical_run_s: float
) -> list[float]:
    """Return the seconds until a server has capacity for 1, 2, ... further tasks.

    The tasks of this entry end after their expected run times.  Those of the others
    are not known one by one: they end evenly spread over a typical run time.

    The list is empty if the server lacks neither cores nor slots, but something whose
    end is not known.

    Parameters
    ----------
    count
        Largest number of openings to return.
    typical_run_s
        Mean run time of the tasks of all entries, in seconds.
    """
    units_of = _units_of(server, context)
    needed, free = units_of.needed, units_of.free
    if free >= needed:
        return []
    rate_per_s = units_of.others / max(typical_run_s, MIN_TYPICAL_RUN_S)
    openings: list[float] = []
    time_s = 0.0
    goal = needed
    ends = _own_ends(server, context, by_cores=units_of.by_cores)
    last_s = max(ends[-1][0] if ends else 0.0, typical_run_s)
    for end_in_s, units in [*ends, (last_s, 0.0)]:
        while rate_per_s > 0.0 and free + rate_per_s * (end_in_s - time_s) >= goal:
            openings.append(time_s + max(0.0, goal - free) / rate_per_s)
            goal += needed
            if len(openings) >= count:
                return openings
        free += rate_per_s * (end_in_s - time_s) + units
        time_s = end_in_s
        while free >= goal:
            openings.append(time_s)
            goal += needed
            if len(openings) >= count:
                return openings
    return openings


@attrs.frozen
class _Units:
    """Units that a task needs, are free, and that other entries use.

    A unit is a core if the server lacks cores for the task, else a slot.
    """

    needed: float
    free: float
    others: float
    by_cores: bool = attrs.field(kw_only=True)


def _units_of(server: BackendServer, context: PlacementContext) -> _Units:
    cores = context.task.needs.cores
    free_cores = (
        server.member.worker.cores - server.reserved_cores - server.other_entries_cores
    )
    if cores > free_cores:
        return _Units(cores, free_cores, server.other_entries_cores, by_cores=True)
    used_by_others = estimated_other_tasks(server, context)
    free_slots = server.slots - len(server.outstanding) - used_by_others
    return _Units(1.0, free_slots, used_by_others, by_cores=False)


def _own_ends(
    server: BackendServer, context: PlacementContext, *, by_cores: bool
) -> list[tuple[float, float]]:
    """Return when each own task is expected to end, in seconds, and its units."""
    ends: list[tuple[float, float]] = []
    for key, dispatched_s in server.outstanding.items():
        units = 1.0
        if by_cores:
            needs = server.reservations.get(key)
            units = needs.cores if needs is not None else 0.0
        run_s = server.expected_run_s.get(key, context.run_time_s)
        age_s = context.now_s - dispatched_s - server.round_trip_s
        ends.append((remaining_run_time_s(run_s, age_s), units))
    ends.sort()
    return ends


def remaining_run_time_s(run_s: float, age_s: float) -> float:
    """Return how much longer a task is expected to run, in seconds.

    Parameters
    ----------
    run_s
        Expected run time, in seconds.
    age_s
        Time for which it has run, in seconds; negative before it starts.
    """
    overdue_s = age_s - run_s
    if overdue_s < 0.0:
        return -overdue_s
    return OVERDUE_SHARE * run_s + OVERDUE_GROWTH * overdue_s
