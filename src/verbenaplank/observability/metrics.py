"""OpenTelemetry metrics, rendered in the Prometheus text format."""

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
    from collections.abc import Sequence

    from opentelemetry.metrics import Meter

METER_NAME = "verbenaplank"


class Metrics:
    """The metrics of one program.

    Attributes
    ----------
    meter
        OpenTelemetry meter that creates the program's instruments.
    """

    def __init__(self, instance_id: str, data_centre: str) -> None:
        resource = Resource.create(
            {"service.instance.id": instance_id, "cloud.region": data_centre}
        )
        self._registry = CollectorRegistry()
        self._reader = PrometheusMetricReader(
            scope_info_enabled=False, registry=self._registry
        )
        self._provider = MeterProvider([self._reader], resource)
        self.meter: Meter = self._provider.get_meter(METER_NAME)

    def render(self) -> tuple[bytes, str]:
        """Return the metrics as text, and the media type of the text."""
        return generate_latest(self._registry), CONTENT_TYPE_LATEST

    def close(self) -> None:
        """Shut the meter provider down; no more metrics are collected."""
        self._provider.shutdown()

    def add_counter(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Add a counter whose value is read when the metrics are rendered."""
        self.meter.create_observable_counter(
            name, [_observe(read)], description=description
        )

    def add_gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read when the metrics are rendered."""
        self.meter.create_observable_gauge(
            name, [_observe(read)], description=description
        )

    def add_histogram(
        self, name: str, description: str, bounds: Sequence[float]
    ) -> Callable[[str, float], None]:
        """Add a histogram of durations by outcome.

        Parameters
        ----------
        bounds
            Upper bounds of the buckets, in seconds.

        Returns
        -------
        Callable
            Records a value in seconds under the name of an outcome.
        """
        instrument = self.meter.create_histogram(
            name,
            unit="s",
            description=description,
            explicit_bucket_boundaries_advisory=bounds,
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
