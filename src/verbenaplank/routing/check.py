"""Validation of a routing table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.outcome.finding import Finding

if TYPE_CHECKING:
    from collections.abc import Iterator

    from verbenaplank.routing.table import Route
    from verbenaplank.routing.table import RoutingTable


def check_table(table: RoutingTable) -> tuple[Finding, ...]:
    """Return all faults of a routing table, each with its place in the table."""
    return tuple(_findings(table))


def _findings(table: RoutingTable) -> Iterator[Finding]:
    if table.version <= 0:
        yield Finding("version", "must be greater than 0")
    services = {service.name for service in table.services}
    places: dict[tuple[str, str], str] = {}
    for index, route in enumerate(table.routes):
        place = f"routes[{index}]"
        yield from _route_findings(route, services, place)
        first = places.setdefault((route.host, route.path_prefix), place)
        if first != place:
            yield Finding(place, f"has the same host and path prefix as {first}")


def _route_findings(route: Route, services: set[str], place: str) -> Iterator[Finding]:
    if not route.host:
        yield Finding(f"{place}.host", "must not be empty")
    if not route.path_prefix.startswith("/"):
        yield Finding(f"{place}.path_prefix", "must start with a slash")
    if route.service not in services:
        yield Finding(f"{place}.service", f"unknown service {route.service!r}")
    if route.timeout_ms <= 0:
        yield Finding(f"{place}.timeout_ms", "must be greater than 0")
