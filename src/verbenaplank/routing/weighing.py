"""Decides for which routes an entry weighs a wait against a slower run."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from verbenaplank.routing.table import Route


def weighs_waits(route: Route, remote_factor: float) -> bool:
    """Return whether the latency goal of a route does not allow for a remote run.

    Parameters
    ----------
    remote_factor
        How many times longer a task may run away from its data in this deployment;
        at 1, the default, no route weighs waits.
    """
    return remote_factor > max(1.0, route.stretch)
