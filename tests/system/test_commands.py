"""The ``verbena`` commands against a fleet of real processes.

They guard the exit codes and the effects on which operators' scripts rely.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import subprocess
from typing import TYPE_CHECKING
from typing import Any

from demo.processes import SCRIPTS_FOLDER
from demo.settings import ADMINISTRATION_TOKEN
from demo.settings import CARE_TOKEN
from demo.settings import FIXTURES_TOKEN

from system.running import make_job
from system.running import wait_until
from verbenaplank.console.exit_code import ExitCode
from verbenaplank.identifiers.job_id import new_job_id

if TYPE_CHECKING:
    from pathlib import Path

    from system.running import RunningFleet

NEW_TEXT = "[services.draw]\nrun_time_ms = 50\n"


class CommandLine:
    """Runs ``verbena`` against the control instances and an entry of a fleet."""

    def __init__(self, fleet: RunningFleet) -> None:
        urls = fleet.fleet.control_urls.values()
        self._control = [part for url in urls for part in ("--control", url)]
        self._entry = ["--entry", *list(fleet.fleet.entry_urls.values())[:1]]

    def operate(self, *arguments: str, token: str = "") -> tuple[int, str]:
        extra = [*self._control, *(["--token", token] if token else [])]
        return _run([*arguments, *extra])

    def call(self, *arguments: str) -> tuple[int, str]:
        return _run([*arguments, *self._entry])

    def read(self, *arguments: str) -> Any:
        code, output = self.operate(*arguments, "--json")
        assert code == ExitCode.OK, output
        return json.loads(output)


def _run(arguments: list[str]) -> tuple[int, str]:
    command = [str(SCRIPTS_FOLDER / "verbena"), *arguments]
    ended = subprocess.run(command, capture_output=True, text=True, check=False)
    return ended.returncode, ended.stdout or ended.stderr


def test_section_is_shown_compared_changed_once_and_audited(
    fleet: RunningFleet, tmp_path: Path
) -> None:
    line = CommandLine(fleet)
    path = tmp_path / "fixtures.toml"
    path.write_text(NEW_TEXT)
    change = ("config", "apply", "--section", "fixtures", "--expect", "1", str(path))

    shown = line.operate("config", "show", "--section", "fixtures")
    compared = line.operate("config", "diff", "--section", "fixtures", str(path))
    foreign = line.operate(*change, token=CARE_TOKEN)
    first = line.operate(*change, "--command-id", "change-1", token=FIXTURES_TOKEN)
    resent = line.operate(*change, "--command-id", "change-1", token=FIXTURES_TOKEN)
    late = line.operate(*change, "--command-id", "change-2", token=FIXTURES_TOKEN)

    assert "services.draw" in shown[1]
    assert "+run_time_ms = 50" in compared[1]
    assert foreign[0] == ExitCode.NOT_RUN
    assert first == resent
    assert first[0] == ExitCode.OK
    assert late[0] == ExitCode.CONFLICT
    history = line.read("config", "history", "--section", "fixtures")
    assert [each["version"] for each in history["versions"]] == [1, 2]
    outcomes = [each["outcome"] for each in line.read("audit")["records"]]
    assert outcomes[-3:] == ["forbidden", "accepted", "conflict"]


def test_section_with_faults_is_rejected_and_not_applied(
    fleet: RunningFleet, tmp_path: Path
) -> None:
    line = CommandLine(fleet)
    path = tmp_path / "fixtures.toml"
    path.write_text("[services.draw]\nrun_time_ms = -1\nspeed = 2\n")
    change = ("config", "apply", "--section", "fixtures", "--expect", "1", str(path))

    code, output = line.operate(*change, token=FIXTURES_TOKEN)

    assert code == ExitCode.USAGE
    assert "[services.draw]: run_time_ms" in output
    assert "[services.draw]: speed" in output
    shown = line.read("config", "show", "--section", "fixtures")
    assert shown["version"] == 1


def test_administrator_assigns_a_new_section_to_a_team(
    fleet: RunningFleet, tmp_path: Path
) -> None:
    line = CommandLine(fleet)
    digest = hashlib.sha256(b"enrolment-token").hexdigest()
    path = tmp_path / "enrolment.toml"
    path.write_text("[services.seat-check]\nidempotent = true\n")
    assign = ("config", "assign", "--section", "enrolment", "--team", "enrolment")

    assigned = line.operate(
        *assign, "--token-sha256", digest, token=ADMINISTRATION_TOKEN
    )
    version = line.read("config", "show", "--section", "enrolment")["version"]
    expect = ("--section", "enrolment", "--expect", str(version))
    applied = line.operate(
        "config", "apply", *expect, str(path), token="enrolment-token"
    )

    assert assigned[0] == ExitCode.OK, assigned[1]
    assert applied[0] == ExitCode.OK, applied[1]


def test_agent_is_ordered_to_drain_and_the_order_is_withdrawn(
    fleet: RunningFleet,
) -> None:
    line = CommandLine(fleet)

    drained = line.operate("drain", "agent-1", token=CARE_TOKEN)
    ordered = line.read("members")["ordered_drains"]
    restored = line.operate("undrain", "agent-1", token=CARE_TOKEN)

    assert drained[0] == ExitCode.OK, drained[1]
    assert ordered == ["agent-1"]
    assert restored[0] == ExitCode.OK, restored[1]
    assert line.read("members")["ordered_drains"] == []


def test_request_is_answered_again_under_its_id_and_refused_with_other_content(
    fleet: RunningFleet,
) -> None:
    line = CommandLine(fleet)
    job_id = new_job_id()
    request = ("request", "draw", "fixtures", '{"run_time_ms": 1}', "--id", job_id)
    other = ("request", "draw", "fixtures", '{"run_time_ms": 2}', "--id", job_id)

    first = line.call(*request)
    again = line.call(*request)
    status = line.call("status", job_id)
    reused = line.call(*other)
    cancelled = line.call("cancel", job_id)

    assert first[0] == ExitCode.OK, first[1]
    assert again == first
    assert status == first
    assert reused[0] == ExitCode.CONFLICT
    assert cancelled[0] == ExitCode.CONFLICT


async def test_cancelled_job_starts_no_further_tasks_and_answers_its_caller(
    fleet: RunningFleet,
) -> None:
    line = CommandLine(fleet)
    job = make_job(new_job_id(), 350, 1_000)
    submission = asyncio.create_task(fleet.submit(fleet.entries[0], job))
    await wait_until(lambda: bool(fleet.started_tasks(job["id"])))

    code, output = await asyncio.to_thread(line.call, "cancel", job["id"])
    answer = await submission

    assert code == ExitCode.OK, output
    assert answer.content["kind"] == "cancelled"
    assert answer.content["run"] in {"ran", "may_have_run"}
    assert len(fleet.started_tasks(job["id"])) < len(job["tasks"])
