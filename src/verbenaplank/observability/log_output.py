"""A log handler that never blocks and limits the volume of its output.

A separate thread writes the lines to the stream.  The number of lines of one event
in a second is limited; further lines are dropped, and their number is logged.  If
the reader of the stream stalls, lines of level WARNING and above are dropped last.
"""

from __future__ import annotations

import logging
import threading
import time
from collections import Counter
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from typing import BinaryIO

MAX_LINES_PER_EVENT_PER_S = 400
MAX_WAITING_LINES = 5_000
"""Limit of the lines that wait for a slow reader; doubled for WARNING and above."""

BATCH_S = 0.05
"""How long lines are collected before they are written together."""

CLOSE_TIMEOUT_S = 0.5
DROPPED = "log lines dropped"


class BoundedLogHandler(logging.Handler):
    """Log handler that passes formatted records to a thread that writes them.

    Attributes
    ----------
    dropped
        Number of lines of each event that have been dropped so far.
    """

    def __init__(self, stream: BinaryIO) -> None:
        super().__init__()
        self.dropped: Counter[str] = Counter()
        self._stream = stream
        self._waiting: deque[bytes] = deque()
        self._ready = threading.Event()
        self._closing = False
        self._second = 0
        self._lines_in_second: Counter[str] = Counter()
        self._unreported: Counter[str] = Counter()
        self._thread = threading.Thread(target=self._write_forever, daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record for writing, or count it as dropped."""
        event = str(record.msg)
        second = int(record.created)
        if second != self._second:
            self._start_second(second)
        self._lines_in_second[event] += 1
        is_warning = record.levelno >= logging.WARNING
        limit = MAX_WAITING_LINES * (2 if is_warning else 1)
        too_many = self._lines_in_second[event] > MAX_LINES_PER_EVENT_PER_S
        if too_many or len(self._waiting) >= limit:
            self.dropped[event] += 1
            self._unreported[event] += 1
            return
        self._enqueue(record)

    def close(self) -> None:
        """Wait until the queued lines are written, at most ``CLOSE_TIMEOUT_S``."""
        self._closing = True
        self._ready.set()
        if self._thread is not threading.current_thread():
            self._thread.join(CLOSE_TIMEOUT_S)
        super().close()

    def _start_second(self, second: int) -> None:
        self._second = second
        self._lines_in_second.clear()
        if self._unreported and len(self._waiting) < MAX_WAITING_LINES:
            record = logging.LogRecord(
                __name__, logging.WARNING, "", 0, DROPPED, None, None
            )
            record.events = dict(self._unreported)
            self._unreported.clear()
            self._enqueue(record)

    def _enqueue(self, record: logging.LogRecord) -> None:
        self._waiting.append(self.format(record).encode() + b"\n")
        if not self._ready.is_set():
            self._ready.set()

    def _write_forever(self) -> None:
        while True:
            self._ready.wait()
            if not self._closing:
                time.sleep(BATCH_S)
            self._ready.clear()
            lines = [self._waiting.popleft() for _ in range(len(self._waiting))]
            try:
                self._stream.write(b"".join(lines))
                self._stream.flush()
            except (OSError, ValueError):
                # This cannot be logged, since the log stream itself has failed.
                self.dropped.update({"closed stream": len(lines)})
            if self._closing and not self._waiting:
                return
