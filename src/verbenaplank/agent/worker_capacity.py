"""Checks whether tasks fit into the slots and resources of a worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.placement.task import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable
    from typing import Self

MILLICORES_PER_CORE = 1_000


@attrs.define
class Usage:
    """Number of some tasks and the total of what they need.

    Cores are counted in whole millicores, so that sums stay exact.
    """

    tasks: int = 0
    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    @classmethod
    def total(cls, needs: Iterable[Resources]) -> Self:
        """Return the usage of tasks with the given needs."""
        usage = cls()
        for part in needs:
            usage.add(part)
        return usage

    def add(self, needs: Resources) -> None:
        """Count one more task."""
        self.tasks += 1
        self.millicores += _millicores(needs)
        self.memory_mb += needs.memory_mb
        self.accelerators += needs.accelerators

    def remove(self, needs: Resources) -> None:
        """Count a task no longer."""
        self.tasks -= 1
        self.millicores -= _millicores(needs)
        self.memory_mb -= needs.memory_mb
        self.accelerators -= needs.accelerators

    @property
    def cores(self) -> float:
        """Total number of cores."""
        return self.millicores / MILLICORES_PER_CORE


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

    def fits(self, needs: Resources, in_use: Usage) -> bool:
        """Return whether a task fits beside the tasks that are already running."""
        if in_use.tasks >= self.slots:
            return False
        if self.size is None:
            return True
        return (
            in_use.millicores + _millicores(needs) <= _millicores(self.size)
            and in_use.memory_mb + needs.memory_mb <= self.size.memory_mb
            and in_use.accelerators + needs.accelerators <= self.size.accelerators
        )

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
        return self.fits(needs, Usage())


def _millicores(needs: Resources) -> int:
    return round(needs.cores * MILLICORES_PER_CORE)
