from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from verbenaplank.observability import metrics as metrics_module
from verbenaplank.observability.metrics import Metrics

if TYPE_CHECKING:
    from collections.abc import Iterator


def test_values_recorded_before_the_first_export_are_exported() -> None:
    """The exporter is loaded late; durations of the first requests must not be lost."""
    metrics = Metrics("entry-1", "Kochi")
    record = metrics.add_histogram("duration_seconds", "time", (0.1, 1.0))
    metrics.add_counter("answers", "number", lambda: 7.0)
    metrics.add_gauge("queued", "number", lambda: 3.0)
    record("succeeded", 0.05)
    record("succeeded", 0.5)

    first = metrics.render()[0].decode()
    record("succeeded", 0.5)
    second = metrics.render()[0].decode()
    metrics.close()

    assert 'duration_seconds_count{outcome="succeeded"} 2.0' in first
    assert 'duration_seconds_bucket{le="0.1",outcome="succeeded"} 1.0' in first
    assert 'duration_seconds_count{outcome="succeeded"} 3.0' in second
    assert "answers_total 7.0" in first
    assert "queued 3.0" in first


def test_rendering_reads_no_collection_that_the_event_loop_changes() -> None:
    """Guards against a thread that iterates a collection while it changes size."""
    metrics = Metrics("entry-1", "Kochi")
    waiting = {"a": 1.0}
    threads: set[int] = set()

    def read() -> Iterator[tuple[dict[str, str], float]]:
        threads.add(threading.get_ident())
        for route, count in waiting.items():
            yield {"route": route}, count

    def total() -> float:
        threads.add(threading.get_ident())
        return sum(waiting.values())

    metrics.add_labelled_gauge("waiting", "number", read)
    metrics.add_labelled_counter("refused", "number", read)
    metrics.add_gauge("total", "number", total)
    metrics.take_snapshot()
    with ThreadPoolExecutor(1) as executor:
        text = executor.submit(metrics.render_snapshot).result()[0].decode()
    metrics.close()
    assert threads == {threading.get_ident()}
    assert 'waiting{route="a"} 1.0' in text
    assert 'refused_total{route="a"} 1.0' in text
    assert "total 1.0" in text


def test_many_early_values_start_the_export() -> None:
    """Nobody asks for the metrics; the values kept for them must stay bounded."""
    metrics = Metrics("entry-1", "Kochi")
    record = metrics.add_histogram("duration_seconds", "time", (0.1, 1.0))
    for _ in range(metrics_module.MAX_EARLY_VALUES + 1):
        record("succeeded", 0.5)
    text = metrics.render()[0].decode()
    metrics.close()
    assert f"{metrics_module.MAX_EARLY_VALUES + 1}.0" in text
