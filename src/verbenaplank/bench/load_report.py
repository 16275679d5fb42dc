"""What a load run found: response times over the ideal, and messages."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs
from hdrh.histogram import HdrHistogram
from rich import box
from rich.table import Table

from verbenaplank.bench.ideal_response import ideal_response_s
from verbenaplank.bench.trace import TracedJob

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

HTTP_OK = 200
RATIO_SCALE = 1_000
MAX_RATIO = 10_000
MICROSECONDS_PER_SECOND = 1_000_000
MAX_RESPONSE_S = 3_600
SIGNIFICANT_DIGITS = 3


@attrs.frozen(kw_only=True)
class JobResponse:
    """One job's answer; status 0 stands for a broken connection.

    Attributes
    ----------
    response_s
        Time from the trace's arrival time to the answer.
    """

    job: TracedJob
    status: int
    kind: str
    response_s: float


@attrs.frozen(kw_only=True)
class Percentiles:
    """Median, 90th and 99th percentile."""

    count: int
    median: float
    p90: float
    p99: float


@attrs.frozen(kw_only=True)
class LoadTestReport:
    """Figures of a load run.

    Attributes
    ----------
    ratio, urgent_ratio, single_ratio
        Response time over the ideal: of all complete jobs, of the urgent ones,
        and of those of one task.
    response_s
        Response time of the complete jobs.
    goodput_tasks_per_s
        Tasks of complete jobs over the length of the trace.
    failures
        Failed jobs by status and kind.
    messages_per_task, wasted_share
        Dispatches, results and the like per complete task, and the wasted ones
        over the useful ones.
    envelopes_per_task
        Messages on the streams per complete task, each with many items.
    """

    jobs: int
    complete: int
    ratio: Percentiles
    urgent_ratio: Percentiles
    single_ratio: Percentiles
    response_s: Percentiles
    goodput_tasks_per_s: float
    failures: Mapping[str, int]
    messages_per_task: float
    wasted_share: float
    envelopes_per_task: float

    def to_json(self) -> str:
        """Return the report as JSON text."""
        return json.dumps(attrs.asdict(self), indent=1)

    def to_table(self) -> Table:
        """Return the report as a table for a person."""
        table = Table("", "jobs", "median", "p90", "p99", box=box.SIMPLE)
        rows = (
            ("response over ideal", self.ratio),
            ("  urgent jobs", self.urgent_ratio),
            ("  jobs of one task", self.single_ratio),
            ("response time, s", self.response_s),
        )
        for name, found in rows:
            figures = (found.median, found.p90, found.p99)
            table.add_row(name, str(found.count), *(f"{each:.3f}" for each in figures))
        table.add_section()
        table.add_row("goodput, tasks/s", "", f"{self.goodput_tasks_per_s:.1f}")
        table.add_row("messages per task", "", f"{self.messages_per_task:.3f}")
        table.add_row("  wasted over useful", "", f"{self.wasted_share:.4f}")
        table.add_row("stream messages per task", "", f"{self.envelopes_per_task:.3f}")
        for kind, count in self.failures.items():
            table.add_row(f"failed: {kind}", str(count))
        return table


def summarize(
    answers: Iterable[JobResponse],
    *,
    slowness_by_slot: Sequence[float],
    round_trip_s: float,
    length_s: float,
    useful_messages: int,
    wasted_messages: int,
    counts: Counter[str],
) -> LoadTestReport:
    """Return the figures of a run."""
    listed = list(answers)
    complete = [answer for answer in listed if answer.status == HTTP_OK]
    tasks = sum(len(answer.job.run_times_s) for answer in complete)
    ratios = [
        (answer, _ratio(answer, slowness_by_slot, round_trip_s)) for answer in complete
    ]
    failures = Counter(
        f"{answer.status} {answer.kind}".strip()
        for answer in listed
        if answer.status != HTTP_OK
    )
    envelopes = counts["sent_messages"] + counts["received_messages"]
    return LoadTestReport(
        jobs=len(listed),
        complete=len(complete),
        ratio=percentiles((ratio for _, ratio in ratios), RATIO_SCALE, MAX_RATIO),
        urgent_ratio=percentiles(
            (ratio for answer, ratio in ratios if answer.job.urgent),
            RATIO_SCALE,
            MAX_RATIO,
        ),
        single_ratio=percentiles(
            (ratio for answer, ratio in ratios if len(answer.job.run_times_s) == 1),
            RATIO_SCALE,
            MAX_RATIO,
        ),
        response_s=percentiles(
            (answer.response_s for answer in complete),
            MICROSECONDS_PER_SECOND,
            MAX_RESPONSE_S,
        ),
        goodput_tasks_per_s=tasks / length_s,
        failures=dict(failures),
        messages_per_task=(useful_messages + wasted_messages) / max(tasks, 1),
        wasted_share=wasted_messages / max(useful_messages, 1),
        envelopes_per_task=envelopes / max(tasks, 1),
    )


def percentiles(values: Iterable[float], scale: int, maximum: int) -> Percentiles:
    """Return the percentiles of values up to ``maximum``."""
    histogram = HdrHistogram(1, maximum * scale, SIGNIFICANT_DIGITS)
    for value in values:
        histogram.record_value(max(1, min(round(value * scale), maximum * scale)))
    return Percentiles(
        count=histogram.get_total_count(),
        median=histogram.get_value_at_percentile(50) / scale,
        p90=histogram.get_value_at_percentile(90) / scale,
        p99=histogram.get_value_at_percentile(99) / scale,
    )


def _ratio(
    answer: JobResponse, slowness_by_slot: Sequence[float], round_trip_s: float
) -> float:
    run_times_s = answer.job.run_times_s
    ideal_s = ideal_response_s(run_times_s, slowness_by_slot, round_trip_s)
    return answer.response_s / ideal_s
