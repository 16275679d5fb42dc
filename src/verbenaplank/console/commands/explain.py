"""``verbena explain``: prints the history of one request from log files."""

from __future__ import annotations

from itertools import chain
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Annotated

import typer

from verbenaplank.console.exit_code import ExitCode
from verbenaplank.console.output import error_console
from verbenaplank.observability.explanation import explain as explain_request
from verbenaplank.observability.explanation import read_log_lines

if TYPE_CHECKING:
    from collections.abc import Iterator

    from verbenaplank.observability.explanation import HistoryLine


def explain(
    request_id: Annotated[str, typer.Argument(help="Id of a request or a job.")],
    files: Annotated[
        list[Path],
        typer.Argument(exists=True, dir_okay=False, help="Log files of all processes."),
    ],
) -> None:
    """Print the history of a request from the logs of all processes."""
    log_lines = chain.from_iterable(_read_lines(path) for path in files)
    history = explain_request(read_log_lines(log_lines), request_id)
    if not history.lines:
        error_console.print(f"No log line mentions {request_id}.")
        raise typer.Exit(ExitCode.FAILED)
    for line in history.lines:
        typer.echo(_format_line(line))
    for process, shift_s in sorted(history.clock_shifts_s.items()):
        typer.echo(f"the clock of {process} is at least {shift_s:.3f} s behind")


def _read_lines(path: Path) -> Iterator[str]:
    with path.open(encoding="utf-8", errors="replace") as file:
        yield from file


def _format_line(history_line: HistoryLine) -> str:
    fields = " ".join(
        f"{name}={value}" for name, value in history_line.line.fields.items()
    )
    return (
        f"{history_line.after_s:+8.3f} s  {history_line.line.process}  "
        f"{history_line.line.event}  {fields}"
    )
