"""Result of the check whether any announced worker could run a task."""

from __future__ import annotations

from enum import StrEnum


class Feasibility(StrEnum):
    """Whether any announced worker of a service could run a task with given needs.

    ``EVACUATED``: all workers that could are in evacuated data centres.
    """

    POSSIBLE = "possible"
    NO_SERVICE = "no_service"
    IMPOSSIBLE_NEEDS = "impossible_needs"
    EVACUATED = "evacuated"
