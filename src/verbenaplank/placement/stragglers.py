"""Limits the exclusive tasks of backend servers that are much slower than the others.

A second run cannot be started to replace a slow run of an exclusive task, since the
runs of such a task must not overlap.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from verbenaplank.placement.backend_server import BackendServer
    from verbenaplank.placement.service_index import ServiceIndex
    from verbenaplank.placement.settings import PlacementSettings

LIMIT_VALIDITY_S = 0.1


class Stragglers:
    """Decides which backend servers get exclusive tasks only as single probes."""

    def __init__(self, services: ServiceIndex, settings: PlacementSettings) -> None:
        self._services = services
        self._settings = settings
        self._limits: dict[str, tuple[float, float]] = {}

    def copy(self) -> Stragglers:
        """Return a copy whose limits are computed and kept apart from now on."""
        copied = Stragglers(self._services, self._settings)
        copied._limits = dict(self._limits)
        return copied

    def limit(self, service: str, now_s: float) -> float:
        """Return the slowness above which a server gets exclusive tasks as probes."""
        computed_s, limit = self._limits.get(service, (-math.inf, 0.0))
        if now_s - computed_s < LIMIT_VALIDITY_S:
            return limit
        servers = self._services.connected(service)
        known = sorted(server.slowness for server in servers)
        if not known:
            return math.inf
        limit = known[len(known) // 2] * self._settings.straggler_factor
        self._limits[service] = (now_s, limit)
        return limit

    def may_probe(self, server: BackendServer, now_s: float) -> bool:
        """Return whether a straggler is due for its next probe."""
        without_progress_s = now_s - server.last_progress_s
        return (
            not server.outstanding
            and without_progress_s >= self._settings.straggler_probe_interval_s
        )
