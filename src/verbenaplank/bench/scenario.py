"""Scenarios under which placement policies are compared."""

from __future__ import annotations

import attrs

from verbenaplank.bench.trace import BOCHAS
from verbenaplank.bench.trace import Workload

SLOWNESS = (0.7, 0.75, 0.8, 0.9, 1.0, 1.0, 1.1, 1.2, 1.3, 1.5, 1.8)
"""Factor by which each backend server multiplies run times."""

SLOTS_PER_SERVER = 8
SIMULATED_LENGTH_S = 120.0
FAULT_AT_S = 20.0


@attrs.frozen(kw_only=True)
class Scenario:
    """An offered load and the faults that occur under it.

    Attributes
    ----------
    load
        Offered work as a share of the capacity of the backend servers without
        faults.
    burst_factor
        Factor that applies to the load between ``burst_from_s`` and ``burst_to_s``.
    slowed, failing, stalled
        Indices of the backend servers that, from ``FAULT_AT_S`` on, become 4
        times slower, fail every task at once, or finish no task.
    """

    name: str
    load: float
    burst_factor: float = 1.0
    burst_from_s: float = 40.0
    burst_to_s: float = 45.0
    slowed: tuple[int, ...] = ()
    failing: tuple[int, ...] = ()
    stalled: tuple[int, ...] = ()
    workload: Workload = BOCHAS

    def rate_factor(self, now_s: float) -> float:
        """Return the factor that applies to the load at a time."""
        in_burst = self.burst_from_s <= now_s < self.burst_to_s
        return self.burst_factor if in_burst else 1.0


SCENARIOS = (
    Scenario(name="light", load=0.2),
    Scenario(name="70%", load=0.7),
    Scenario(name="95%", load=0.95),
    Scenario(name="burst 3x", load=0.5, burst_factor=3.0),
    Scenario(name="two 4x slower", load=0.6, slowed=(1, 5)),
    Scenario(name="one failing", load=0.6, failing=(2,)),
    Scenario(name="one stalled", load=0.6, stalled=(2,)),
    Scenario(name="overload 2x", load=2.0),
)
