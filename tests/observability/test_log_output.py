from __future__ import annotations

import io
import logging
import os
import threading

import msgspec
from pythonjsonlogger.msgspec import MsgspecFormatter

from verbenaplank.observability.log_output import DROPPED
from verbenaplank.observability.log_output import MAX_LINES_PER_EVENT_PER_S
from verbenaplank.observability.log_output import MAX_WAITING_LINES
from verbenaplank.observability.log_output import BoundedLogHandler


def record(
    event: str, level: int = logging.INFO, created_s: float = 1.0
) -> logging.LogRecord:
    made = logging.LogRecord("test", level, "", 0, event, None, None)
    made.created = created_s
    return made


def written(stream: io.BytesIO) -> list[dict[str, object]]:
    return [msgspec.json.decode(line) for line in stream.getvalue().splitlines()]


def test_lines_beyond_the_limit_of_an_event_are_dropped_and_reported() -> None:
    """Guards against one frequent event that floods the log or hides others."""
    stream = io.BytesIO()
    handler = BoundedLogHandler(stream)
    handler.setFormatter(MsgspecFormatter(("message",)))
    for _ in range(MAX_LINES_PER_EVENT_PER_S + 5):
        handler.handle(record("often"))
    handler.handle(record("seldom"))
    handler.handle(record("seldom", created_s=2.0))
    handler.close()

    lines = written(stream)
    events = [line["message"] for line in lines]
    assert events.count("often") == MAX_LINES_PER_EVENT_PER_S
    assert events.count("seldom") == 2
    assert [line["events"] for line in lines if line["message"] == DROPPED] == [
        {"often": 5}
    ]
    assert handler.dropped == {"often": 5}


def test_stalled_reader_blocks_no_caller_and_warnings_are_kept() -> None:
    """Guards against an event loop that blocks on a full pipe of the log stream.

    Ordinary lines fill the queue and are dropped; a warning still has room.
    """
    reading, writing = os.pipe()
    with os.fdopen(writing, "wb") as stream:
        handler = BoundedLogHandler(stream)
        seconds = 4 * MAX_WAITING_LINES // MAX_LINES_PER_EVENT_PER_S
        for second in range(seconds):
            for _ in range(MAX_LINES_PER_EVENT_PER_S):
                handler.handle(record("x" * 200, created_s=float(second)))
        handler.handle(record("failure", logging.WARNING, float(seconds)))

        assert handler.dropped["x" * 200] > 0
        assert handler.dropped["failure"] == 0
        drained = threading.Thread(target=drain, args=(reading,), daemon=True)
        drained.start()
        handler.close()
    drained.join(10)


def drain(descriptor: int) -> None:
    with os.fdopen(descriptor, "rb") as stream:
        while stream.read(65_536):
            pass


class _SignallingStream(io.BytesIO):
    """Signals each write."""

    def __init__(self) -> None:
        super().__init__()
        self.wrote = threading.Event()

    def write(self, data: object) -> int:
        count = super().write(data)  # type: ignore[arg-type]
        self.wrote.set()
        return count


class _SlowFormatter(logging.Formatter):
    """Formats a slow event only after the lines before it have been written."""

    def __init__(self, wrote: threading.Event) -> None:
        super().__init__('{"message":"%(message)s"}')
        self._wrote = wrote

    def format(self, record: logging.LogRecord) -> str:
        if record.msg == "slow":
            assert self._wrote.wait(10.0)
        return super().format(record)


def test_line_that_is_formatted_while_others_are_written_is_not_lost() -> None:
    """An agent's line on a crash was missing, though its entries had the report."""
    stream = _SignallingStream()
    handler = BoundedLogHandler(stream)
    handler.setFormatter(_SlowFormatter(stream.wrote))
    handler.handle(record("first"))
    handler.handle(record("slow"))
    handler.close()
    assert [line["message"] for line in written(stream)] == ["first", "slow"]
