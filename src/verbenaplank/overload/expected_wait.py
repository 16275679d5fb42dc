"""Estimates how long a new job would wait at an entry.

Load pattern: a burst at entries with uneven traffic.  An equal share of the cores says
little about an entry with twice the mean traffic.  While tasks wait, each core that a
task of the entry occupies goes to its next task when that one ends, so the occupied
cores are the rate at which the entry's queue shrinks.
"""

from __future__ import annotations

import math

import attrs

MEASURED_AFTER_S = 1.0
"""How long tasks must have waited before the occupied cores are taken for the rate.

Earlier, an entry may still gain cores from others."""

MIN_SHARE = 0.25
"""Least rate, as a part of the equal share, that an entry expects to obtain."""


@attrs.frozen(kw_only=True)
class ServiceLoad:
    """What an entry knows of the load of one service.

    Cores count at the speed of a usual worker.

    Attributes
    ----------
    queued_core_s
        Work queued at this entry that goes ahead of the new job, in core seconds.
    occupied_cores
        Cores that tasks of this entry occupy.
    equal_share_cores
        Cores of the service divided by the number of entries.
    waiting_for_s
        How long tasks have been waiting at this entry, in seconds.
    """

    queued_core_s: float
    occupied_cores: float
    equal_share_cores: float
    waiting_for_s: float


def expected_wait_s(load: ServiceLoad) -> float:
    """Return how long a new job would wait, in seconds.

    It is infinite if work is queued and no core is known.
    """
    if load.queued_core_s <= 0.0:
        return 0.0
    cores = drain_cores(load)
    return load.queued_core_s / cores if cores > 0.0 else math.inf


def drain_cores(load: ServiceLoad) -> float:
    """Return the cores at which this entry's queue drains; 0 if none is known."""
    if load.waiting_for_s < MEASURED_AFTER_S:
        return max(load.occupied_cores, load.equal_share_cores)
    return max(load.occupied_cores, MIN_SHARE * load.equal_share_cores)
