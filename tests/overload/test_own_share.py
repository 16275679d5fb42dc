"""Replays the demand of uneven entries, and of callers that move to another one."""

from __future__ import annotations

import pytest

from verbenaplank.overload.own_share import OwnShare
from verbenaplank.placement.room import CapacityUse

CORES = 800.0
ENTRIES = 8


def observe(share: OwnShare, own: float, begin_s: float, end_s: float) -> float:
    """Return the rate after a time in which others occupy what is left of 90%."""
    use = CapacityUse(own=own, others=0.9 * CORES - own, free=0.1 * CORES)
    step_s = 0.1
    for step in range(round((end_s - begin_s) / step_s)):
        share.record(use, begin_s + step * step_s)
    return share.drain_rate(use, ENTRIES)


def test_started_entry_assumes_an_equal_share_until_it_has_had_demand() -> None:
    """After a restart the others occupy all, which says nothing about its demand."""
    share = OwnShare()
    full = CapacityUse(others=CORES)
    for step in range(50):
        share.record(full, 0.1 * step)
    assert share.drain_rate(full, ENTRIES) == CORES / ENTRIES


@pytest.mark.parametrize("part", [1 / 12, 1 / 4])
def test_entry_counts_on_its_real_part_of_the_demand(part: float) -> None:
    """Data centres have 3, 1, 2 and 2 entries, and the callers' demand is even."""
    own = part * 0.9 * CORES
    rate = observe(OwnShare(), own, 0.0, 20.0)
    assert rate == pytest.approx(part * CORES, rel=0.02)


def test_share_follows_callers_that_move() -> None:
    """Half of the callers of a busy entry move to one that had few."""
    share = OwnShare()
    busy = observe(share, 400.0, 0.0, 20.0)
    later = observe(share, 100.0, 20.0, 26.0)
    assert busy > 400.0
    assert 100.0 < later < 1.3 * (100.0 + 0.1 * CORES * 100.0 / 720.0)


def test_entry_without_any_core_expects_to_gain_some() -> None:
    """Its callers had gone to others, and come back while these occupy all."""
    share = OwnShare()
    observe(share, 100.0, 0.0, 20.0)
    rate = share.drain_rate(CapacityUse(others=CORES), ENTRIES)
    assert rate == pytest.approx(0.25 * CORES / ENTRIES)


def test_no_capacity_gives_no_rate() -> None:
    assert OwnShare().drain_rate(CapacityUse(), ENTRIES) == 0.0
