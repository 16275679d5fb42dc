"""Simulated agents whose backend servers differ in speed and size."""

from __future__ import annotations

import attrs

from verbenaplank.placement.backend_server import CORE_TOLERANCE
from verbenaplank.protocol.work import LoadReport

RunKey = tuple[str, int, int]
"""Job id, task index and attempt."""


@attrs.define(eq=False)
class SimulatedServer:
    """A server that runs tasks as long as it has cores for them.

    Attributes
    ----------
    ends_s
        Time at which each accepted or sent task ends, and its cores.
    used
        Cores of the accepted tasks.
    held
        Number of tasks that each entry holds for its rack.
    """

    name: str
    rack: str
    cores: float
    speed: float
    used: float = 0.0
    ends_s: dict[RunKey, tuple[float, float]] = attrs.field(factory=dict)
    held: dict[int, int] = attrs.field(factory=dict)

    def has_cores(self, cores: float) -> bool:
        """Return whether a further task with these cores may start."""
        return self.used + cores <= self.cores + CORE_TOLERANCE

    def report(self) -> LoadReport:
        """Return the load report that is sent along with replies."""
        return LoadReport(
            running=0, queued=0, cores_used=self.used, held=sum(self.held.values())
        )

    def openings_s(self, now_s: float, cores: float, count: int) -> list[float]:
        """Return the first times at which further tasks have cores."""
        free = self.cores - sum(used for _, used in self.ends_s.values())
        openings: list[float] = []
        needed = cores
        for end_s, used in [(now_s, 0.0), *sorted(self.ends_s.values())]:
            free += used
            while free + CORE_TOLERANCE >= needed and len(openings) < count:
                openings.append(max(now_s, end_s))
                needed += cores
        return openings
