from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from typer.testing import CliRunner

from verbenaplank.console.application import application
from verbenaplank.observability.explanation import explain
from verbenaplank.observability.explanation import read_log_lines

if TYPE_CHECKING:
    from pathlib import Path

JOB = "5c0e7a21d94b36f8"
RUN = {"job_id": f"{JOB}.e1.1", "task_index": 0, "attempt": 1}


def log_line(second: float, process: str, event: str, **fields: object) -> str:
    time = f"2026-12-04 10:00:{int(second):02d},{round(second % 1 * 1000):03d}"
    line = {"time": time, "level": "INFO", "message": event, "instance": process}
    return "  12.3 node " + msgspec.json.encode({**line, **fields}).decode()


LINES = [
    log_line(1.0, "entry", "agent connected", agent="agent-2"),
    log_line(5.0, "entry", "job admitted", request_id="r1", job_id=f"{JOB}.e1.1"),
    log_line(
        5.010,
        "entry",
        "tasks placed",
        job_id=f"{JOB}.e1.1",
        placements=[[0, 1, "agent-1", 3.5]],
    ),
    log_line(4.0, "agent-1", "run started", **RUN),
    log_line(4.2, "agent-1", "lease not renewed", silent_ms=400),
    log_line(4.3, "agent-1", "run ended", **RUN, outcome="failed"),
    log_line(5.4, "entry", "run did not succeed", **RUN, agent="agent-1"),
    log_line(5.5, "entry", "answered", request_id="r1", job_id=JOB, outcome="failed"),
    log_line(5.2, "entry", "job admitted", job_id="ffff.e1.2"),
    log_line(5.2, "agent-3", "lease not renewed", silent_ms=900),
    "Traceback (most recent call last):",
    '{"message": "cut',
]


def test_history_holds_the_lines_of_all_processes_in_corrected_order() -> None:
    """Guards against lines that are left out or sorted before their cause.

    The clock of ``agent-1`` is behind, so its run appears to start before the
    entry placed the task.  Lines of processes that are not involved, and of other
    jobs, do not belong to the history.
    """
    history = explain(read_log_lines(LINES), "r1")

    assert [item.line.event for item in history.lines] == [
        "job admitted",
        "tasks placed",
        "run started",
        "lease not renewed",
        "run ended",
        "run did not succeed",
        "answered",
    ]
    assert [item.line.process for item in history.lines].count("agent-3") == 0
    assert round(history.clock_shifts_s["agent-1"], 3) == 1.01
    assert explain(read_log_lines(LINES), JOB).lines == history.lines


def test_request_without_log_lines_has_an_empty_history() -> None:
    """Guards against a history made of lines that are about no request."""
    assert explain(read_log_lines(LINES), "r2").lines == ()


def test_command_prints_the_history(tmp_path: Path) -> None:
    """Guards against an exit code of 0 for a request that was not found."""
    path = tmp_path / "all.log"
    path.write_text("\n".join(LINES), encoding="utf-8")

    shown = CliRunner().invoke(application, ["explain", "r1", str(path)])
    missing = CliRunner().invoke(application, ["explain", "r2", str(path)])

    assert shown.exit_code == 0
    assert "agent-1  run started" in shown.output
    assert "the clock of agent-1 is at least 1.010 s behind" in shown.output
    assert missing.exit_code == 1


def test_request_without_an_answer_is_found_by_its_id() -> None:
    """The job id must also be found in the line about the admission.

    The line about the answer is missing if the entry crashed before.
    """
    unanswered = [line for line in LINES if '"answered"' not in line]
    events = [
        item.line.event for item in explain(read_log_lines(unanswered), "r1").lines
    ]
    assert "run did not succeed" in events


def test_history_tells_why_a_task_was_held_and_what_ended_the_hold() -> None:
    """A late job waited for its rack, and nothing says so."""
    held = log_line(
        5.009,
        "entry",
        "task held",
        **RUN,
        rack="rack-a",
        cause="a local server is expected to end it earlier",
        held_ms=31,
        ended_by="local server is free",
    )
    history = explain(read_log_lines([*LINES, held]), JOB)
    lines = [each.line for each in history.lines if each.line.event == "task held"]
    assert [line.fields["rack"] for line in lines] == ["rack-a"]
    assert lines[0].fields["ended_by"] == "local server is free"
