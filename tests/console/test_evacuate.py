"""``verbena evacuate`` against a real control instance."""

from __future__ import annotations

import asyncio
import hashlib
import json
from typing import TYPE_CHECKING

from typer.testing import CliRunner

from verbenaplank.console.application import application
from verbenaplank.console.exit_code import ExitCode
from verbenaplank.control.application import ControlInstance
from verbenaplank.settings.checker import check_settings
from verbenaplank.settings.control import ControlSettings

if TYPE_CHECKING:
    from pathlib import Path

    from click.testing import Result

TOKEN = "administrator"
DATA_CENTRE = "Vila Nova"
"""Has a space, which must be quoted in the path."""


def settings_in(folder: Path) -> ControlSettings:
    anywhere = {"host": "127.0.0.1", "port": 0}
    document = {
        "instance_id": "c1",
        "data_centre": DATA_CENTRE,
        "data_folder": str(folder),
        "http": anywhere,
        "rpc": anywhere,
        "peers": [{"instance_id": "c1", **anywhere}],
        "administration": {"token_sha256": hashlib.sha256(TOKEN.encode()).hexdigest()},
        "consensus": {"heartbeat_ms": 20.0, "election_timeout_ms": 150.0},
    }
    return check_settings(document, ControlSettings, "control.toml")


async def run(control: ControlInstance, *arguments: str) -> Result:
    variables = {
        "VERBENA_CONTROL": f"http://{control.http_address}",
        "VERBENA_TOKEN": TOKEN,
    }
    command = ["evacuate", *arguments]
    return await asyncio.to_thread(
        CliRunner().invoke, application, command, env=variables
    )


async def test_data_centre_is_evacuated_listed_and_returned(tmp_path: Path) -> None:
    async with ControlInstance(settings_in(tmp_path)) as control:
        async with asyncio.timeout(20.0):
            while (await run(control, "list")).exit_code:
                pass
        started = await run(control, "start", DATA_CENTRE, "--command-id", "c1")
        assert started.output == f"changed: evacuate {DATA_CENTRE} (revision 1)\n"
        again = await run(control, "start", DATA_CENTRE, "--json")
        assert json.loads(again.stdout) == {
            "verdict": "unchanged",
            "data_centre": DATA_CENTRE,
            "revision": 1,
        }
        assert (await run(control, "list")).stdout == f"{DATA_CENTRE}\n"
        listed = await run(control, "list", "--json")
        assert json.loads(listed.stdout) == {
            "revision": 1,
            "data_centres": [DATA_CENTRE],
        }
        unknown = await run(control, "start", "Vila")
        assert unknown.exit_code == ExitCode.NOT_RUN
        assert DATA_CENTRE in unknown.output
        malformed = await run(control, "start", " ")
        assert malformed.exit_code == ExitCode.USAGE
        reused = await run(control, "end", DATA_CENTRE, "--command-id", "c1")
        assert reused.exit_code == ExitCode.CONFLICT
        ended = await run(control, "end", DATA_CENTRE)
        assert "changed: end evacuation" in ended.output
        assert (await run(control, "list")).stdout == ""


async def test_unreachable_control_instance_is_told_by_the_exit_code(
    tmp_path: Path,
) -> None:
    """Guards against scripts that take an order that was not sent for carried out."""
    async with ControlInstance(settings_in(tmp_path)) as control:
        pass
    result = await run(control, "start", DATA_CENTRE)
    assert result.exit_code == ExitCode.NOT_RUN
