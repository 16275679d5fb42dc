"""Program ``verbena-agent``: the agent beside one backend server."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from verbenaplank.agent.application import AgentInstance
from verbenaplank.console.program import run_program
from verbenaplank.settings.agent import AgentSettings

application = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@application.command()
def run(
    settings_path: Annotated[Path, typer.Argument(help="Settings file, TOML.")],
) -> None:
    """Run the agent beside one backend server until a signal stops it."""
    run_program(settings_path, AgentSettings, AgentInstance)


def main() -> None:
    """Run the program."""
    application()
