"""Program ``verbena-agent``: the agent beside one backend server.

The arguments are parsed with argparse, because typer's parser takes 10 MB of memory
and the agent may use only 32 MB on a worker.
"""

from __future__ import annotations

from argparse import ArgumentParser
from pathlib import Path

from verbenaplank.agent.application import AgentInstance
from verbenaplank.console.program import run_program
from verbenaplank.settings.agent import AgentSettings


def main() -> None:
    """Run the agent beside one backend server until a signal stops it."""
    parser = ArgumentParser(prog="verbena-agent", description=main.__doc__)
    parser.add_argument("settings_path", type=Path, help="Settings file, TOML.")
    run_program(parser.parse_args().settings_path, AgentSettings, AgentInstance)
