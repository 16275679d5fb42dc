"""Counts what becomes of jobs, by route, priority and cause."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from verbenaplank.overload.refusal import RefusalCause


class ServedState(StrEnum):
    """When a served job was answered: within its goal or after it."""

    WITHIN_GOAL = "within_goal"
    LATE = "late"


Labels = dict[str, str]
RouteKey = tuple[str, int]
"""Name of a route, and its priority."""


class JobCounts:
    """Refused and served jobs of an entry since its start."""

    def __init__(self) -> None:
        self._refused: Counter[tuple[RouteKey, RefusalCause]] = Counter()
        self._served: Counter[tuple[RouteKey, ServedState]] = Counter()

    def record_refused(self, route: str, priority: int, cause: RefusalCause) -> None:
        """Count a refused job."""
        self._refused[(route, priority), cause] += 1

    def record_served(self, route: str, priority: int, *, within_goal: bool) -> None:
        """Count a job that has succeeded."""
        state = ServedState.WITHIN_GOAL if within_goal else ServedState.LATE
        self._served[(route, priority), state] += 1

    def refused(self) -> Iterator[tuple[Labels, float]]:
        """Yield the number of refused jobs by route, priority and cause."""
        for (key, cause), count in self._refused.items():
            yield {**route_labels(key), "cause": cause.value}, count

    def served(self) -> Iterator[tuple[Labels, float]]:
        """Yield the number of served jobs by route, priority and time of the answer."""
        for (key, state), count in self._served.items():
            yield {**route_labels(key), "answered": state.value}, count


def route_labels(key: RouteKey) -> Labels:
    """Return the labels of a route and its priority."""
    route, priority = key
    return {"route": route, "priority": str(priority)}
