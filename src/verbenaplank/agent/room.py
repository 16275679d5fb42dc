"""What the runs of a worker hold of it, no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.placement.task import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable

MILLICORES_PER_CORE = 1_000


@attrs.frozen(kw_only=True)
class WorkerRoom:
    """What a worker holds; fractions of cores are counted in thousandths.

    Attributes
    ----------
    slots
        How many tasks run at a time, whatever they need.
    size
        What the tasks may need together; ``None`` if it is not limited.
    """

    slots: int
    size: Resources | None = None

    def has_room_for(self, needs: Resources, held: Iterable[Resources]) -> bool:
        """Return whether one more task fits beside what is held."""
        taken = list(held)
        if len(taken) >= self.slots:
            return False
        return self.size is None or _exceeds_not([needs, *taken], self.size)

    def holds(self, needs: Resources) -> bool:
        """Return whether a task fits into the empty worker."""
        return self.has_room_for(needs, ())


def total(held: Iterable[Resources]) -> Resources:
    """Return what several tasks need together."""
    parts = list(held)
    return Resources(
        cores=_millicores(parts) / MILLICORES_PER_CORE,
        memory_mb=sum(part.memory_mb for part in parts),
        accelerators=sum(part.accelerators for part in parts),
    )


def _exceeds_not(parts: list[Resources], size: Resources) -> bool:
    return (
        _millicores(parts) <= _millicores([size])
        and sum(part.memory_mb for part in parts) <= size.memory_mb
        and sum(part.accelerators for part in parts) <= size.accelerators
    )


def _millicores(parts: list[Resources]) -> int:
    return sum(round(part.cores * MILLICORES_PER_CORE) for part in parts)
