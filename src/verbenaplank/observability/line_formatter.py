"""Formats log records as JSON objects."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from pythonjsonlogger.core import RESERVED_ATTRS
from pythonjsonlogger.msgspec import MsgspecFormatter

if TYPE_CHECKING:
    import logging

FIELDS = ("asctime", "levelname", "name", "message")
RENAMED_FIELDS = {"asctime": "time", "levelname": "level", "name": "logger"}
NO_EXTRA = frozenset({*RESERVED_ATTRS, *FIELDS})


class LineFormatter(MsgspecFormatter):
    """Formats each record as a JSON object of its fields and its ``extra`` values.

    Parameters
    ----------
    instance_id, data_centre
        Values of the fields ``instance`` and ``data_centre`` of each line.
    """

    def __init__(self, instance_id: str, data_centre: str) -> None:
        self._process = {"instance": instance_id, "data_centre": data_centre}
        super().__init__(
            FIELDS,
            style="%",
            rename_fields=RENAMED_FIELDS,
            static_fields=self._process,
        )
        self._second = -1
        self._second_text = ""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record.

        The library formats records with an exception or a stack.  For all others it
        takes several times as long as this method, which an entry calls three times
        for each job.
        """
        if record.exc_info or record.exc_text or record.stack_info:
            return super().format(record)
        line = {
            "time": self.formatTime(record),
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
            **self._process,
        }
        for key, value in record.__dict__.items():
            if key not in NO_EXTRA and not key.startswith("_"):
                line[key] = value
        return self.jsonify_log_record(line)

    def formatTime(  # noqa: N802
        self, record: logging.LogRecord, datefmt: str | None = None
    ) -> str:
        """Return the local time of a record, whose seconds are formatted once."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            local = time.localtime(second)
            self._second_text = time.strftime(self.default_time_format, local)
        return f"{self._second_text},{int(record.msecs):03d}"
