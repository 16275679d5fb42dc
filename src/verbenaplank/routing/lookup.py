"""Lookup of the route of a request by host and longest path prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.routing.table import Route

if TYPE_CHECKING:
    from verbenaplank.routing.table import RoutingTable


@attrs.frozen
class RouteMatch:
    """The route of a request, and the rest of its path after the prefix."""

    route: Route
    rest: str


class RouteLookup:
    """The routes of one table, indexed by host and path prefix."""

    def __init__(self, table: RoutingTable) -> None:
        self.table = table
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            self._hosts.setdefault(route.host, {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> RouteMatch | None:
        """Return the host's route with the longest prefix of the path, if any."""
        routes = self._hosts.get(host, {})
        for end in range(len(path), 0, -1):
            route = routes.get(path[:end])
            if route is not None:
                return RouteMatch(route, path[end:])
        return None
