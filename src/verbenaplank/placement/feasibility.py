"""Whether any announced worker could ever run a task."""

from __future__ import annotations

from enum import StrEnum


class Feasibility(StrEnum):
    """Whether a service's tasks with certain needs can ever run."""

    POSSIBLE = "possible"
    NO_SERVICE = "no_service"
    IMPOSSIBLE_NEEDS = "impossible_needs"
