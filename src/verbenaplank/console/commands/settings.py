"""``verbena settings``: checks settings files."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated

import typer

from verbenaplank.console.exit_code import ExitCode
from verbenaplank.console.output import error_console
from verbenaplank.settings.agent import AgentSettings
from verbenaplank.settings.checker import load_settings
from verbenaplank.settings.control import ControlSettings
from verbenaplank.settings.entry import EntrySettings
from verbenaplank.settings.errors import SettingsError

application = typer.Typer(help="Check settings files.", no_args_is_help=True)

SettingsType = type[AgentSettings] | type[ControlSettings] | type[EntrySettings]


@application.command()
def check(
    files: Annotated[list[Path], typer.Argument(help="Settings files, TOML.")],
) -> None:
    """Print every fault in settings files, with its file, table and key."""
    has_faults = False
    for file in files:
        try:
            load_settings(file, settings_type_of(file))
            typer.echo(f"{file}: no faults")
        except SettingsError as error:
            has_faults = True
            error_console.print(str(error), markup=False)
    if has_faults:
        raise typer.Exit(ExitCode.USAGE)


def settings_type_of(file: Path) -> SettingsType:
    """Return the settings class that matches the top-level keys of a file.

    It is ``EntrySettings`` if the file cannot be read or parsed, or if no key shows
    that the file belongs to an agent or a control instance.
    """
    try:
        document = tomllib.loads(file.read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return EntrySettings
    if "backend_server" in document:
        return AgentSettings
    if "administration" in document or "data_folder" in document:
        return ControlSettings
    return EntrySettings
