"""Command-line options shared by several commands."""

from __future__ import annotations

from typing import Annotated

import typer

DEFAULT_ENTRY_URL = "http://127.0.0.1:8080"
DEFAULT_CONTROL_URL = "http://127.0.0.1:8090"

EntryUrls = Annotated[
    list[str],
    typer.Option(
        "--entry", envvar="VERBENA_ENTRY", help="URL of an entry; repeatable."
    ),
]
ControlUrls = Annotated[
    list[str],
    typer.Option(
        "--control",
        envvar="VERBENA_CONTROL",
        help="URL of a control instance; repeatable.",
    ),
]
Token = Annotated[
    str,
    typer.Option(envvar="VERBENA_TOKEN", help="Token of the team.", show_default=False),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON for scripts.")]
Urgent = Annotated[bool, typer.Option("--urgent", help="Run before routine work.")]
DeadlineMs = Annotated[
    int | None, typer.Option(min=1, help="Deadline for the answer, in milliseconds.")
]
RequestId = Annotated[
    str,
    typer.Option("--id", help="UUIDv7 of an earlier submission of the same content."),
]
CommandId = Annotated[
    str, typer.Option(help="Id of an earlier command to send again; a new id if empty.")
]
