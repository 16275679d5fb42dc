"""``verbena members``, ``drain`` and ``undrain``: lists and drains members."""

from __future__ import annotations

from typing import Annotated
from uuid import uuid4

import typer

from verbenaplank.console.options import DEFAULT_CONTROL_URL
from verbenaplank.console.options import AsJson
from verbenaplank.console.options import CommandId
from verbenaplank.console.options import ControlUrls
from verbenaplank.console.options import Token
from verbenaplank.console.output import print_json
from verbenaplank.console.output import print_table
from verbenaplank.console.requests import send_or_exit

MEMBERS_PATH = "/v1/members"

MemberId = Annotated[str, typer.Argument(help="Instance id of an agent.")]


def members(
    control: ControlUrls = [DEFAULT_CONTROL_URL],  # noqa: B006
    as_json: AsJson = False,
) -> None:
    """List the entries and agents that are members."""
    content = send_or_exit(control, "", "GET", MEMBERS_PATH, None, as_json).content
    if as_json:
        print_json(content)
        return
    ordered_drains = set(content["ordered_drains"])
    print_table(
        "members",
        ("member", "role", "data centre", "rack", "address", "slots", "state"),
        [
            (
                each["member_id"],
                each["role"],
                each["data_centre"],
                each["rack"],
                each["address"],
                each["slots"],
                _member_state(each["draining"], each["member_id"] in ordered_drains),
            )
            for each in content["members"]
        ],
    )


def drain(
    member_id: MemberId,
    command_id: CommandId = "",
    control: ControlUrls = [DEFAULT_CONTROL_URL],  # noqa: B006
    token: Token = "",
    as_json: AsJson = False,
) -> None:
    """Order an agent to refuse new work and finish what it has."""
    _send_drain_order(control, token, member_id, "drain", command_id, as_json)


def undrain(
    member_id: MemberId,
    command_id: CommandId = "",
    control: ControlUrls = [DEFAULT_CONTROL_URL],  # noqa: B006
    token: Token = "",
    as_json: AsJson = False,
) -> None:
    """Withdraw the order to drain an agent."""
    _send_drain_order(control, token, member_id, "undrain", command_id, as_json)


def _send_drain_order(
    urls: list[str],
    token: str,
    member_id: str,
    action: str,
    command_id: str,
    as_json: bool,
) -> None:
    body = {"command_id": command_id or str(uuid4())}
    path = f"{MEMBERS_PATH}/{member_id}/{action}"
    content = send_or_exit(urls, token, "POST", path, body, as_json).content
    if as_json:
        print_json(content)
        return
    typer.echo(f"{content['verdict']}: {action} {member_id}")


def _member_state(draining: bool, drain_ordered: bool) -> str:
    if draining:
        return "draining"
    return "ordered to drain" if drain_ordered else "serving"
