"""Measurement of slopes: the cost of one more item in processor time or memory."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

MEASUREMENT_RUNS = 5
MICROSECONDS_PER_SECOND = 1e6


@attrs.frozen(kw_only=True)
class Slope:
    """Measured cost of one item.

    Attributes
    ----------
    name
        Kind of item, such as ``registrar.claim``.
    value
        Cost of one item. A processor time is the median of several runs.
    unit
        ``us`` for microseconds of processor time, or ``bytes``.
    items
        Number of items over which the cost was averaged.
    """

    name: str
    value: float
    unit: str
    items: int


def measure_processor_time(name: str, items: int, work: Callable[[], object]) -> Slope:
    """Measure the processor time of one item.

    ``work`` handles ``items`` items at each call. The garbage collector stays on,
    as it does in production.
    """
    samples = []
    for _ in range(MEASUREMENT_RUNS):
        started_s = time.process_time()
        work()
        samples.append(time.process_time() - started_s)
    value = statistics.median(samples) / items * MICROSECONDS_PER_SECOND
    return Slope(name=name, value=round(value, 3), unit="us", items=items)


def measure_memory(name: str, items: int, make: Callable[[], object]) -> Slope:
    """Measure the memory that one item holds.

    ``make`` returns an object that holds ``items`` items.
    """
    gc.collect()
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
    retained = make()
    gc.collect()
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    value = (after_bytes - before_bytes) / items
    return Slope(name=name, value=round(value, 1), unit="bytes", items=items)


def encoded_size(name: str, data: bytes, items: int = 1) -> Slope:
    """Return the slope of the encoded size; ``data`` holds ``items`` items."""
    value = round(len(data) / items, 1)
    return Slope(name=name, value=value, unit="bytes", items=items)
