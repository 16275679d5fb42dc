"""``verbena config``: reads and changes sections of the configuration."""

from __future__ import annotations

import difflib
import sys
import tomllib
from pathlib import Path
from typing import Annotated
from typing import Any
from uuid import uuid4

import typer

from verbenaplank.console.exit_code import ExitCode
from verbenaplank.console.options import DEFAULT_CONTROL_URL
from verbenaplank.console.options import AsJson
from verbenaplank.console.options import CommandId
from verbenaplank.console.options import ControlUrls
from verbenaplank.console.options import Token
from verbenaplank.console.output import error_console
from verbenaplank.console.output import format_local_time
from verbenaplank.console.output import print_json
from verbenaplank.console.output import print_table
from verbenaplank.console.requests import send_or_exit

SECTIONS_PATH = "/v1/configuration/sections"
OWNERS_PATH = "/v1/configuration/owners"
STANDARD_INPUT = Path("-")

application = typer.Typer(
    help="Read and change sections of the configuration.", no_args_is_help=True
)

SectionName = Annotated[str, typer.Option("--section", help="Name of the section.")]
Expect = Annotated[
    int, typer.Option(help="Version of the section that the change is based on.")
]


@application.command()
def show(
    section: SectionName = "",
    control: ControlUrls = [DEFAULT_CONTROL_URL],  # noqa: B006
    as_json: AsJson = False,
) -> None:
    """Print a list of the sections, or the text of one."""
    if section:
        content = _fetch_content(control, f"{SECTIONS_PATH}/{section}", as_json)
        _print_section(content, as_json)
        return
    content = _fetch_content(control, "/v1/configuration", as_json)
    if as_json:
        print_json(content)
        return
    print_table(
        f"configuration, version {content['version']}",
        ("section", "team", "version", "grants", "lines"),
        [
            (
                each["name"],
                each["team"],
                each["version"],
                ", ".join(each["grants"]),
                len(each["text"].splitlines()),
            )
            for each in content["sections"]
        ],
    )


@application.command()
def diff(
    section: SectionName,
    file: Annotated[Path, typer.Argument(help="New text; - reads standard input.")],
    control: ControlUrls = [DEFAULT_CONTROL_URL],  # noqa: B006
) -> None:
    """Print the differences between the current text of a section and a file."""
    content = _fetch_content(control, f"{SECTIONS_PATH}/{section}", as_json=False)
    new = _read_text(file)
    lines = difflib.unified_diff(
        content["text"].splitlines(),
        new.splitlines(),
        f"{section} version {content['version']}",
        str(file),
        lineterm="",
    )
    for line in lines:
        typer.echo(line)


@application.command()
def apply(
    section: SectionName,
    expect: Expect,
    file: Annotated[Path, typer.Argument(help="New text; - reads standard input.")],
    command_id: CommandId = "",
    control: ControlUrls = [DEFAULT_CONTROL_URL],  # noqa: B006
    token: Token = "",
    as_json: AsJson = False,
) -> None:
    """Replace the text of a section if its version is the expected one."""
    text = _read_text(file)
    _check_syntax(file, text)
    body = {"text": text, "expected_version": expect}
    _send_change(
        control, token, "PUT", f"{SECTIONS_PATH}/{section}", body, command_id, as_json
    )


@application.command()
def remove(
    section: SectionName,
    expect: Expect,
    command_id: CommandId = "",
    control: ControlUrls = [DEFAULT_CONTROL_URL],  # noqa: B006
    token: Token = "",
    as_json: AsJson = False,
) -> None:
    """Remove a section if its version is the expected one."""
    path = f"{SECTIONS_PATH}/{section}"
    body = {"expected_version": expect}
    _send_change(control, token, "DELETE", path, body, command_id, as_json)


@application.command()
def assign(
    section: SectionName,
    team: Annotated[str, typer.Option(help="Team that is to own the section.")],
    token_sha256: Annotated[
        str, typer.Option(help="SHA-256 of the team's operator token.")
    ] = "",
    grant: Annotated[
        list[str],
        typer.Option(help="Permission to grant: quotas or drains; repeatable."),
    ] = [],  # noqa: B006
    command_id: CommandId = "",
    control: ControlUrls = [DEFAULT_CONTROL_URL],  # noqa: B006
    token: Token = "",
    as_json: AsJson = False,
) -> None:
    """Assign a section to a team, creating it if needed; for administrators."""
    body = {"team": team, "token_sha256": token_sha256, "grants": grant}
    _send_change(
        control, token, "PUT", f"{OWNERS_PATH}/{section}", body, command_id, as_json
    )


@application.command()
def history(
    section: SectionName,
    control: ControlUrls = [DEFAULT_CONTROL_URL],  # noqa: B006
    as_json: AsJson = False,
) -> None:
    """Print the stored versions of a section."""
    content = _fetch_content(control, f"{SECTIONS_PATH}/{section}/history", as_json)
    if as_json:
        print_json(content)
        return
    print_table(
        f"section {section}, version {content['version']}",
        ("version", "time", "by", "command id"),
        [
            (
                each["version"],
                format_local_time(each["at_ms"]),
                each["actor"],
                each["command_id"],
            )
            for each in content["versions"]
        ],
    )


@application.command()
def status(
    control: ControlUrls = [DEFAULT_CONTROL_URL],  # noqa: B006
    as_json: AsJson = False,
) -> None:
    """Print the members on which the newest configuration is not in force yet."""
    content = _fetch_content(control, "/v1/configuration/status", as_json)
    if as_json:
        print_json(content)
        return
    if content["in_force_everywhere"]:
        typer.echo(f"version {content['version']} is in force everywhere")
        return
    print_table(
        f"not yet on version {content['version']}",
        ("member", "role", "data centre", "version", "heard ms ago"),
        [
            (
                each["member_id"],
                each["role"],
                each["data_centre"],
                each["version"],
                each["renewed_ago_ms"],
            )
            for each in content["behind"]
        ],
    )


def _fetch_content(urls: list[str], path: str, as_json: bool) -> Any:
    return send_or_exit(urls, "", "GET", path, None, as_json).content


def _send_change(
    urls: list[str],
    token: str,
    method: str,
    path: str,
    body: dict[str, Any],
    command_id: str,
    as_json: bool,
) -> None:
    body["command_id"] = command_id or str(uuid4())
    if not as_json:
        error_console.print(f"command id {body['command_id']}", markup=False)
    content = send_or_exit(urls, token, method, path, body, as_json).content
    if as_json:
        print_json(content)
        return
    typer.echo(
        f"{content['verdict']}: section {content['section']} "
        f"version {content['section_version']}, "
        f"document version {content['document_version']}"
    )


def _print_section(content: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print_json(content)
        return
    error_console.print(
        f"section {content['name']}, team {content['team']}, "
        f"version {content['version']}",
        markup=False,
    )
    typer.echo(content["text"], nl=not content["text"].endswith("\n"))


def _read_text(file: Path) -> str:
    try:
        return sys.stdin.read() if file == STANDARD_INPUT else file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        error_console.print(f"{file}: {error}", markup=False)
        raise typer.Exit(ExitCode.USAGE) from error


def _check_syntax(file: Path, text: str) -> None:
    try:
        tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        error_console.print(f"{file}: {error}", markup=False)
        error_console.print("Nothing was changed.")
        raise typer.Exit(ExitCode.USAGE) from error
