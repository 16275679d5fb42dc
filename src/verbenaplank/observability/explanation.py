"""The history of one request, put together from the log lines of all processes."""

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
"""Changes of belief so long before the request's first line belong to its history."""

STANDARD_FIELDS = frozenset({"time", "level", "logger", "message", "data_centre"})
ID_FIELDS = ("request_id", "job_id", "task")


@attrs.frozen(kw_only=True)
class LogLine:
    """One line of a process.

    Attributes
    ----------
    time_s
        By the clock of the process's machine.
    fields
        What the line holds besides its time, event and process.
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
        Time since the first line of the request, on the clock of its entry.
    """

    after_s: float
    line: LogLine


@attrs.frozen(kw_only=True)
class History:
    """What the logs tell of a request.

    Attributes
    ----------
    clock_shifts_s
        By how much the clock of a process was taken to be behind, so that no run
        starts before it was placed.
    """

    lines: tuple[HistoryLine, ...] = ()
    clock_shifts_s: dict[str, float] = attrs.field(factory=dict)


def read_log_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Decode log lines; what is not one, such as a traceback, is left out.

    Anything before the first brace, such as a collector's prefix, is ignored.
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
    """Return the history of a request, by its id or by the id of its job."""
    known = list(lines)
    ids = _all_ids(known, request_id)
    own = [line for line in known if _is_about(line, ids)]
    if not own:
        return History()
    shifts = _clock_shifts_s(own)
    agents = _agents(own)
    processes = {line.process for line in own} | agents
    first_s = min(_corrected_s(line, shifts) for line in own)
    last_s = max(_corrected_s(line, shifts) for line in own)
    chosen = own + [
        line
        for line in known
        if _is_belief(line)
        and (line.process in processes or line.fields.get("agent") in agents)
        and first_s - CONTEXT_S <= _corrected_s(line, shifts) <= last_s
    ]
    ordered = sorted(chosen, key=lambda line: _corrected_s(line, shifts))
    return History(
        lines=tuple(
            HistoryLine(after_s=_corrected_s(line, shifts) - first_s, line=line)
            for line in ordered
        ),
        clock_shifts_s=shifts,
    )


def _all_ids(lines: list[LogLine], request_id: str) -> frozenset[str]:
    ids = {request_id}
    for line in lines:
        if line.fields.get("request_id") == request_id and line.fields.get("job_id"):
            ids.add(line.fields["job_id"].partition(".")[0])
    return frozenset(ids)


def _is_about(line: LogLine, ids: frozenset[str]) -> bool:
    for name in ID_FIELDS:
        value = line.fields.get(name)
        if isinstance(value, str) and (value in ids or value.partition(".")[0] in ids):
            return True
    return False


def _is_belief(line: LogLine) -> bool:
    return not any(line.fields.get(name) for name in ID_FIELDS)


def _agents(lines: list[LogLine]) -> set[str]:
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


def _corrected_s(line: LogLine, shifts: dict[str, float]) -> float:
    return line.time_s + shifts.get(line.process, 0.0)
