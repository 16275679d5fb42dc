"""Measured slopes: what one more item costs."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

RUNS = 5
MICROSECONDS_PER_SECOND = 1e6


@attrs.frozen(kw_only=True)
class Slope:
    """One measured cost.

    Attributes
    ----------
    name
        What is counted, such as ``registrar.claim``.
    value
        The median of the runs.
    unit
        ``us`` of processor time, or ``bytes``, for one item.
    items
        Items in each run.
    """

    name: str
    value: float
    unit: str
    items: int


def measure_processor_time(name: str, items: int, work: Callable[[], object]) -> Slope:
    """Measure the processor time of one item; ``work`` handles ``items``.

    The garbage collector stays on, as in the product.
    """
    samples = []
    for _ in range(RUNS):
        started_s = time.process_time()
        work()
        samples.append(time.process_time() - started_s)
    value = statistics.median(samples) / items * MICROSECONDS_PER_SECOND
    return Slope(name=name, value=round(value, 3), unit="us", items=items)


def measure_memory(name: str, items: int, make: Callable[[], object]) -> Slope:
    """Measure the memory that one item keeps; ``make`` returns ``items`` of them."""
    gc.collect()
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
    kept = make()
    gc.collect()
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    value = (after_bytes - before_bytes) / items
    return Slope(name=name, value=round(value, 1), unit="bytes", items=items)


def encoded_size(name: str, data: bytes, items: int = 1) -> Slope:
    """Return the encoded size of one item."""
    value = round(len(data) / items, 1)
    return Slope(name=name, value=value, unit="bytes", items=items)
