from __future__ import annotations

import attrs
import pytest

from verbenaplank.bench.decision_cost import cost_table
from verbenaplank.bench.locality_comparison import run_rule
from verbenaplank.bench.locality_rules import Rule
from verbenaplank.bench.locality_scenario import LocalityScenario

LIGHT = LocalityScenario(load=0.3, skew=0.6, length_s=5.0)


def test_simulation_is_repeatable() -> None:
    """A source of randomness without a seed makes the rules incomparable."""
    assert run_rule(LIGHT, Rule.PRODUCT) == run_rule(LIGHT, Rule.PRODUCT)


@pytest.mark.parametrize("rule", list(Rule))
def test_all_jobs_are_answered_in_a_calm_load(rule: Rule) -> None:
    """A rule loses held tasks, or the model loses their results."""
    calm = attrs.evolve(LIGHT, load=0.1, skew=0.0)
    assert run_rule(calm, rule).score > 0.6


def test_only_rules_that_wait_hold_tasks() -> None:
    """The rows of the comparison belong to other rules than they name."""
    loaded = attrs.evolve(LIGHT, load=0.8)
    assert run_rule(loaded, Rule.NEVER).held_share == 0.0
    assert run_rule(loaded, Rule.PRODUCT).held_share > 0.0


def test_cost_of_a_decision_has_a_row_for_each_fleet() -> None:
    """A table that leaves the large fleet out hides a cost that grows with it."""
    assert "| 40 | " in cost_table([11, 40], 1)
