"""Program ``verbena-entry``: runs one entry instance."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from verbenaplank.console.program import run_program
from verbenaplank.observability.entry_metrics import open_entry_with_metrics
from verbenaplank.settings.entry import EntrySettings

application = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@application.command()
def run(
    settings_path: Annotated[Path, typer.Argument(help="Settings file, TOML.")],
) -> None:
    """Run one entry instance until a signal stops it."""
    run_program(settings_path, EntrySettings, open_entry_with_metrics)


def main() -> None:
    """Parse the arguments and run the program."""
    application()
