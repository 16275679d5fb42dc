"""``verbena cancel``: cancel a job."""

from __future__ import annotations

from typing import Annotated

import typer

from verbenaplank.console.options import DEFAULT_ENTRY_URL
from verbenaplank.console.options import AsJson
from verbenaplank.console.options import EntryUrls
from verbenaplank.console.options import Token
from verbenaplank.console.output import print_json
from verbenaplank.console.requests import send_or_exit


def cancel(
    job_id: Annotated[str, typer.Argument(help="UUIDv7 of the submission.")],
    entry: EntryUrls = [DEFAULT_ENTRY_URL],  # noqa: B006
    token: Token = "",
    as_json: AsJson = False,
) -> None:
    """Cancel a job: what has not started never starts."""
    reply = send_or_exit(entry, token, "DELETE", f"/v1/jobs/{job_id}", None, as_json)
    if as_json:
        print_json(reply.content)
        return
    typer.echo(f"cancelled {job_id}")
