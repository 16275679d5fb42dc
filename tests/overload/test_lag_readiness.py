"""Replays the lag of event loops: one busy entry, a pause, and a flood everywhere."""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING

from verbenaplank.overload.lag_readiness import MAX_NOT_READY_S
from verbenaplank.overload.lag_readiness import MIN_NOT_READY_S
from verbenaplank.overload.lag_readiness import MIN_READY_S
from verbenaplank.overload.lag_readiness import LagReadiness

if TYPE_CHECKING:
    from collections.abc import Callable

STEP_S = 0.1


def replay(
    lag_s: Callable[[float], float], end_s: float, seed: int = 1
) -> list[tuple[float, bool]]:
    """Return whether an entry reports ready at each time."""
    readiness = LagReadiness(random.Random(seed).random)
    times = [step * STEP_S for step in range(round(end_s / STEP_S))]
    return [(time_s, readiness.update(lag_s(time_s), time_s)) for time_s in times]


def changes(reports: list[tuple[float, bool]]) -> list[float]:
    pairs = itertools.pairwise(reports)
    return [time_s for (_, before), (time_s, after) in pairs if before is not after]


def test_entry_that_lags_leaves_and_returns_when_it_has_recovered() -> None:
    """Callers kept their connections to the busiest entry."""
    left_s, returned_s = changes(replay(lambda t: 0.5 * (10 < t < 14), 60.0))
    assert 10.0 < left_s < 14.0
    assert MIN_NOT_READY_S <= returned_s - left_s < MAX_NOT_READY_S + 0.2


def test_short_lag_changes_nothing() -> None:
    """A flood that ends before the delay of the entry has passed."""
    assert not changes(replay(lambda t: 0.5 * (10.0 <= t <= 10.1), 60.0))


def test_lag_around_the_limit_does_not_make_the_entry_flap() -> None:
    """The lag falls as soon as connections leave, and rises when they return."""
    times_s = changes(replay(lambda t: 0.5 * (round(t / STEP_S) % 7 < 5), 300.0))
    gaps_s = [after - before for before, after in itertools.pairwise(times_s)]
    assert len(times_s) <= 2 * 300.0 / (MIN_READY_S + MIN_NOT_READY_S) + 1
    assert min(gaps_s, default=MIN_NOT_READY_S) >= MIN_NOT_READY_S - STEP_S


def test_all_entries_are_not_away_at_once_for_long() -> None:
    """All entries lag for minutes; the load balancer would have none to send to."""
    entries = [replay(lambda _: 0.8, 300.0, seed) for seed in range(8)]
    longest_s = away_s = total_s = 0.0
    for reports in zip(*entries, strict=True):
        nobody = not any(ready for _, ready in reports)
        away_s = away_s + STEP_S if nobody else 0.0
        longest_s = max(longest_s, away_s)
        total_s += sum(STEP_S for _, ready in reports if not ready)
    assert longest_s <= MAX_NOT_READY_S
    assert total_s / (8 * 300.0) <= MAX_NOT_READY_S / (MAX_NOT_READY_S + MIN_READY_S)
