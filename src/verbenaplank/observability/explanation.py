"""The history of one request, assembled from the log lines of all processes."""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING
from typing import Any

import attrs
import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
CONTEXT_S = 2.0
"""Lines about no request belong to the history from this time before its first line."""

STANDARD_FIELDS = frozenset({"time", "level", "logger", "message", "data_centre"})
ID_FIELDS = ("request_id", "job_id", "task")


@attrs.frozen(kw_only=True)
class LogLine:
    """One log line of a process.

    Attributes
    ----------
    time_s
        Unix time of the line, by the clock of the process's machine.
    process
        Instance id of the process.
    fields
        The fields of the line other than the standard ones and the instance id.
    """

    time_s: float
    process: str
    event: str
    fields: dict[str, Any]


@attrs.frozen(kw_only=True)
class HistoryLine:
    """One line of a request's history.

    Attributes
    ----------
    after_s
        Time since the first line about the request, by the clock of its entry;
        negative for an earlier line.
    """

    after_s: float
    line: LogLine


@attrs.frozen(kw_only=True)
class History:
    """The log lines of a request in the order of time.

    Attributes
    ----------
    clock_shifts_s
        By instance id, the time by which the clock of a process is taken to be
        behind.  It is the least time by which no run starts before its task was
        placed.
    """

    lines: tuple[HistoryLine, ...] = ()
    clock_shifts_s: dict[str, float] = attrs.field(factory=dict)


def read_log_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the decoded log lines; other text, such as a traceback, is skipped.

    Text before the first brace of a line, such as the prefix that a log collector
    adds, is ignored.
    """
    decoder = msgspec.json.Decoder(dict[str, Any])
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = decoder.decode(text[start:])
            time_s = datetime.strptime(fields["time"], TIME_FORMAT).timestamp()
            process, event = fields["instance"], fields["message"]
        except (msgspec.MsgspecError, KeyError, ValueError, TypeError):
            continue
        rest = {
            name: value
            for name, value in fields.items()
            if name not in STANDARD_FIELDS and name != "instance"
        }
        yield LogLine(time_s=time_s, process=process, event=event, fields=rest)


def explain(lines: Iterable[LogLine], request_id: str) -> History:
    """Return the history of a request, given its id or the id of its job.

    The history holds all lines about the request, or is empty if there are none.
    It also holds lines about no request, such as a lost connection, that come from
    an involved process or name an involved agent, from ``CONTEXT_S`` before the
    request's first line to its last one.
    """
    all_lines = list(lines)
    ids = _ids_of_request(all_lines, request_id)
    request_lines = [line for line in all_lines if _has_id_among(line, ids)]
    if not request_lines:
        return History()
    shifts = _clock_shifts_s(request_lines)
    agents = _involved_agents(request_lines)
    processes = {line.process for line in request_lines} | agents
    first_s = min(_corrected_time_s(line, shifts) for line in request_lines)
    last_s = max(_corrected_time_s(line, shifts) for line in request_lines)
    chosen = request_lines + [
        line
        for line in all_lines
        if _has_no_id(line)
        and (line.process in processes or line.fields.get("agent") in agents)
        and first_s - CONTEXT_S <= _corrected_time_s(line, shifts) <= last_s
    ]
    ordered = sorted(chosen, key=lambda line: _corrected_time_s(line, shifts))
    return History(
        lines=tuple(
            HistoryLine(after_s=_corrected_time_s(line, shifts) - first_s, line=line)
            for line in ordered
        ),
        clock_shifts_s=shifts,
    )


def _ids_of_request(lines: list[LogLine], request_id: str) -> frozenset[str]:
    ids = {request_id}
    for line in lines:
        if line.fields.get("request_id") == request_id and line.fields.get("job_id"):
            ids.add(line.fields["job_id"].partition(".")[0])
    return frozenset(ids)


def _has_id_among(line: LogLine, ids: frozenset[str]) -> bool:
    for name in ID_FIELDS:
        value = line.fields.get(name)
        if isinstance(value, str) and (value in ids or value.partition(".")[0] in ids):
            return True
    return False


def _has_no_id(line: LogLine) -> bool:
    return not any(line.fields.get(name) for name in ID_FIELDS)


def _involved_agents(lines: list[LogLine]) -> set[str]:
    agents = {placement[2] for line in lines for placement in _placements(line)}
    named = {line.fields["agent"] for line in lines if "agent" in line.fields}
    return agents | named


def _placements(line: LogLine) -> list[Any]:
    return list(line.fields.get("placements", ()))


def _clock_shifts_s(lines: list[LogLine]) -> dict[str, float]:
    placed_s = {
        (line.fields["job_id"], placement[0], placement[1]): line.time_s
        for line in lines
        for placement in _placements(line)
    }
    shifts: dict[str, float] = {}
    for line in lines:
        if line.event != "run started":
            continue
        fields = line.fields
        key = (fields["job_id"], fields["task_index"], fields["attempt"])
        behind_s = placed_s.get(key, line.time_s) - line.time_s
        if behind_s > shifts.get(line.process, 0.0):
            shifts[line.process] = behind_s
    return shifts


def _corrected_time_s(line: LogLine, shifts: dict[str, float]) -> float:
    return line.time_s + shifts.get(line.process, 0.0)
