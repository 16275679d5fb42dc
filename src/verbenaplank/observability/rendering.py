"""The function type by which an HTTP interface gets a program's metrics."""

from __future__ import annotations

from collections.abc import Callable

RenderMetrics = Callable[[], tuple[bytes, str]]
"""Function that returns the metrics as text and the media type of the text."""

TEXT_MEDIA_TYPE = "text/plain"


def no_metrics() -> tuple[bytes, str]:
    """Return an empty text, for a program without metrics."""
    return b"", TEXT_MEDIA_TYPE
