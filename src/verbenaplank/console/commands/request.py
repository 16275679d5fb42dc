"""``verbena request``: sends a single request and prints its answer."""

from __future__ import annotations

import json
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


def request(
    service: Annotated[str, typer.Argument(help="Service to call.")],
    team: Annotated[str, typer.Argument(help="Team that sends the request.")],
    payload: Annotated[str, typer.Argument(help="Payload as JSON text.")] = "{}",
    idempotent: Annotated[
        bool, typer.Option(help="Whether the request may run more than once.")
    ] = False,
    job_id: RequestId = "",
    urgent: Urgent = False,
    deadline_ms: DeadlineMs = None,
    entry: EntryUrls = [DEFAULT_ENTRY_URL],  # noqa: B006
    token: Token = "",
    as_json: AsJson = False,
) -> None:
    """Send a single request and print its answer."""
    content: dict[str, Any] = {
        "service": service,
        "team": team,
        "payload": _parse_payload(payload),
        "idempotent": idempotent,
    }
    body = with_options(content, job_id, urgent, deadline_ms)
    send_and_print(entry, token, "POST", "/v1/requests", body, as_json)


def _parse_payload(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError as error:
        error_console.print(f"PAYLOAD: {error}", markup=False)
        raise typer.Exit(ExitCode.USAGE) from error
