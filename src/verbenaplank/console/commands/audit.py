"""``verbena audit``: prints the audit trail."""

from __future__ import annotations

from typing import Annotated

import typer

from verbenaplank.console.exit_code import ExitCode
from verbenaplank.console.options import DEFAULT_CONTROL_URL
from verbenaplank.console.options import AsJson
from verbenaplank.console.options import ControlUrls
from verbenaplank.console.output import error_console
from verbenaplank.console.output import format_local_time
from verbenaplank.console.output import print_json
from verbenaplank.console.output import print_table
from verbenaplank.console.requests import send_or_exit

DEFAULT_LIMIT = 50


def audit(
    after: Annotated[
        int, typer.Option(min=0, help="Print the records after this sequence number.")
    ] = 0,
    limit: Annotated[
        int, typer.Option(min=1, help="Maximum number of records.")
    ] = DEFAULT_LIMIT,
    control: ControlUrls = [DEFAULT_CONTROL_URL],  # noqa: B006
    as_json: AsJson = False,
) -> None:
    """Print who requested which change, when, and its outcome."""
    path = f"/v1/audit?after={after}&limit={limit}"
    content = send_or_exit(control, "", "GET", path, None, as_json).content
    if as_json:
        print_json(content)
    else:
        _print_records(content["records"])
    if not content["verified"]:
        error_console.print(
            "The digests of the audit trail do not form an unbroken chain."
        )
        raise typer.Exit(ExitCode.FAILED)


def _print_records(records: list[dict[str, str]]) -> None:
    columns = ("sequence", "actor", "command_id", "action", "subject", "version")
    print_table(
        "audit trail",
        ("time", *columns, "outcome", "detail"),
        [
            (
                format_local_time(int(each["at_ms"])),
                *(each[column] for column in columns),
                each["outcome"],
                each["detail"],
            )
            for each in records
        ],
    )
