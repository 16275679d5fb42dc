"""Metrics by OpenTelemetry, rendered for ``/metrics``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY
from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

if TYPE_CHECKING:
    from opentelemetry.metrics import Meter

METER_NAME = "verbenaplank"


class Metrics:
    """The metrics of one program.

    Attributes
    ----------
    meter
        Makes the program's instruments.
    """

    def __init__(self, instance_id: str, data_centre: str) -> None:
        resource = Resource.create(
            {"service.instance.id": instance_id, "cloud.region": data_centre}
        )
        self._reader = PrometheusMetricReader()
        self._provider = MeterProvider([self._reader], resource)
        self.meter: Meter = self._provider.get_meter(METER_NAME)

    def render(self) -> tuple[bytes, str]:
        """Return the metrics as text, and the media type of that text."""
        return generate_latest(_registry()), CONTENT_TYPE_LATEST

    def close(self) -> None:
        """Stop collecting."""
        self._provider.shutdown()


def _registry() -> CollectorRegistry:
    return REGISTRY
