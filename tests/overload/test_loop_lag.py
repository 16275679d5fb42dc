from __future__ import annotations

import pytest

from verbenaplank.overload.loop_lag import LoopLag


@pytest.mark.parametrize(
    ("late_s", "overloaded"),
    [
        ([0.0, 0.01, 0.0, 0.02], False),
        ([0.0, 2.0, 0.0, 0.0], False),
        ([0.0, 2.0, 0.1, 0.4], False),
        ([0.4, 0.5, 0.8], True),
        ([0.5, 0.6, 0.5, 0.01], False),
    ],
    ids=["idle", "one pause", "recovers", "processor is full", "recovered"],
)
def test_only_a_lasting_lag_counts_as_overload(
    late_s: list[float], overloaded: bool
) -> None:
    lag = LoopLag()
    for sample_s in late_s:
        lag.record(sample_s)
    assert lag.is_overloaded is overloaded
