"""Registers and serves the metrics of the program ``verbena-entry``."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import attrs

from verbenaplank.entry.application import EntryInstance
from verbenaplank.entry.holds import LocalityCounts
from verbenaplank.entry.traffic import Traffic
from verbenaplank.observability.metrics import Metrics
from verbenaplank.overload.job_counts import route_labels

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from verbenaplank.entry.holds import Holds
    from verbenaplank.settings.entry import EntrySettings


@asynccontextmanager
async def open_entry_with_metrics(
    settings: EntrySettings,
) -> AsyncIterator[EntryInstance]:
    """Run an entry that serves its metrics at ``/metrics``."""
    metrics = Metrics(settings.instance_id, settings.data_centre)
    try:
        async with EntryInstance(settings, metrics=metrics.render) as instance:
            register_entry_metrics(metrics, instance)
            yield instance
    finally:
        metrics.close()


HOLD_BOUNDS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0)
"""Bounds for hold times, most of which are a part of a sub-second run time."""


def register_entry_metrics(metrics: Metrics, instance: EntryInstance) -> None:
    """Add the counters and gauges of an entry."""
    for field in attrs.fields(Traffic):
        name = f"verbenaplank_entry_{field.name}"
        read = _counter_reader(instance.traffic, field.name)
        metrics.add_counter(name, f"{field.name} on the streams to agents", read)
    for field in attrs.fields(type(instance.engine.counts)):
        name = f"verbenaplank_entry_dispatches_{field.name}"
        read = _counter_reader(instance.engine.counts, field.name)
        metrics.add_counter(name, f"agents' messages counted as {field.name}", read)
    for field in attrs.fields(type(instance.engine.crashes.counts)):
        name = f"verbenaplank_entry_crashes_{field.name}"
        read = _counter_reader(instance.engine.crashes.counts, field.name)
        metrics.add_counter(name, f"crash reports counted as {field.name}", read)
    register_hold_metrics(metrics, instance.engine.holds)
    _register_job_metrics(metrics, instance)
    metrics.add_gauge(
        "verbenaplank_entry_queued_tasks",
        "tasks that wait at the entry",
        lambda: len(instance.queue),
    )
    metrics.add_gauge(
        "verbenaplank_entry_confined_workloads",
        "workloads confined to a part of the backend servers because of crashes",
        lambda: len(instance.engine.confinement.confined),
    )
    metrics.add_gauge(
        "verbenaplank_entry_evacuated_data_centres",
        "data centres to which the entry sends no tasks",
        lambda: len(instance.evacuations.data_centres),
    )
    metrics.add_gauge(
        "verbenaplank_entry_evacuations_revision",
        "revision of the list of evacuated data centres in force",
        lambda: instance.evacuations.revision,
    )
    metrics.add_gauge(
        "verbenaplank_entry_cold_backend_servers",
        "backend servers that stay slow for a while and get a growing share of tasks",
        instance.cold_backend_servers,
    )
    metrics.add_gauge(
        "verbenaplank_entry_jobs_in_progress",
        "requests that are not answered yet",
        lambda: len(instance.engine.jobs),
    )


def register_hold_metrics(metrics: Metrics, holds: Holds) -> None:
    """Add the counters, the gauge and the histogram of held tasks."""
    for field in attrs.fields(LocalityCounts):
        name = f"verbenaplank_entry_locality_{field.name}"
        read = _counter_reader(holds.counts, field.name)
        metrics.add_counter(name, f"tasks counted as {field.name}", read)
    metrics.add_gauge(
        "verbenaplank_entry_held_tasks",
        "tasks that are held for a server that is about to be free",
        lambda: float(holds.count()),
    )
    holds.on_end = metrics.add_histogram(
        "verbenaplank_entry_hold_duration_seconds",
        "time for which tasks were held, by what ended the hold",
        HOLD_BOUNDS_S,
    )


def _register_job_metrics(metrics: Metrics, instance: EntryInstance) -> None:
    """Add what becomes of jobs by route, and the use of the backend servers."""
    metrics.add_labelled_counter(
        "verbenaplank_entry_jobs_refused",
        "refused jobs by route, priority and cause",
        instance.job_counts.refused,
    )
    metrics.add_labelled_counter(
        "verbenaplank_entry_jobs_served",
        "jobs that succeeded, by route, priority and whether the goal was met",
        instance.job_counts.served,
    )
    metrics.add_labelled_gauge(
        "verbenaplank_entry_jobs_waiting",
        "routed jobs with queued tasks, by route and priority",
        lambda: [
            (route_labels(key), float(count))
            for key, count in instance.waiting_jobs().items()
        ],
    )
    metrics.add_labelled_gauge(
        "verbenaplank_entry_cores",
        "cores of the backend servers by data centre and state",
        lambda: [
            ({"data_centre": data_centre, "state": state}, cores)
            for (data_centre, state), cores in instance.cores_by_state().items()
        ],
    )


def _counter_reader(counts: object, name: str) -> Callable[[], float]:
    return lambda: float(getattr(counts, name))
