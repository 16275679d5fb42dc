"""The ideal response time of a job.

The tasks run in their order on unloaded backend servers, each on the fastest
slot of those that are free first; one round trip is added.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


def ideal_response_s(
    run_times_s: Sequence[float],
    slowness_by_slot: Sequence[float],
    round_trip_s: float,
) -> float:
    """Return the ideal response time, in seconds.

    Parameters
    ----------
    run_times_s
        Run time of each task at slowness 1.
    slowness_by_slot
        Slowness of each slot; not empty.
    """
    slots = [(0.0, slowness) for slowness in slowness_by_slot]
    heapq.heapify(slots)
    last_s = 0.0
    for run_s in run_times_s:
        free_s, slowness = slots[0]
        end_s = free_s + run_s * slowness
        heapq.heapreplace(slots, (end_s, slowness))
        last_s = max(last_s, end_s)
    return last_s + round_trip_s
