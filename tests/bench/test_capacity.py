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


def test_the_page_holds_the_tables_of_the_slopes_file(tmp_path: Path) -> None:
    page = tmp_path / "CAPACITY.md"
    written = (DOCS / "CAPACITY.md").read_text()
    page.write_text(written)

    main(str(DOCS / "slopes.json"), str(page))

    assert page.read_text() == written


def test_the_planned_layout_stays_within_a_nodes_control_bytes(slopes: Slopes) -> None:
    today, planned = (
        estimate_role_usage(slopes, CapacityTarget(), each)
        for each in (CURRENT_LAYOUT, PLANNED_LAYOUT)
    )

    assert planned.agent_control_bytes_per_s < 2_048 < today.agent_control_bytes_per_s
    assert planned.agent_streams < today.agent_streams


def test_entries_grow_with_the_starts(slopes: Slopes) -> None:
    target = CapacityTarget()
    doubled = attrs.evolve(target, starts_per_s=2 * target.starts_per_s)

    single, double = (
        estimate_role_usage(slopes, each, PLANNED_LAYOUT) for each in (target, doubled)
    )

    assert double.entries == pytest.approx(2 * single.entries, abs=target.data_centres)


def test_the_first_scale_at_which_a_check_breaks_is_found(slopes: Slopes) -> None:
    def exceeds_limit(use: RoleUsage) -> bool:
        return use.entry_streams > CapacityTarget().workers * 2

    assert smallest_exceeding_scale(
        slopes, CURRENT_LAYOUT, exceeds_limit
    ) == pytest.approx(2.0, rel=0.01)
