"""Remembers which needs no backend server can meet at the moment."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.placement.backend_server import fits

if TYPE_CHECKING:
    from verbenaplank.placement.task import Resources
    from verbenaplank.placement.task import TaskRequest


class UnplaceableNeeds:
    """Needs of tasks that could not be placed, by service and exclusiveness.

    Valid while no capacity becomes free.  A task that needs at least as much as one
    that could not be placed need not be tried.
    """

    def __init__(self) -> None:
        self._needs: dict[tuple[str, bool], Resources] = {}

    def add(self, task: TaskRequest) -> None:
        """Record a task that could not be placed and is kept from no server."""
        key = (task.service, task.exclusive)
        known = self._needs.get(key)
        if known is None or fits(task.needs, known):
            self._needs[key] = task.needs

    def covers(self, task: TaskRequest) -> bool:
        """Return whether a task certainly cannot be placed either."""
        known = self._needs.get((task.service, task.exclusive))
        return known is not None and fits(known, task.needs)
