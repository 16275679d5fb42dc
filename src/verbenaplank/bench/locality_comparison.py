"""Comparison of rules for waiting on the same jobs, and its table."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from typing import TYPE_CHECKING

import attrs

from verbenaplank.bench.compare import percentile
from verbenaplank.bench.locality_rules import Rule
from verbenaplank.bench.locality_scenario import LocalityScenario
from verbenaplank.bench.locality_scenario import generate_jobs
from verbenaplank.bench.locality_simulation import DRAIN_S
from verbenaplank.bench.locality_simulation import WARM_UP_S
from verbenaplank.bench.locality_simulation import LocalitySimulation
from verbenaplank.bench.locality_simulation import score

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_PROCESSES = 2
MS_PER_S = 1_000.0


@attrs.frozen(kw_only=True)
class RuleMetrics:
    """Metrics of one rule under one scenario.

    Attributes
    ----------
    score, short_score
        Mean score of all jobs and of the short jobs, which name racks.
    short_median_ms, short_p95_ms
        Percentiles of the response times of the short jobs, in milliseconds.
    local_share
        Share of the tasks with a preferred rack that were placed there.
    held_share
        Holds for each task with a preferred rack.
    given_up_share
        Share of the holds that ended with a placement on another rack.
    hold_ms
        Mean duration of a hold, in milliseconds.
    """

    load: float
    skew: float
    rule: Rule
    score: float
    short_score: float
    short_median_ms: float
    short_p95_ms: float
    local_share: float
    held_share: float
    given_up_share: float
    hold_ms: float


def compare_rules(
    loads: Iterable[float], skews: Iterable[float], seeds: int, length_s: float
) -> list[RuleMetrics]:
    """Simulate every rule under every load and skew; the metrics are means of seeds."""
    cases = [(load, skew, rule) for skew in skews for load in loads for rule in Rule]
    runs = [
        (LocalityScenario(load=load, skew=skew, seed=seed, length_s=length_s), rule)
        for load, skew, rule in cases
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(MAX_PROCESSES) as executor:
        results = list(executor.map(run_rule, *zip(*runs, strict=True)))
    return [
        _mean(results[first : first + seeds]) for first in range(0, len(results), seeds)
    ]


def run_rule(scenario: LocalityScenario, rule: Rule) -> RuleMetrics:
    """Simulate one rule under one scenario."""
    jobs = generate_jobs(scenario)
    simulation = LocalitySimulation(scenario, rule, jobs)
    result = simulation.run(scenario.length_s + DRAIN_S)
    counted = [job for job in jobs if job.arrival_s >= WARM_UP_S]
    values = [score(job, result.latencies_s.get(job.job_id)) for job in counted]
    short_values = [
        value for job, value in zip(counted, values, strict=True) if job.rack
    ]
    latencies_ms = [
        result.latencies_s[job.job_id] * MS_PER_S
        for job in counted
        if job.rack and job.job_id in result.latencies_s
    ]
    counts = result.counts
    placed = max(1, counts["placed_locally"] + counts["placed_remotely"])
    holds = max(1, len(result.hold_times_s))
    return RuleMetrics(
        load=scenario.load,
        skew=scenario.skew,
        rule=rule,
        score=sum(values) / max(1, len(values)),
        short_score=sum(short_values) / max(1, len(short_values)),
        short_median_ms=percentile(latencies_ms, 0.5),
        short_p95_ms=percentile(latencies_ms, 0.95),
        local_share=counts["placed_locally"] / placed,
        held_share=counts["held"] / placed,
        given_up_share=counts["given_up"] / holds,
        hold_ms=sum(result.hold_times_s) / holds * MS_PER_S,
    )


def markdown_table(results: Iterable[RuleMetrics]) -> str:
    """Return the metrics as a table with a row for each scenario and rule."""
    names = [field.name for field in attrs.fields(RuleMetrics)]
    lines = [
        "| " + " | ".join(name.replace("_", " ") for name in names) + " |",
        "|---" * len(names) + "|",
    ]
    for result in results:
        cells = (_cell(name, getattr(result, name)) for name in names)
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _mean(results: list[RuleMetrics]) -> RuleMetrics:
    means = {
        field.name: sum(getattr(each, field.name) for each in results) / len(results)
        for field in attrs.fields(RuleMetrics)
        if field.name not in {"load", "skew", "rule"}
    }
    return attrs.evolve(results[0], **means)


def _cell(name: str, value: object) -> str:
    if not isinstance(value, float):
        return str(value)
    return f"{value:.0f}" if name.endswith("_ms") else f"{value:.3f}"
