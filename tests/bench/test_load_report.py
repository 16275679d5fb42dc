from __future__ import annotations

import json
from collections import Counter

import pytest

from verbenaplank.bench.entry_counters import count_useful_and_wasted
from verbenaplank.bench.entry_counters import parse_entry_counters
from verbenaplank.bench.load import LoadTestSettings
from verbenaplank.bench.load import generate_load_trace
from verbenaplank.bench.load_report import JobResponse
from verbenaplank.bench.load_report import LoadTestReport
from verbenaplank.bench.load_report import summarize
from verbenaplank.bench.trace import TracedJob

METRICS = """\
# HELP verbenaplank_entry_dispatches_total dispatches on the streams to agents
verbenaplank_entry_dispatches_total{instance="a"} 110.0
verbenaplank_entry_results_total{instance="a"} 100.0
verbenaplank_entry_refusals_total 10.0
verbenaplank_entry_dispatches_ignored_total 2.0
python_info{version="3.11"} 1.0
"""


def job_response(
    run_times_s: tuple[float, ...], response_s: float, status: int
) -> JobResponse:
    job = TracedJob(
        job_id="job",
        arrival_s=0.0,
        service="fixtures",
        team="bochas",
        urgent=False,
        run_times_s=run_times_s,
        declared_run_time_s=1.0,
    )
    kind = "" if status == 200 else "overloaded"
    return JobResponse(job=job, status=status, kind=kind, response_s=response_s)


def report(*responses: JobResponse) -> LoadTestReport:
    return summarize(
        responses,
        slowness_by_slot=[1.0, 1.0],
        round_trip_s=0.0,
        length_s=2.0,
        useful_messages=8,
        wasted_messages=1,
        counts=Counter(sent_messages=3, received_messages=3),
    )


def test_counters_are_parsed_and_split_into_useful_and_wasted() -> None:
    """Results that no task waits for must count as wasted, and not as useful."""
    counts = parse_entry_counters(METRICS)

    assert counts["refusals"] == 10
    assert count_useful_and_wasted(counts) == (196, 24)


def test_response_times_are_divided_by_the_ideal() -> None:
    """Without the ideal as a baseline, large jobs look slower than small ones.

    The job of three tasks is as fast as two slots allow, and has the ratio 1.
    """
    summary = report(
        job_response((1.0,), 1.5, 200), job_response((1.0, 1.0, 1.0), 2.0, 200)
    )

    assert summary.ratio.median == pytest.approx(1.0, rel=0.01)
    assert summary.ratio.p99 == pytest.approx(1.5, rel=0.01)
    assert summary.single_ratio.count == 1
    assert summary.goodput_tasks_per_s == 2.0
    assert summary.messages_per_task == pytest.approx(9 / 4)


def test_failed_jobs_count_neither_as_goodput_nor_as_response_times() -> None:
    """Jobs that are refused at once would otherwise improve the response times."""
    summary = report(job_response((1.0,), 1.0, 200), job_response((1.0,), 0.0, 503))

    assert summary.ratio.count == 1
    assert summary.failures == {"503 overloaded": 1}
    assert summary.goodput_tasks_per_s == 0.5
    assert json.loads(summary.to_json())["complete"] == 1


def test_offered_work_is_a_share_of_the_capacity_of_the_slots() -> None:
    """A trace that ignores the slowness of the servers offers a wrong load.

    Eight slots at slowness 0.5 and eight at 1.0 do 24 seconds of work per second.
    """
    slowness = (0.5, 1.0)
    settings = LoadTestSettings(
        entry_urls=(), load=0.5, length_s=400.0, slowness=slowness, slots=8, seed=3
    )

    work_s = sum(sum(job.run_times_s) for job in generate_load_trace(settings))

    assert work_s / 400.0 == pytest.approx(0.5 * 24, rel=0.25)
