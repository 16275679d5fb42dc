"""Exports metrics through OpenTelemetry in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.observability.metrics import Histogram
    from verbenaplank.observability.metrics import LabelledMetric
    from verbenaplank.observability.metrics import LabelledValues
    from verbenaplank.observability.metrics import ReadMetric

METER_NAME = "verbenaplank"


class MetricsExporter:
    """Creates the instruments of one program and renders their values."""

    def __init__(self, instance_id: str, data_centre: str) -> None:
        resource = Resource.create(
            {"service.instance.id": instance_id, "cloud.region": data_centre}
        )
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            scope_info_enabled=False, registry=self._registry
        )
        self._provider = MeterProvider([reader], resource)
        self._meter = self._provider.get_meter(METER_NAME)

    def render(self) -> tuple[bytes, str]:
        """Return the metrics as text, and the media type of the text."""
        return generate_latest(self._registry), CONTENT_TYPE_LATEST

    def close(self) -> None:
        """Shut the meter provider down; no more metrics are collected."""
        self._provider.shutdown()

    def add_counter(self, metric: ReadMetric) -> None:
        """Add a counter."""
        self._meter.create_observable_counter(
            metric.name, [_observe(metric.read)], description=metric.description
        )

    def add_gauge(self, metric: ReadMetric) -> None:
        """Add a gauge."""
        self._meter.create_observable_gauge(
            metric.name, [_observe(metric.read)], description=metric.description
        )

    def add_labelled_counter(self, metric: LabelledMetric) -> None:
        """Add a counter with labels."""
        self._meter.create_observable_counter(
            metric.name,
            [_observe_labelled(metric.read)],
            description=metric.description,
        )

    def add_labelled_gauge(self, metric: LabelledMetric) -> None:
        """Add a gauge with labels."""
        self._meter.create_observable_gauge(
            metric.name,
            [_observe_labelled(metric.read)],
            description=metric.description,
        )

    def add_histogram(self, histogram: Histogram) -> Callable[[str, float], None]:
        """Add a histogram and return the function that records its values."""
        instrument = self._meter.create_histogram(
            histogram.name,
            unit="s",
            description=histogram.description,
            explicit_bucket_boundaries_advisory=histogram.bounds_s,
        )

        def record(outcome: str, value_s: float) -> None:
            instrument.record(value_s, {"outcome": outcome})

        return record


def _observe(
    read: Callable[[], float],
) -> Callable[[CallbackOptions], list[Observation]]:
    def observe(options: CallbackOptions) -> list[Observation]:
        del options
        return [Observation(read())]

    return observe


def _observe_labelled(
    read: Callable[[], LabelledValues],
) -> Callable[[CallbackOptions], list[Observation]]:
    def observe(options: CallbackOptions) -> list[Observation]:
        del options
        return [Observation(value, labels) for labels, value in read()]

    return observe
