"""Report of a load test: response times, goodput, failures and messages."""

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
    """Response to one job.

    Attributes
    ----------
    status
        HTTP status; 0 if no response was received, as over a broken connection.
    kind
        Kind of failure: the problem kind in an error response, or the class name
        of the error without a response. It is empty for a complete job.
    response_s
        Time from the job's arrival time in the trace to the response.
    """

    job: TracedJob
    status: int
    kind: str
    response_s: float


@attrs.frozen(kw_only=True)
class Percentiles:
    """Number of values, their median, and their 90th and 99th percentile."""

    count: int
    median: float
    p90: float
    p99: float


@attrs.frozen(kw_only=True)
class LoadTestReport:
    """Report of a load test.

    Attributes
    ----------
    ratio, urgent_ratio, single_ratio
        Response time divided by the ideal response time: of all complete jobs,
        of the urgent ones, and of those with one task.
    response_s
        Response time of the complete jobs.
    goodput_tasks_per_s
        Tasks of complete jobs divided by the length of the trace.
    failures
        Number of failed jobs by status and kind.
    messages_per_task
        Messages per task of a complete job. A message is one dispatch, revocation
        or stop, or the reply to one.
    wasted_share
        Wasted messages divided by useful ones.
    envelopes_per_task
        Stream messages per task of a complete job. One stream message can carry
        several messages.
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
        """Return the report as a table for a terminal."""
        table = Table("", "jobs", "median", "p90", "p99", box=box.SIMPLE)
        rows = (
            ("response over ideal", self.ratio),
            ("  urgent jobs", self.urgent_ratio),
            ("  jobs of one task", self.single_ratio),
            ("response time, s", self.response_s),
        )
        for name, summary in rows:
            figures = (summary.median, summary.p90, summary.p99)
            table.add_row(
                name, str(summary.count), *(f"{figure:.3f}" for figure in figures)
            )
        table.add_section()
        table.add_row("goodput, tasks/s", "", f"{self.goodput_tasks_per_s:.1f}")
        table.add_row("messages per task", "", f"{self.messages_per_task:.3f}")
        table.add_row("  wasted over useful", "", f"{self.wasted_share:.4f}")
        table.add_row("stream messages per task", "", f"{self.envelopes_per_task:.3f}")
        for kind, count in self.failures.items():
            table.add_row(f"failed: {kind}", str(count))
        return table


def summarize(
    responses: Iterable[JobResponse],
    *,
    slowness_by_slot: Sequence[float],
    round_trip_s: float,
    length_s: float,
    useful_messages: int,
    wasted_messages: int,
    counts: Counter[str],
) -> LoadTestReport:
    """Compute the report of a load test from its responses and counters.

    Parameters
    ----------
    responses
        Responses to all jobs of the trace.
    slowness_by_slot
        Factor by which each slot multiplies run times.
    round_trip_s
        Round trip that is added to the ideal response time.
    length_s
        Length of the trace.
    useful_messages, wasted_messages
        Numbers of useful and of wasted messages, summed over all entries.
    counts
        Counters summed over all entries, by name.
    """
    all_responses = list(responses)
    complete = [response for response in all_responses if response.status == HTTP_OK]
    tasks = sum(len(response.job.run_times_s) for response in complete)
    ratios = [
        (response, _ratio(response, slowness_by_slot, round_trip_s))
        for response in complete
    ]
    failures = Counter(
        f"{response.status} {response.kind}".strip()
        for response in all_responses
        if response.status != HTTP_OK
    )
    stream_messages = counts["sent_messages"] + counts["received_messages"]
    return LoadTestReport(
        jobs=len(all_responses),
        complete=len(complete),
        ratio=percentiles((ratio for _, ratio in ratios), RATIO_SCALE, MAX_RATIO),
        urgent_ratio=percentiles(
            (ratio for response, ratio in ratios if response.job.urgent),
            RATIO_SCALE,
            MAX_RATIO,
        ),
        single_ratio=percentiles(
            (ratio for response, ratio in ratios if len(response.job.run_times_s) == 1),
            RATIO_SCALE,
            MAX_RATIO,
        ),
        response_s=percentiles(
            (response.response_s for response in complete),
            MICROSECONDS_PER_SECOND,
            MAX_RESPONSE_S,
        ),
        goodput_tasks_per_s=tasks / length_s,
        failures=dict(failures),
        messages_per_task=(useful_messages + wasted_messages) / max(tasks, 1),
        wasted_share=wasted_messages / max(useful_messages, 1),
        envelopes_per_task=stream_messages / max(tasks, 1),
    )


def percentiles(values: Iterable[float], scale: int, maximum: int) -> Percentiles:
    """Return the percentiles of values, where larger ones count as ``maximum``.

    Values are recorded in steps of ``1 / scale``, which is also the smallest value.
    """
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
    response: JobResponse, slowness_by_slot: Sequence[float], round_trip_s: float
) -> float:
    run_times_s = response.job.run_times_s
    ideal_s = ideal_response_s(run_times_s, slowness_by_slot, round_trip_s)
    return response.response_s / ideal_s
