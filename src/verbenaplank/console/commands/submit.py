"""``verbena submit``: submits a job and prints its answer."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated
from typing import Any

import typer

from verbenaplank.console.exit_code import ExitCode
from verbenaplank.console.options import DEFAULT_ENTRY_URL
from verbenaplank.console.options import AsJson
from verbenaplank.console.options import DeadlineMs
from verbenaplank.console.options import EntryUrls
from verbenaplank.console.options import RequestId
from verbenaplank.console.options import Token
from verbenaplank.console.options import Urgent
from verbenaplank.console.output import error_console
from verbenaplank.console.requests import send_and_print
from verbenaplank.console.requests import with_options
from verbenaplank.identifiers.job_id import new_job_id

STANDARD_INPUT = Path("-")


def submit(
    file: Annotated[Path, typer.Argument(help="Job as JSON; - reads standard input.")],
    job_id: RequestId = "",
    urgent: Urgent = False,
    deadline_ms: DeadlineMs = None,
    entry: EntryUrls = [DEFAULT_ENTRY_URL],  # noqa: B006
    token: Token = "",
    as_json: AsJson = False,
) -> None:
    """Submit a job of several tasks, wait for it, and print its results."""
    job = with_options(read_body(file), job_id, urgent, deadline_ms)
    job.setdefault("id", new_job_id())
    if not as_json:
        error_console.print(f"job {job['id']}", markup=False)
    send_and_print(entry, token, "POST", "/v1/jobs", job, as_json)


def read_body(file: Path) -> dict[str, Any]:
    """Read a JSON object from a file, or from standard input for ``-``.

    Raises
    ------
    typer.Exit
        With ``ExitCode.USAGE`` if the input is not a JSON object; the cause is printed.
    """
    try:
        text = sys.stdin.read() if file == STANDARD_INPUT else file.read_text()
        body = json.loads(text)
    except (OSError, ValueError) as error:
        error_console.print(f"{file}: {error}", markup=False)
        raise typer.Exit(ExitCode.USAGE) from error
    if not isinstance(body, dict):
        error_console.print(f"{file}: not a JSON object", markup=False)
        raise typer.Exit(ExitCode.USAGE)
    return body
