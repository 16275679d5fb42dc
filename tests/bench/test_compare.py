from __future__ import annotations

import attrs
import pytest

from verbenaplank.bench import compare
from verbenaplank.bench import simulated_agent
from verbenaplank.bench.compare import run_simulation
from verbenaplank.bench.scenario import SCENARIOS
from verbenaplank.bench.scenario import Scenario

LENGTH_S = 12.0
FAULT_AT_S = 4.0
PRODUCT = "least_expected_completion"
ENTRIES = 3
GOAL_FAILED_TASKS = 8


@pytest.fixture(autouse=True)
def short_runs(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(compare, "SIMULATED_LENGTH_S", LENGTH_S)
    monkeypatch.setattr(compare, "SETTLING_S", 1.0)
    monkeypatch.setattr(simulated_agent, "FAULT_AT_S", FAULT_AT_S)


def scenario(name: str) -> Scenario:
    return next(each for each in SCENARIOS if each.name == name)


def test_a_run_is_repeatable() -> None:
    light = scenario("light")

    assert run_simulation(light, PRODUCT, 1) == run_simulation(light, PRODUCT, 1)


@pytest.mark.parametrize("policy", ["random", "power_of_two"])
def test_least_expected_completion_beats_early_binding(policy: str) -> None:
    loaded = scenario("70%")

    chosen = run_simulation(loaded, PRODUCT, 1)
    baseline = run_simulation(loaded, policy, 1)

    assert chosen.median_ratio < baseline.median_ratio
    assert chosen.p90_ratio < baseline.p90_ratio


def test_each_entry_quarantines_a_failing_server_within_the_goal() -> None:
    found = run_simulation(scenario("one failing"), PRODUCT, 1)

    assert 0 < found.failed_before_quarantine <= ENTRIES * GOAL_FAILED_TASKS
    assert found.failed_jobs == 0


def test_a_stalled_server_does_not_stop_the_others() -> None:
    stalled = run_simulation(scenario("one stalled"), PRODUCT, 1)
    healthy = run_simulation(
        attrs.evolve(scenario("one stalled"), stalled=()), PRODUCT, 1
    )

    assert stalled.goodput_per_s > 0.8 * healthy.goodput_per_s


def test_goodput_holds_under_twice_the_load() -> None:
    at_once = run_simulation(Scenario(name="1x", load=1.0), PRODUCT, 1)
    at_twice = run_simulation(scenario("overload 2x"), PRODUCT, 1)

    assert at_twice.goodput_per_s >= 0.95 * at_once.goodput_per_s
    assert at_twice.wasted_share <= 0.02
