"""``verbena evacuate``: evacuates data centres, ends that, and lists them."""

from __future__ import annotations

from typing import Annotated
from urllib.parse import quote
from uuid import uuid4

import typer

from verbenaplank.console.options import DEFAULT_CONTROL_URL
from verbenaplank.console.options import AsJson
from verbenaplank.console.options import CommandId
from verbenaplank.console.options import ControlUrls
from verbenaplank.console.options import Token
from verbenaplank.console.output import print_json
from verbenaplank.console.requests import send_or_exit

EVACUATIONS_PATH = "/v1/evacuations"

application = typer.Typer(
    help="Evacuate a data centre: nothing more starts there.", no_args_is_help=True
)

DataCentre = Annotated[str, typer.Argument(help="Name of a data centre.")]


@application.command()
def start(
    data_centre: DataCentre,
    command_id: CommandId = "",
    control: ControlUrls = [DEFAULT_CONTROL_URL],  # noqa: B006
    token: Token = "",
    as_json: AsJson = False,
) -> None:
    """Order that nothing more starts in a data centre; running tasks end normally."""
    _send_order("POST", data_centre, command_id, control, token, as_json)


@application.command()
def end(
    data_centre: DataCentre,
    command_id: CommandId = "",
    control: ControlUrls = [DEFAULT_CONTROL_URL],  # noqa: B006
    token: Token = "",
    as_json: AsJson = False,
) -> None:
    """End the evacuation of a data centre, so that tasks start there again."""
    _send_order("DELETE", data_centre, command_id, control, token, as_json)


@application.command(name="list")
def list_evacuations(
    control: ControlUrls = [DEFAULT_CONTROL_URL],  # noqa: B006
    as_json: AsJson = False,
) -> None:
    """Print the evacuated data centres, one a line."""
    content = send_or_exit(control, "", "GET", EVACUATIONS_PATH, None, as_json).content
    if as_json:
        print_json(content)
        return
    for data_centre in content["data_centres"]:
        typer.echo(data_centre)


def _send_order(
    method: str,
    data_centre: str,
    command_id: str,
    urls: list[str],
    token: str,
    as_json: bool,
) -> None:
    body = {"command_id": command_id or str(uuid4())}
    path = f"{EVACUATIONS_PATH}/{quote(data_centre, safe='')}"
    content = send_or_exit(urls, token, method, path, body, as_json).content
    if as_json:
        print_json(content)
        return
    action = "evacuate" if method == "POST" else "end evacuation of"
    revision = content["revision"]
    typer.echo(f"{content['verdict']}: {action} {data_centre} (revision {revision})")
