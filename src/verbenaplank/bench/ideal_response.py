"""Ideal response time of a job, to which real response times are compared.

The tasks run in their order on backend servers without other load. Each task
takes the slot that becomes free first, and the fastest of these if several
become free at the same time. One round trip is added.
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
    """Return the ideal response time of a job, in seconds.

    Parameters
    ----------
    run_times_s
        Run time of each task at slowness 1.
    slowness_by_slot
        Factor by which each slot multiplies run times. There must be at least
        one slot.
    round_trip_s
        Network round trip between caller and system.
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
