"""How the metrics of a program are handed to the interface that shows them."""

from __future__ import annotations

from collections.abc import Callable

RenderMetrics = Callable[[], tuple[bytes, str]]
"""Returns the metrics as text and their media type."""

TEXT = "text/plain"


def no_metrics() -> tuple[bytes, str]:
    """Return an empty text."""
    return b"", TEXT
