from __future__ import annotations

import logging
import sys

import pytest
from pythonjsonlogger.msgspec import MsgspecFormatter

from verbenaplank.observability.line_formatter import FIELDS
from verbenaplank.observability.line_formatter import RENAMED_FIELDS
from verbenaplank.observability.line_formatter import LineFormatter
from verbenaplank.outcome.failure import FailureKind


def record(created_s: float, **extra: object) -> logging.LogRecord:
    made = logging.LogRecord("a.b", logging.INFO, "", 0, "event %s", ("x",), None)
    made.created = created_s
    made.msecs = (created_s % 1) * 1_000
    made.__dict__.update(extra)
    return made


def failure() -> logging.LogRecord:
    try:
        raise ValueError("fault")
    except ValueError:
        made = record(3.5, job_id="j")
        made.exc_info = sys.exc_info()
        return made


@pytest.mark.parametrize(
    "made",
    [
        record(1_796_400_000.0),
        record(1_796_400_000.999, kind=FailureKind.OVERLOADED, tasks=(1, None), _own=1),
        record(
            1_796_400_001.001, parts={"a": {"b": 0.5}}, cause="\u00e9\n", dispatch=None
        ),
        record(1_796_400_000.5, error=ValueError("fault")),
        failure(),
    ],
)
def test_line_is_the_same_as_the_library_formats(made: logging.LogRecord) -> None:
    """Guards against fields that operators search for and that are missing."""
    library = MsgspecFormatter(
        FIELDS,
        style="%",
        rename_fields=RENAMED_FIELDS,
        static_fields={"instance": "i", "data_centre": "d"},
    )
    formatter = LineFormatter("i", "d")
    formatter.format(record(1_796_400_000.2))
    line = formatter.format(made)
    made.__dict__.pop("asctime", None)
    made.__dict__.pop("message", None)
    assert line == library.format(made)
