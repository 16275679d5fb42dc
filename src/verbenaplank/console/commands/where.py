"""``verbena where``: prints where a request or a job would be placed now, and why."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated
from typing import Any

import typer

from verbenaplank.console.commands.submit import read_body
from verbenaplank.console.exit_code import ExitCode
from verbenaplank.console.options import DEFAULT_ENTRY_URL
from verbenaplank.console.options import AsJson
from verbenaplank.console.options import DeadlineMs
from verbenaplank.console.options import EntryUrls
from verbenaplank.console.options import RequestId
from verbenaplank.console.options import Token
from verbenaplank.console.options import Urgent
from verbenaplank.console.output import console
from verbenaplank.console.output import print_json
from verbenaplank.console.requests import send_or_exit
from verbenaplank.console.requests import with_options
from verbenaplank.identifiers.job_id import new_job_id

REFUSED = "refused"
STATEMENTS = {
    "admitted": "would be admitted",
    "known": "is known to the entry; a submission gets its response",
}


def where(
    file: Annotated[
        Path, typer.Argument(help="Job or request as JSON; - reads standard input.")
    ],
    job_id: RequestId = "",
    urgent: Urgent = False,
    deadline_ms: DeadlineMs = None,
    entry: EntryUrls = [DEFAULT_ENTRY_URL],  # noqa: B006
    token: Token = "",
    as_json: AsJson = False,
) -> None:
    """Print where a job or request would be placed now, without submitting it.

    The exit code is 0 if it would be placed, held or queued, and 6 if it would be
    refused.
    """
    body = with_options(read_body(file), job_id, urgent, deadline_ms)
    if "tasks" in body:
        body.setdefault("id", new_job_id())
    reply = send_or_exit(entry, token, "POST", "/v1/where", body, as_json)
    if as_json:
        print_json(reply.content)
    else:
        _print_explanation(reply.content)
    if reply.content["state"] == REFUSED:
        raise typer.Exit(ExitCode.WOULD_BE_REFUSED)


def _print_explanation(content: dict[str, Any]) -> None:
    _print(STATEMENTS.get(content["state"]) or _refusal_line(content["refusal"]))
    for group in content["tasks"]:
        _print_group(group, is_refused=content["state"] == REFUSED)


def _refusal_line(refusal: dict[str, Any]) -> str:
    lines = [f"would be refused ({refusal['kind']}): {refusal['detail']}"]
    for finding in refusal["findings"]:
        lines.append(f"  {finding['place']}: {finding['message']}")
    if refusal["retry_after_s"] is not None:
        lines.append(f"  try again after {refusal['retry_after_s']:.1f} s")
    return "\n".join(lines)


def _print_group(group: dict[str, Any], *, is_refused: bool) -> None:
    _print(_group_name(group) if is_refused else _group_line(group))
    for server in group["servers"]:
        _print(f"  {_server_line(server)}")
    for cause, count in group["not_listed"].items():
        _print(f"  {count} more: {_words(cause)}")


def _group_line(group: dict[str, Any]) -> str:
    name, state = _group_name(group), group["state"]
    if state == "placed":
        where_to = f"placed on {group['server']} (rack {group['rack'] or 'unnamed'})"
    elif state == "held":
        where_to = f"held for rack {group['rack']}, for {group['hold_ms']} ms at first"
    else:
        where_to = state
    room = f"the servers have room for {group['free_tasks']} such tasks now"
    return f"{name}: {where_to}: {group['reason']}; {room}"


def _group_name(group: dict[str, Any]) -> str:
    first, count = group["first_task"], group["count"]
    return f"task {first}" if count == 1 else f"tasks {first} to {first + count - 1}"


def _server_line(server: dict[str, Any]) -> str:
    locality = {True: "local", False: "remote", None: ""}[server["local"]]
    place = " ".join(
        text for text in (server["rack"], server["data_centre"], locality) if text
    )
    parts = [_words(server["excluded"])] if server["excluded"] else []
    parts += [
        f"{name} {server[f'expected_{name}_ms']} ms"
        for name in ("wait", "run", "end")
        if server[f"expected_{name}_ms"] is not None
    ]
    age_ms = server["report_age_ms"]
    parts.append("no report" if age_ms is None else f"report {age_ms} ms old")
    return f"{server['server']} ({place}): {', '.join(parts)}"


def _words(cause: str) -> str:
    return cause.replace("_", " ")


def _print(text: str) -> None:
    console.print(text, markup=False, highlight=False, soft_wrap=True)
