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
PRODUCT_POLICY = "least_expected_completion"
ENTRIES = 3
MAX_FAILED_RUNS_PER_ENTRY = 8


@pytest.fixture(autouse=True)
def short_runs(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(compare, "SIMULATED_LENGTH_S", LENGTH_S)
    monkeypatch.setattr(compare, "WARM_UP_S", 1.0)
    monkeypatch.setattr(simulated_agent, "FAULT_AT_S", FAULT_AT_S)


def scenario(name: str) -> Scenario:
    return next(each for each in SCENARIOS if each.name == name)


def test_simulation_is_repeatable() -> None:
    """A source of randomness without a seed makes policies incomparable."""
    light = scenario("light")

    assert run_simulation(light, PRODUCT_POLICY, 1) == run_simulation(
        light, PRODUCT_POLICY, 1
    )


@pytest.mark.parametrize("policy", ["random", "power_of_two"])
def test_least_expected_completion_is_faster_than_early_binding(policy: str) -> None:
    """The product's policy is no use if a simple one gets lower response times."""
    loaded = scenario("70%")

    chosen = run_simulation(loaded, PRODUCT_POLICY, 1)
    baseline = run_simulation(loaded, policy, 1)

    assert chosen.median_ratio < baseline.median_ratio
    assert chosen.p90_ratio < baseline.p90_ratio


def test_each_entry_quarantines_a_failing_server_within_the_goal() -> None:
    """A backend server that fails tasks at once looks idle and attracts more tasks.

    At most 8 runs per entry may fail on it, and the retries must save the jobs.
    """
    metrics = run_simulation(scenario("one failing"), PRODUCT_POLICY, 1)

    assert 0 < metrics.failed_before_quarantine <= ENTRIES * MAX_FAILED_RUNS_PER_ENTRY
    assert metrics.failed_jobs == 0


def test_a_stalled_server_does_not_stop_the_others() -> None:
    """Entries that wait for a stalled backend server leave the others idle."""
    stalled = run_simulation(scenario("one stalled"), PRODUCT_POLICY, 1)
    healthy = run_simulation(
        attrs.evolve(scenario("one stalled"), stalled=()), PRODUCT_POLICY, 1
    )

    assert stalled.goodput_per_s > 0.8 * healthy.goodput_per_s


def test_goodput_holds_under_twice_the_load() -> None:
    """Goodput falls under overload if entries admit jobs that they cannot finish."""
    at_full_load = run_simulation(Scenario(name="1x", load=1.0), PRODUCT_POLICY, 1)
    at_twice_the_load = run_simulation(scenario("overload 2x"), PRODUCT_POLICY, 1)

    assert at_twice_the_load.goodput_per_s >= 0.95 * at_full_load.goodput_per_s
    assert at_twice_the_load.wasted_share <= 0.02
