"""Program ``verbena-control``: runs one control instance."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from verbenaplank.console.program import run_program
from verbenaplank.control.application import ControlInstance
from verbenaplank.settings.control import ControlSettings

application = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@application.command()
def run(
    settings_path: Annotated[Path, typer.Argument(help="Settings file, TOML.")],
) -> None:
    """Run one control instance until a signal stops it."""
    run_program(settings_path, ControlSettings, ControlInstance)


def main() -> None:
    """Parse the arguments and run the program."""
    application()
