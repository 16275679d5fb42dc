"""``verbena standalone``: runs all programs in one event loop."""

from __future__ import annotations

import asyncio
from typing import Annotated

import typer

from verbenaplank.console.output import error_console
from verbenaplank.console.running import run_until_stopped
from verbenaplank.observability.logs import configure_logging

LOG_LEVEL = "WARNING"


def standalone(
    http_port: Annotated[int, typer.Option(help="Port for callers.")] = 8080,
    control_port: Annotated[int, typer.Option(help="Port for operators.")] = 8090,
    backend_servers: Annotated[
        int, typer.Option(min=1, help="Number of stand-in backend servers.")
    ] = 2,
    data_folder: Annotated[
        str, typer.Option(help="Folder for the state; temporary if empty.")
    ] = "",
) -> None:
    """Run control, entry, agents and stand-in backend servers in one process."""
    from verbenaplank.standalone.application import StandaloneInstance
    from verbenaplank.standalone.application import StandaloneSettings

    settings = StandaloneSettings(
        http_port=http_port,
        control_port=control_port,
        backend_servers=backend_servers,
        data_folder=data_folder,
    )
    configure_logging(settings.instance_id, settings.data_centre, LOG_LEVEL)
    error_console.print(
        f"callers: http://127.0.0.1:{http_port}  "
        f"operators: http://127.0.0.1:{control_port}\n"
        "service echo, team standalone, operator token standalone; "
        "Ctrl-C stops it",
        markup=False,
    )
    asyncio.run(run_until_stopped(StandaloneInstance(settings)))
