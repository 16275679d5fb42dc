"""Metrics of one program, which are exported once somebody asks for them."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from verbenaplank.observability.metrics_exporter import MetricsExporter

MAX_EARLY_VALUES = 10_000
"""Values of a histogram that are kept until the first export; more start it at once."""


@attrs.frozen
class ReadMetric:
    """A counter or gauge whose value is read at each export."""

    name: str
    description: str
    read: Callable[[], float]


LabelledValues = Iterable[tuple[Mapping[str, str], float]]
"""Values of a metric, each with its labels."""


@attrs.frozen
class LabelledMetric:
    """A counter or gauge whose values by label are read at each export."""

    name: str
    description: str
    read: Callable[[], LabelledValues]


class Metrics:
    """The metrics of one program.

    The library that exports them takes a fifth of a program's start, so it is imported
    at the first export.
    """

    def __init__(self, instance_id: str, data_centre: str) -> None:
        self._instance_id = instance_id
        self._data_centre = data_centre
        self._counters: list[ReadMetric] = []
        self._gauges: list[ReadMetric] = []
        self._labelled_counters: list[LabelledMetric] = []
        self._labelled_gauges: list[LabelledMetric] = []
        self._histograms: list[Histogram] = []
        self._exporter: MetricsExporter | None = None
        self._gauge_values: dict[str, float] = {}
        self._labelled_values: dict[str, list[tuple[Mapping[str, str], float]]] = {}

    def render(self) -> tuple[bytes, str]:
        """Return the metrics as text, and the media type of the text."""
        self.take_snapshot()
        return self.render_snapshot()

    def take_snapshot(self) -> None:
        """Read the gauges and the labelled metrics, in the event loop.

        They iterate collections that the event loop changes, so a thread that renders
        them must not read them.
        """
        self._gauge_values = {gauge.name: gauge.read() for gauge in self._gauges}
        labelled = self._labelled_counters + self._labelled_gauges
        self._labelled_values = {
            metric.name: list(metric.read()) for metric in labelled
        }

    def render_snapshot(self) -> tuple[bytes, str]:
        """Return the metrics of the last snapshot as text; a thread may call it."""
        return self._open_exporter().render()

    def close(self) -> None:
        """Shut the exporter down; no more metrics are collected."""
        if self._exporter is not None:
            self._exporter.close()

    def add_counter(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Add a counter whose value is read when the metrics are rendered."""
        self._counters.append(ReadMetric(name, description, read))

    def add_gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read when the metrics are rendered."""
        self._gauges.append(ReadMetric(name, description, read))

    def add_labelled_counter(
        self, name: str, description: str, read: Callable[[], LabelledValues]
    ) -> None:
        """Add a counter whose values by label are read when metrics are rendered."""
        self._labelled_counters.append(LabelledMetric(name, description, read))

    def add_labelled_gauge(
        self, name: str, description: str, read: Callable[[], LabelledValues]
    ) -> None:
        """Add a gauge whose values by label are read when metrics are rendered."""
        self._labelled_gauges.append(LabelledMetric(name, description, read))

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
        histogram = Histogram(name, description, tuple(bounds))
        self._histograms.append(histogram)

        def record(outcome: str, value_s: float) -> None:
            histogram.record(outcome, value_s)
            if len(histogram.early_values) >= MAX_EARLY_VALUES:
                self._open_exporter()

        return record

    def _open_exporter(self) -> MetricsExporter:
        if self._exporter is not None:
            return self._exporter
        from verbenaplank.observability.metrics_exporter import MetricsExporter

        exporter = MetricsExporter(self._instance_id, self._data_centre)
        for counter in self._counters:
            exporter.add_counter(counter)
        for gauge in self._gauges:
            exporter.add_gauge(self._gauge_of_snapshot(gauge))
        for labelled in self._labelled_counters:
            exporter.add_labelled_counter(self._labelled_of_snapshot(labelled))
        for labelled in self._labelled_gauges:
            exporter.add_labelled_gauge(self._labelled_of_snapshot(labelled))
        for histogram in self._histograms:
            histogram.export_to(exporter.add_histogram(histogram))
        self._exporter = exporter
        return exporter

    def _gauge_of_snapshot(self, gauge: ReadMetric) -> ReadMetric:
        return attrs.evolve(gauge, read=lambda: self._gauge_values.get(gauge.name, 0.0))

    def _labelled_of_snapshot(self, metric: LabelledMetric) -> LabelledMetric:
        return attrs.evolve(
            metric, read=lambda: self._labelled_values.get(metric.name, ())
        )


@attrs.define
class Histogram:
    """A histogram of durations by outcome.

    Attributes
    ----------
    bounds_s
        Upper bounds of the buckets, in seconds.
    early_values
        Outcomes and values in seconds that were recorded before the first export.
    """

    name: str
    description: str
    bounds_s: tuple[float, ...]
    early_values: list[tuple[str, float]] = attrs.field(factory=list)
    _export: Callable[[str, float], None] | None = None

    def record(self, outcome: str, value_s: float) -> None:
        """Record a value in seconds under the name of an outcome."""
        if self._export is None:
            self.early_values.append((outcome, value_s))
        else:
            self._export(outcome, value_s)

    def export_to(self, export: Callable[[str, float], None]) -> None:
        """Pass all values, past and future ones, to a function."""
        self._export = export
        for outcome, value_s in self.early_values:
            export(outcome, value_s)
        self.early_values.clear()
