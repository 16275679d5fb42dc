from __future__ import annotations

import asyncio

from verbenaplank.agent.active_run import ActiveRun
from verbenaplank.agent.crash_watch import CrashWatch
from verbenaplank.agent.crash_watch import WatchedServer
from verbenaplank.agent.lease_protocol import EndKind
from verbenaplank.agent.lease_protocol import RunId
from verbenaplank.protocol.crash import CrashEvidence
from verbenaplank.protocol.crash import CrashReport

NOW_S = 100.0
SERVER = WatchedServer(agent_id="agent", backend_server="server", incarnation="1")


def make_watch() -> tuple[CrashWatch, list[CrashReport]]:
    reports: list[CrashReport] = []
    return CrashWatch(SERVER, lambda: NOW_S, reports.append), reports


def run(task: str, started_s: float | None = NOW_S - 1.0) -> ActiveRun:
    """Return an active run; its start is unanswered if it has no start time."""
    end: asyncio.Future[EndKind] = asyncio.get_running_loop().create_future()
    active = ActiveRun(RunId(task=task, number=1), end, "route")
    if started_s is not None:
        active.start_acknowledged = True
        active.started_s = started_s
    return active


def suspects(report: CrashReport) -> list[str]:
    return [crashed.task for crashed in report.runs if crashed.suspect]


async def test_refused_connections_are_reported_once_with_the_unanswered_start() -> (
    None
):
    watch, reports = make_watch()
    runs = [run("old"), run("new", NOW_S - 0.01), run("starting", None)]
    watch.on_silent(runs, refused=False)
    assert not reports
    watch.on_silent(runs, refused=True)
    watch.on_silent(runs, refused=True)
    (report,) = reports
    assert report.evidence is CrashEvidence.REFUSED
    assert [crashed.task for crashed in report.runs] == ["old", "new", "starting"]
    assert suspects(report) == ["starting"]


async def test_without_unanswered_start_the_latest_ones_are_suspects() -> None:
    watch, reports = make_watch()
    watch.on_silent([run("old"), run("new", NOW_S - 0.01)], refused=True)
    assert suspects(reports[0]) == ["new"]


async def test_without_recent_start_all_are_suspects() -> None:
    watch, reports = make_watch()
    watch.on_silent([run("a"), run("b")], refused=True)
    assert suspects(reports[0]) == ["a", "b"]


async def test_report_is_withdrawn_when_the_same_incarnation_answers() -> None:
    """A cut must not count as a crash of the tasks that it hit."""
    watch, reports = make_watch()
    watch.on_silent([run("a")], refused=True)
    watch.on_answer()
    watch.on_answer()
    assert [report.evidence for report in reports] == [
        CrashEvidence.REFUSED,
        CrashEvidence.WITHDRAWN,
    ]


async def test_silent_server_counts_as_crashed_only_once_it_is_replaced() -> None:
    watch, reports = make_watch()
    lost = run("a")
    watch.on_silent([lost], refused=False)
    lost.end.set_result(EndKind.LEASE_EXPIRED)
    assert not reports
    watch.on_replaced([], planned=False)
    (report,) = reports
    assert report.evidence is CrashEvidence.RESTARTED
    assert [crashed.task for crashed in report.runs] == ["a"]


async def test_planned_end_is_no_crash() -> None:
    watch, reports = make_watch()
    watch.on_replaced([run("a")], planned=True)
    assert not reports


async def test_run_that_had_ended_is_not_part_of_the_crash() -> None:
    watch, reports = make_watch()
    done = run("a")
    done.end.set_result(EndKind.DONE)
    watch.on_silent([done], refused=True)
    watch.on_replaced([done], planned=False)
    assert not reports


async def test_run_that_started_between_silence_and_refusal_is_part_of_the_crash() -> (
    None
):
    """The reply to a poll was lost just before the task that crashed the server."""
    watch, reports = make_watch()
    old, deadly = run("old"), run("deadly", None)
    watch.on_silent([old], refused=False)
    watch.on_silent([old, deadly], refused=True)
    assert [crashed.task for crashed in reports[0].runs] == ["old", "deadly"]
    assert "deadly" in suspects(reports[0])
