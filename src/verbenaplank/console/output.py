"""Output of the commands: tables for people, JSON for scripts."""

from __future__ import annotations

import json
from collections.abc import Iterable
from collections.abc import Sequence
from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING
from typing import Any
from typing import NoReturn

import httpx
import typer
from rich.console import Console
from rich.table import Table

from verbenaplank.console.client import NotSentError
from verbenaplank.console.exit_code import ExitCode
from verbenaplank.outcome.failure import RunState

if TYPE_CHECKING:
    from verbenaplank.console.client import Reply

MILLISECONDS_PER_SECOND = 1000
BAD_INPUT_STATUSES = {
    httpx.codes.BAD_REQUEST,
    httpx.codes.REQUEST_ENTITY_TOO_LARGE,
    httpx.codes.UNPROCESSABLE_ENTITY,
}
RUN_STATEMENTS = {
    RunState.NOT_RUN: "Nothing was run.",
    RunState.MAY_HAVE_RUN: "Some tasks may have run.",
    RunState.RAN: "Some tasks ran.",
}

console = Console()
error_console = Console(stderr=True, soft_wrap=True)


def print_json(content: Any) -> None:
    """Print a value as indented JSON."""
    typer.echo(json.dumps(content, indent=2, ensure_ascii=False))


def print_table(
    title: str, columns: Sequence[str], rows: Iterable[Sequence[Any]]
) -> None:
    """Print a table; cells that are ``None`` stay empty."""
    table = Table(*columns, title=title, title_justify="left")
    for row in rows:
        table.add_row(*("" if cell is None else str(cell) for cell in row))
    console.print(table)


def format_local_time(at_ms: int) -> str:
    """Format a Unix time in milliseconds as local time, to the second."""
    time_utc = datetime.fromtimestamp(at_ms / MILLISECONDS_PER_SECOND, tz=UTC)
    return time_utc.astimezone().isoformat(sep=" ", timespec="seconds")


def exit_with_problem(reply: Reply, as_json: bool) -> NoReturn:
    """Print an answer that reports a failure to standard error, and exit.

    Raises
    ------
    typer.Exit
        Always, with the exit code for the status and content of the answer.
    """
    if as_json:
        typer.echo(json.dumps(reply.content), err=True)
    else:
        _print_problem(reply.content)
    raise typer.Exit(_exit_code(reply))


def exit_unreachable(error: Exception) -> NoReturn:
    """Print to standard error that no instance answered, and exit.

    Raises
    ------
    typer.Exit
        Always, with ``ExitCode.UNREACHABLE``, or with ``ExitCode.NOT_RUN`` if
        no instance could be connected to.
    """
    error_console.print(f"No instance answered: {error}", markup=False)
    if isinstance(error, NotSentError):
        error_console.print(RUN_STATEMENTS[RunState.NOT_RUN])
        raise typer.Exit(ExitCode.NOT_RUN)
    error_console.print(
        "The outcome is not known; send the request again with the same id to get it."
    )
    raise typer.Exit(ExitCode.UNREACHABLE)


def _print_problem(content: Any) -> None:
    if not isinstance(content, dict):
        error_console.print(str(content), markup=False)
        return
    detail = content.get("detail") or content.get("title") or "failed"
    error_console.print(str(detail), markup=False)
    for finding in content.get("findings") or ():
        line = f"  {finding['place']}: {finding['message']}"
        error_console.print(line, markup=False)
    if "run" in content:
        error_console.print(RUN_STATEMENTS[RunState(content["run"])])
    if content.get("retry_after_s") is not None:
        error_console.print(f"Try again after {content['retry_after_s']} s.")


def _exit_code(reply: Reply) -> ExitCode:
    if reply.status == httpx.codes.CONFLICT:
        return ExitCode.CONFLICT
    if reply.status in BAD_INPUT_STATUSES:
        return ExitCode.USAGE
    if reply.confirms_not_run:
        return ExitCode.NOT_RUN
    return ExitCode.FAILED
