"""``verbena cancel``: cancels a job."""

from __future__ import annotations

from typing import Annotated

import typer

from verbenaplank.console.client import Client
from verbenaplank.console.client import Reply
from verbenaplank.console.client import UnreachableError
from verbenaplank.console.exit_code import ExitCode
from verbenaplank.console.options import DEFAULT_ENTRY_URL
from verbenaplank.console.options import AsJson
from verbenaplank.console.options import EntryUrls
from verbenaplank.console.options import Token
from verbenaplank.console.output import RUN_STATEMENTS
from verbenaplank.console.output import exit_unreachable
from verbenaplank.console.output import exit_with_problem
from verbenaplank.console.output import print_json
from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.failure import RunState


def cancel(
    job_id: Annotated[str, typer.Argument(help="UUIDv7 of the submission.")],
    entry: EntryUrls = [DEFAULT_ENTRY_URL],  # noqa: B006
    token: Token = "",
    as_json: AsJson = False,
) -> None:
    """Cancel a job, so that no further task of it starts."""
    with Client(entry, token) as client:
        try:
            reply = client.send("DELETE", f"/v1/jobs/{job_id}")
        except UnreachableError as error:
            exit_unreachable(error)
    if not reply.succeeded and not _was_cancelled(reply):
        exit_with_problem(reply, as_json)
    if as_json:
        print_json(reply.content)
    else:
        typer.echo(_format_outcome(reply))
    if reply.succeeded:  # The job was complete before it could be cancelled.
        raise typer.Exit(ExitCode.CONFLICT)


def _was_cancelled(reply: Reply) -> bool:
    content = reply.content
    return isinstance(content, dict) and content.get("kind") == FailureKind.CANCELLED


def _format_outcome(reply: Reply) -> str:
    if reply.succeeded:
        return "Too late: the job is complete."
    return f"Cancelled. {RUN_STATEMENTS[RunState(reply.content['run'])]}"
