"""A log handler that never blocks and whose volume is bounded.

Lines go to the stream from a thread of their own.  Of each event so many lines are
kept in a second; what is left out is counted and told.  When the reader of the
stream stands still, lines about failures are kept longest.
"""

from __future__ import annotations

import logging
import threading
import time
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from typing import BinaryIO

MAX_LINES_PER_EVENT_PER_S = 400
MAX_WAITING_LINES = 5_000
"""Lines that wait for a slow reader; twice as many if they tell of failures."""

BATCH_S = 0.05
"""Lines of this time leave in one write."""

CLOSE_TIMEOUT_S = 0.5
DROPPED = "log lines dropped"


class BoundedLogHandler(logging.Handler):
    """Hands formatted records to a thread that writes them.

    Attributes
    ----------
    dropped
        How many lines of each event have been left out so far.
    """

    def __init__(self, stream: BinaryIO) -> None:
        super().__init__()
        self.dropped: Counter[str] = Counter()
        self._stream = stream
        self._waiting: list[bytes] = []
        self._ready = threading.Event()
        self._closing = False
        self._second = 0
        self._in_second: Counter[str] = Counter()
        self._untold: Counter[str] = Counter()
        self._thread = threading.Thread(target=self._write_forever, daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Take a record in, or count it as dropped."""
        event = str(record.msg)
        second = int(record.created)
        if second != self._second:
            self._begin_second(second)
        self._in_second[event] += 1
        is_failure = record.levelno >= logging.WARNING
        room = MAX_WAITING_LINES * (2 if is_failure else 1)
        too_many = self._in_second[event] > MAX_LINES_PER_EVENT_PER_S
        if too_many or len(self._waiting) >= room:
            self.dropped[event] += 1
            self._untold[event] += 1
            return
        self._put(record)

    def close(self) -> None:
        """Write what waits, for as long as the reader takes it at once."""
        self._closing = True
        self._ready.set()
        if self._thread is not threading.current_thread():
            self._thread.join(CLOSE_TIMEOUT_S)
        super().close()

    def _begin_second(self, second: int) -> None:
        self._second = second
        self._in_second.clear()
        if self._untold and len(self._waiting) < MAX_WAITING_LINES:
            record = logging.LogRecord(
                __name__, logging.WARNING, "", 0, DROPPED, None, None
            )
            record.events = dict(self._untold)
            self._untold.clear()
            self._put(record)

    def _put(self, record: logging.LogRecord) -> None:
        self._waiting.append(self.format(record).encode() + b"\n")
        self._ready.set()

    def _write_forever(self) -> None:
        while True:
            self._ready.wait()
            if not self._closing:
                time.sleep(BATCH_S)
            self._ready.clear()
            lines, self._waiting = self._waiting, []
            try:
                self._stream.write(b"".join(lines))
                self._stream.flush()
            except (OSError, ValueError):
                # Nobody can be told: the stream for telling is what failed.
                self.dropped.update({"closed stream": len(lines)})
            if self._closing and not self._waiting:
                return
