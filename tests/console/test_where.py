"""``verbena where`` against a standalone system."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from typer.testing import CliRunner

from verbenaplank.console.application import application
from verbenaplank.console.exit_code import ExitCode
from verbenaplank.standalone.application import StandaloneInstance
from verbenaplank.standalone.application import StandaloneSettings

if TYPE_CHECKING:
    from pathlib import Path

    from click.testing import Result

SETTINGS = StandaloneSettings(http_port=0, control_port=0)
JOB = {"service": "echo", "team": "standalone", "tasks": [{"payload": {}}] * 5}
REQUEST = {"service": "echo", "team": "standalone", "payload": {}}


async def test_query_is_answered_with_servers_and_exit_codes(tmp_path: Path) -> None:
    """Guards the output and the exit codes on which operators' scripts rely."""
    path = tmp_path / "body.json"

    async def run(body: object, *options: str) -> Result:
        path.write_text(json.dumps(body))
        command = ["where", str(path), "--entry", url, *options]
        return await asyncio.to_thread(CliRunner().invoke, application, command)

    async with StandaloneInstance(SETTINGS) as system:
        url = f"http://{system.entry.http_address}"
        async with asyncio.timeout(20.0):
            while "agent-2" not in (await run(REQUEST)).output:
                pass
        placed = await run(JOB)
        assert placed.exit_code == ExitCode.OK
        assert "would be admitted" in placed.output
        assert "tasks 0 to 3: placed on agent-" in placed.output
        assert "task 4: placed on agent-" in placed.output
        group = json.loads((await run(REQUEST, "--json")).stdout)["tasks"][0]
        assert (group["state"], group["count"]) == ("placed", 1)
        assert group["server"] in {server["server"] for server in group["servers"]}
        refused = await run({**JOB, "needs": {"cores": 1_000}})
        assert refused.exit_code == ExitCode.WOULD_BE_REFUSED
        assert "would be refused (impossible_needs)" in refused.output
        assert "too small" in refused.output
        malformed = await run({**JOB, "priority": "soon"})
        assert malformed.exit_code == ExitCode.USAGE
        assert "priority" in malformed.output
    assert (await run(JOB)).exit_code == ExitCode.NOT_RUN
