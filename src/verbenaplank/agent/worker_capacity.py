"""Checks whether tasks fit into the slots and resources of a worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.placement.task import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable

MILLICORES_PER_CORE = 1_000


@attrs.frozen(kw_only=True)
class WorkerCapacity:
    """Slots and resources of a worker, with cores compared in whole millicores.

    Attributes
    ----------
    slots
        Maximum number of tasks that run at a time, independent of their needs.
    size
        Resources that the running tasks may use in total; ``None`` for no limit.
    """

    slots: int
    size: Resources | None = None

    def fits(self, needs: Resources, in_use: Iterable[Resources]) -> bool:
        """Return whether a task fits beside the tasks that are already running."""
        used = list(in_use)
        if len(used) >= self.slots:
            return False
        return self.size is None or _is_within([needs, *used], self.size)

    def headroom(self, in_use: Iterable[Resources]) -> float:
        """Return how many further tasks fit that need as much as the largest in use.

        Only slots and cores are considered.
        """
        used = list(in_use)
        free_slots = float(self.slots - len(used))
        largest_cores = max((needs.cores for needs in used), default=0.0)
        if self.size is None or largest_cores <= 0.0:
            return free_slots
        free_cores = self.size.cores - sum(needs.cores for needs in used)
        return min(free_slots, free_cores / largest_cores)

    def fits_alone(self, needs: Resources) -> bool:
        """Return whether a task fits into the worker while nothing else runs."""
        return self.fits(needs, ())


def sum_resources(needs: Iterable[Resources]) -> Resources:
    """Return the total of the resources that several tasks need."""
    parts = list(needs)
    return Resources(
        cores=_millicores(parts) / MILLICORES_PER_CORE,
        memory_mb=sum(part.memory_mb for part in parts),
        accelerators=sum(part.accelerators for part in parts),
    )


def _is_within(parts: list[Resources], size: Resources) -> bool:
    return (
        _millicores(parts) <= _millicores([size])
        and sum(part.memory_mb for part in parts) <= size.memory_mb
        and sum(part.accelerators for part in parts) <= size.accelerators
    )


def _millicores(parts: list[Resources]) -> int:
    return sum(round(part.cores * MILLICORES_PER_CORE) for part in parts)
