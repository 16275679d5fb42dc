"""Logs on standard output: one JSON object a line."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.msgspec import MsgspecFormatter

from verbenaplank.observability.log_output import BoundedLogHandler

LOG_FIELDS = ("asctime", "levelname", "name", "message")
RENAMED_FIELDS = {"asctime": "time", "levelname": "level", "name": "logger"}
QUIET_LOGGERS = (
    *("hpack", "httpx", "httpcore"),
    *("uvicorn.access", "uvicorn.error", "grpclib.server"),
)


def configure_logging(instance_id: str, data_centre: str, level: str) -> None:
    """Send every log record to standard output as JSON.

    Each line carries the instance and the data centre; a record's ``extra``
    values, such as ``job_id``, become fields of their own.
    """
    formatter = MsgspecFormatter(
        LOG_FIELDS,
        style="%",
        rename_fields=RENAMED_FIELDS,
        static_fields={"instance": instance_id, "data_centre": data_centre},
    )
    handler = BoundedLogHandler(sys.stdout.buffer)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    for name in QUIET_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)
