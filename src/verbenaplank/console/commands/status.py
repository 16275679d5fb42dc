"""``verbena status``: prints the answer of a job that was submitted before."""

from __future__ import annotations

from typing import Annotated

import typer

from verbenaplank.console.options import DEFAULT_ENTRY_URL
from verbenaplank.console.options import AsJson
from verbenaplank.console.options import EntryUrls
from verbenaplank.console.options import Token
from verbenaplank.console.requests import send_and_print


def status(
    job_id: Annotated[str, typer.Argument(help="UUIDv7 of the submission.")],
    entry: EntryUrls = [DEFAULT_ENTRY_URL],  # noqa: B006
    token: Token = "",
    as_json: AsJson = False,
) -> None:
    """Wait for the answer of an earlier submission and print it."""
    send_and_print(entry, token, "GET", f"/v1/jobs/{job_id}", None, as_json)
