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
        How many times longer a task may run away from its data in this deployment.
    """
    return remote_factor > route.stretch
