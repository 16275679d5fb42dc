from __future__ import annotations

import attrs
import pytest

from verbenaplank.routing.check import check_table
from verbenaplank.routing.lookup import RouteLookup
from verbenaplank.routing.state import ReplaceRouting
from verbenaplank.routing.state import RoutingState
from verbenaplank.routing.state import RoutingVerdict
from verbenaplank.routing.table import Route
from verbenaplank.routing.table import RoutedService
from verbenaplank.routing.table import RoutingDocument
from verbenaplank.routing.table import RoutingTable
from verbenaplank.routing.weighing import weighs_waits


def route(prefix: str = "/a/", host: str = "one.example", **changes: object) -> Route:
    fields: dict[str, object] = {
        "name": prefix,
        "host": host,
        "path_prefix": prefix,
        "service": "draw",
        "timeout_ms": 1_500,
    }
    return Route(**(fields | changes))  # type: ignore[arg-type]


def table(*routes: Route, version: int = 1) -> RoutingTable:
    services = (RoutedService(name="draw"),)
    return RoutingTable(version=version, routes=routes, services=services)


def replace(state: RoutingState, version: int, source: bytes) -> RoutingVerdict:
    document = RoutingDocument(table=table(version=version), source=source)
    return state.replace(ReplaceRouting(document=document))


def test_valid_table_has_no_findings() -> None:
    """Routes may share a host or a path prefix, as long as not both are equal."""
    assert check_table(table(route(), route("/b/"), route(host="two.example"))) == ()


def test_all_faults_are_reported_together_with_their_places() -> None:
    """Guards against a check that stops at the first fault."""
    faulty = table(
        route(), route(), route("/c/", service="none"), route("/d/", timeout_ms=0)
    )
    findings = check_table(attrs.evolve(faulty, version=0))
    assert [finding.place for finding in findings] == [
        "version",
        "routes[1]",
        "routes[2].service",
        "routes[3].timeout_ms",
    ]


def test_longest_prefix_of_the_host_wins() -> None:
    """Guards against a shorter prefix, or another host's route, being chosen."""
    lookup = RouteLookup(table(route("/a/"), route("/a/b/"), route("/", "two.example")))
    match = lookup.find("one.example", "/a/b/0123")
    assert match is not None
    assert (match.route.path_prefix, match.rest) == ("/a/b/", "0123")
    assert lookup.find("one.example", "/b/0123") is None
    assert lookup.find("three.example", "/a/0123") is None


def test_highest_version_wins_and_is_never_replaced_by_a_lower_one() -> None:
    """Guards against an old document that arrives late or is sent again."""
    state = RoutingState()
    assert replace(state, 7, b"seven") is RoutingVerdict.IN_FORCE
    assert replace(state, 5, b"five") is RoutingVerdict.SUPERSEDED
    assert replace(state, 7, b"seven") is RoutingVerdict.IN_FORCE
    assert replace(state, 7, b"other") is RoutingVerdict.CONFLICT
    assert state.document is not None
    assert (state.version, state.document.source) == (7, b"seven")


@pytest.mark.parametrize(
    ("factor", "stretch", "expected"),
    [(1.0, 0.8, False), (2.0, 0.8, True), (2.0, 1.6, True), (1.5, 1.6, False)],
)
def test_route_weighs_waits_only_with_a_remote_factor(
    factor: float, stretch: float, expected: bool
) -> None:
    """Guards against a small stretch that enables it where no factor is set."""
    assert weighs_waits(attrs.evolve(route(), stretch=stretch), factor) is expected
