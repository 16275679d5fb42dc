"""Command line of the stand-in backend server."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path  # noqa: TC003 - typer reads the annotations at run time
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any

import typer

from verbenaplank.standin.backend_server import DEFAULT_SLOTS
from verbenaplank.standin.backend_server import run_backend_server
from verbenaplank.standin.behaviour import Behaviour
from verbenaplank.standin.behaviour import FailureMode

if TYPE_CHECKING:
    from collections.abc import Coroutine

application = typer.Typer(add_completion=False)


@application.command()
def serve(
    port: Annotated[int, typer.Option(help="Port; 0 lets the system choose.")] = 0,
    speed: Annotated[float, typer.Option(help="Divisor of run times.")] = 1.0,
    slow_factor: Annotated[float, typer.Option(help="Factor on run times.")] = 1.0,
    slots: Annotated[int, typer.Option(help="Runs at the same time.")] = DEFAULT_SLOTS,
    failure: Annotated[
        FailureMode, typer.Option(help="How runs fail.")
    ] = FailureMode.NONE,
    server_id: Annotated[
        str, typer.Option(help="Name of the server in answers.")
    ] = "standin",
    stoppable: Annotated[bool, typer.Option(help="Serve POST /stop/{task}.")] = False,
    history: Annotated[
        Path | None,
        typer.Option(help="File that start and end events are appended to."),
    ] = None,
) -> None:
    """Serve runs on 127.0.0.1 until SIGTERM or SIGINT."""
    behaviour = Behaviour(speed=speed, slow_factor=slow_factor, failure=failure)
    serving = run_backend_server(server_id, port, slots, behaviour, stoppable, history)
    asyncio.run(_until_signal(serving))


async def _until_signal(serving: Coroutine[Any, Any, None]) -> None:
    task = asyncio.ensure_future(serving)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    await asyncio.gather(task, return_exceptions=True)
