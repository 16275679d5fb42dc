from __future__ import annotations

import attrs
import pytest

from verbenaplank.agent.backend_lease import Extension
from verbenaplank.agent.former_lives import LATEST_EXECUTION_S
from verbenaplank.agent.former_lives import LONGEST_DOUBT_S
from verbenaplank.agent.former_lives import FormerLives


@attrs.define
class Clock:
    now_s: float = 1_000.0

    def read(self) -> float:
        return self.now_s


def call(sent_s: float, deadline_ms: int) -> Extension:
    return Extension(sent_s, deadline_ms, ended_by_s=sent_s + 1.2)


def test_lease_of_an_unanswered_call_may_last_until_its_time_on_the_new_clock() -> None:
    """An executor may keep a lease as it is given, by the clock of its former life."""
    lives = FormerLives(Clock().read)
    lives.end_life("i-1", 999.0, call(999.5, 21_000))
    in_doubt_s = lives.lease_in_doubt_s("i-1", clock_ms=1_000)
    assert 20.0 * 1.02 <= in_doubt_s < 20.0 * 1.02 + 0.5


def test_nothing_is_in_doubt_if_all_calls_were_answered_or_the_id_is_another() -> None:
    """A call for one id is refused under another one."""
    lives = FormerLives(Clock().read)
    lives.end_life("i-1", 999.0, None)
    assert not lives.lease_in_doubt_s("i-1", clock_ms=1_000)
    lives.end_life("i-1", 999.0, call(999.5, 21_000))
    assert not lives.lease_in_doubt_s("i-2", clock_ms=1_000)
    assert not lives.lease_in_doubt_s("i-1", clock_ms=21_000)


def test_call_is_forgotten_if_the_former_life_outlasted_its_execution() -> None:
    """It was carried out in that life or never, so not each loss counts for good."""
    lives = FormerLives(Clock().read)
    lives.end_life("i-1", 999.0, call(998.9 - LATEST_EXECUTION_S, 21_000))
    assert not lives.lease_in_doubt_s("i-1", clock_ms=1_000)


def test_call_to_an_earlier_life_counts_for_the_one_after_the_next() -> None:
    """Two restarts within seconds: its call may be carried out after both."""
    lives = FormerLives(Clock().read)
    lives.end_life("i-1", 995.0, call(995.5, 60_000))
    lives.end_life("i-1", 999.0, call(999.5, 4_000))
    assert lives.lease_in_doubt_s("i-1", clock_ms=1_000) > 50.0


@pytest.mark.parametrize("waited_s", [0.0, 30.0])
def test_doubt_ends_though_the_former_life_was_long(waited_s: float) -> None:
    """A server that had run for days would be out of use for days."""
    clock = Clock()
    lives = FormerLives(clock.read)
    lives.end_life("i-1", 999.0, call(1_000.0, 1_000_000_000))
    clock.now_s += waited_s
    in_doubt_s = lives.lease_in_doubt_s("i-1", clock_ms=1_000)
    assert in_doubt_s == LONGEST_DOUBT_S - waited_s
