"""Functions with which commands send requests and print the answers."""

from __future__ import annotations

import json
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import typer

from verbenaplank.console.client import Client
from verbenaplank.console.client import Reply
from verbenaplank.console.client import UnreachableError
from verbenaplank.console.output import MILLISECONDS_PER_SECOND
from verbenaplank.console.output import console
from verbenaplank.console.output import error_console
from verbenaplank.console.output import exit_unreachable
from verbenaplank.console.output import exit_with_problem
from verbenaplank.console.output import print_json

MAX_PRINTED_RESULTS = 10


def with_options(
    content: Mapping[str, Any], job_id: str, urgent: bool, deadline_ms: int | None
) -> dict[str, Any]:
    """Return the content of a request with the values of the options added."""
    body = dict(content)
    if job_id:
        body["id"] = job_id
    if urgent:
        body["priority"] = "urgent"
    if deadline_ms is not None:
        body["deadline_ms"] = deadline_ms
    return body


def send_or_exit(
    urls: Sequence[str],
    token: str,
    method: str,
    path: str,
    body: Mapping[str, object] | None,
    as_json: bool,
) -> Reply:
    """Send one request and return its answer, or print the failure and exit.

    Raises
    ------
    typer.Exit
        If no instance answered, or the answer is a refusal or a failure.
    """
    with Client(urls, token) as client:
        try:
            reply = client.send(method, path, body)
        except UnreachableError as error:
            exit_unreachable(error)
    if not reply.succeeded:
        exit_with_problem(reply, as_json)
    return reply


def send_and_print(
    urls: Sequence[str],
    token: str,
    method: str,
    path: str,
    body: Mapping[str, object] | None,
    as_json: bool,
) -> None:
    """Send one request to an entry and print its answer.

    Raises
    ------
    typer.Exit
        If no entry answered, or the answer is a refusal or a failure.
    """
    reply = send_or_exit(urls, token, method, path, body, as_json)
    if as_json:
        print_json(reply.content)
        return
    _print_answer(reply)


def _print_answer(reply: Reply) -> None:
    results = reply.content.get("results")
    if results is None:
        typer.echo(json.dumps(reply.content, ensure_ascii=False))
        return
    for index, result in enumerate(results[:MAX_PRINTED_RESULTS]):
        console.print(
            f"{index:>4}  {json.dumps(result, ensure_ascii=False)}", markup=False
        )
    if len(results) > MAX_PRINTED_RESULTS:
        error_console.print(
            f"… {len(results) - MAX_PRINTED_RESULTS} more; --json prints all"
        )
    duration_ms = reply.duration_s * MILLISECONDS_PER_SECOND
    error_console.print(f"complete: {len(results)} results in {duration_ms:.0f} ms")
