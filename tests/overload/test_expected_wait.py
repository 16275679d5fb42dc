from __future__ import annotations

import math

import attrs
import pytest

from verbenaplank.overload.expected_wait import ServiceLoad
from verbenaplank.overload.expected_wait import expected_wait_s

LOAD = ServiceLoad(
    queued_core_s=100.0, occupied_cores=100.0, equal_share_cores=100.0, waiting_for_s=5
)


@pytest.mark.parametrize(
    ("pattern", "changes", "wait_s"),
    [
        ("even traffic", {}, 1.0),
        ("nothing is queued", {"queued_core_s": 0.0, "occupied_cores": 0.0}, 0.0),
        ("three times the mean traffic", {"occupied_cores": 300.0}, 1 / 3),
        ("half the mean traffic, others took the cores", {"occupied_cores": 50.0}, 2.0),
        ("the first moment of a burst", {"occupied_cores": 0.0, "waiting_for_s": 0}, 1),
        ("no core obtained for long", {"occupied_cores": 0.0}, 4.0),
        (
            "all workers are gone",
            {"occupied_cores": 0.0, "equal_share_cores": 0.0},
            math.inf,
        ),
    ],
)
def test_wait_follows_from_the_cores_that_the_entry_obtains(
    pattern: str, changes: dict[str, float], wait_s: float
) -> None:
    load = attrs.evolve(LOAD, **changes)
    assert expected_wait_s(load) == pytest.approx(wait_s)
