"""Program ``verbena``: the command line of callers and operators."""

from __future__ import annotations

import typer

from verbenaplank.console.commands import audit
from verbenaplank.console.commands import bench
from verbenaplank.console.commands import cancel
from verbenaplank.console.commands import config
from verbenaplank.console.commands import evacuate
from verbenaplank.console.commands import explain
from verbenaplank.console.commands import members
from verbenaplank.console.commands import request
from verbenaplank.console.commands import settings
from verbenaplank.console.commands import standalone
from verbenaplank.console.commands import status
from verbenaplank.console.commands import submit
from verbenaplank.console.commands import where

application = typer.Typer(
    add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False
)
application.command()(submit.submit)
application.command()(request.request)
application.command()(where.where)
application.command()(status.status)
application.command()(cancel.cancel)
application.command()(members.members)
application.command()(members.drain)
application.command()(members.undrain)
application.command()(audit.audit)
application.command()(explain.explain)
application.command()(standalone.standalone)
application.add_typer(bench.application, name="bench")
application.add_typer(config.application, name="config")
application.add_typer(evacuate.application, name="evacuate")
application.add_typer(settings.application, name="settings")


def main() -> None:
    """Run the command that the arguments name."""
    application()
