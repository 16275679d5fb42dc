from __future__ import annotations

import json
from pathlib import Path

import attrs
import pytest

from verbenaplank.bench.capacity import main
from verbenaplank.bench.capacity_model import RoleUsage
from verbenaplank.bench.capacity_model import Slopes
from verbenaplank.bench.capacity_model import estimate_role_usage
from verbenaplank.bench.capacity_tables import smallest_exceeding_scale
from verbenaplank.bench.capacity_target import CURRENT_LAYOUT
from verbenaplank.bench.capacity_target import PLANNED_LAYOUT
from verbenaplank.bench.capacity_target import CapacityTarget

DOCS = Path(__file__).parents[2] / "docs"


@pytest.fixture
def slopes() -> Slopes:
    return Slopes(json.loads((DOCS / "slopes.json").read_text()))


def test_capacity_page_matches_the_slopes_file(tmp_path: Path) -> None:
    """The tables of the page are out of date after a new measurement or estimate.

    Computing them again must leave the page as it is.
    """
    page = tmp_path / "CAPACITY.md"
    page_text = (DOCS / "CAPACITY.md").read_text()
    page.write_text(page_text)

    main(str(DOCS / "slopes.json"), str(page))

    assert page.read_text() == page_text


def test_planned_layout_stays_within_the_control_bytes_of_a_node(
    slopes: Slopes,
) -> None:
    """With a stream from every entry, control traffic exceeds 2,048 B/s at an agent.

    The planned layout has fewer streams and must stay below this limit.
    """
    current, planned = (
        estimate_role_usage(slopes, CapacityTarget(), each)
        for each in (CURRENT_LAYOUT, PLANNED_LAYOUT)
    )

    assert planned.agent_control_bytes_per_s < 2_048 < current.agent_control_bytes_per_s
    assert planned.agent_streams < current.agent_streams


def test_number_of_entries_is_proportional_to_the_starts(slopes: Slopes) -> None:
    """An estimate that does not scale the entries plans too few for more load."""
    target = CapacityTarget()
    doubled = attrs.evolve(target, starts_per_s=2 * target.starts_per_s)

    single, double = (
        estimate_role_usage(slopes, each, PLANNED_LAYOUT) for each in (target, doubled)
    )

    assert double.entries == pytest.approx(2 * single.entries, abs=target.data_centres)


def test_bisection_finds_the_smallest_scale_that_exceeds_a_limit(
    slopes: Slopes,
) -> None:
    """A bisection that keeps the wrong half reports a wrong size for a limit.

    An entry has a stream to each worker in the current layout, so that the streams
    exceed twice the target's workers at the scale of 2.
    """

    def exceeds_limit(usage: RoleUsage) -> bool:
        return usage.entry_streams > CapacityTarget().workers * 2

    assert smallest_exceeding_scale(
        slopes, CURRENT_LAYOUT, exceeds_limit
    ) == pytest.approx(2.0, rel=0.01)
