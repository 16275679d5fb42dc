"""Logging to standard output, one JSON object a line."""

from __future__ import annotations

import logging
import sys

from verbenaplank.observability.line_formatter import LineFormatter
from verbenaplank.observability.log_output import BoundedLogHandler

QUIET_LOGGERS = (
    *("hpack", "httpx", "httpcore"),
    *("uvicorn.access", "uvicorn.error", "grpclib.server"),
)


def configure_logging(instance_id: str, data_centre: str, level: str) -> None:
    """Write the log records of the process to standard output as JSON.

    Each line has fields for the instance id, the data centre and each ``extra``
    value of the record, such as ``job_id``.

    Parameters
    ----------
    level
        Lowest level of the records that are written, such as ``INFO``.
    """
    _skip_unused_record_fields()
    handler = BoundedLogHandler(sys.stdout.buffer)
    handler.setFormatter(LineFormatter(instance_id, data_centre))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    for name in QUIET_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)


def _skip_unused_record_fields() -> None:
    """Keep ``logging`` from collecting what no line contains.

    Finding the caller on the stack is the most expensive part of a record.
    """
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
