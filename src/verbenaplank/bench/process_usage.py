"""Memory and processor time of a running process, read from ``/proc``."""

from __future__ import annotations

import os
import time
from pathlib import Path

import attrs

DEFAULT_WINDOW_S = 10.0
BYTES_PER_KB = 1024


@attrs.frozen(kw_only=True)
class ProcessUsage:
    """Resources that a process uses.

    Attributes
    ----------
    processor_share
        Processor time divided by the wall time of the measurement, so that 1.0
        is one core.
    window_s
        Wall time of the measurement.
    """

    resident_bytes: int
    peak_resident_bytes: int
    threads: int
    processor_share: float
    window_s: float


def measure_process(pid: int, window_s: float = DEFAULT_WINDOW_S) -> ProcessUsage:
    """Measure a process over a window of ``window_s`` seconds.

    Raises
    ------
    FileNotFoundError
        If no process has this id.
    """
    before_s = processor_time_s(pid)
    time.sleep(window_s)
    share = (processor_time_s(pid) - before_s) / window_s
    status = _read_status(pid)
    return ProcessUsage(
        resident_bytes=_parse_size_bytes(status["VmRSS"]),
        peak_resident_bytes=_parse_size_bytes(status["VmHWM"]),
        threads=int(status["Threads"]),
        processor_share=round(share, 5),
        window_s=window_s,
    )


def processor_time_s(pid: int) -> float:
    """Return the processor time that a process has used so far, in seconds.

    It is the sum of the user time and the system time.
    """
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def _read_status(pid: int) -> dict[str, str]:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    pairs = (line.partition(":") for line in lines)
    return {name: value.strip() for name, _, value in pairs}


def _parse_size_bytes(text: str) -> int:
    return int(text.split()[0]) * BYTES_PER_KB
