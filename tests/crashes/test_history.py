from __future__ import annotations

from crashes.crash_reports import crash_report
from verbenaplank.crashes.history import MAX_REPORTS
from verbenaplank.crashes.history import MAX_RUNS
from verbenaplank.crashes.history import RETENTION_S
from verbenaplank.crashes.history import CrashCount
from verbenaplank.crashes.history import CrashHistory
from verbenaplank.protocol.crash import CrashEvidence


def test_crashes_are_counted_by_incarnation_and_not_by_report() -> None:
    """Several processes tell of one crash, and more than once."""
    history = CrashHistory()
    assert history.merge(crash_report("a", evidence=CrashEvidence.REFUSED), 0.0)
    assert not history.merge(crash_report("a", evidence=CrashEvidence.REFUSED), 1.0)
    assert history.merge(crash_report("a", revision=2), 2.0)
    assert history.merge(crash_report("a", agent_id="successor"), 3.0)
    assert history.count("a") == CrashCount(total=1, as_suspect=1)

    history.merge(crash_report("a", incarnation="2", suspect=False), 4.0)
    assert history.count("a") == CrashCount(total=2, as_suspect=1)
    assert history.count("b") == CrashCount()


def test_withdrawn_report_does_not_count() -> None:
    """A backend server that was cut off answers again: it has not crashed."""
    history = CrashHistory()
    history.merge(crash_report("a", evidence=CrashEvidence.REFUSED), 0.0)
    withdrawn = crash_report("a", revision=2, evidence=CrashEvidence.WITHDRAWN)
    assert history.merge(withdrawn, 1.0)
    assert history.count("a") == CrashCount()
    assert not history.merge(crash_report("a", evidence=CrashEvidence.REFUSED), 2.0)
    assert history.count("a") == CrashCount()


def test_reports_are_forgotten_after_their_retention_and_beyond_their_limit() -> None:
    history = CrashHistory()
    history.merge(crash_report("old", incarnation="0"), 0.0)
    history.merge(crash_report("new", incarnation="1"), RETENTION_S)
    assert history.count("old") == CrashCount()
    for number in range(MAX_REPORTS):
        history.merge(crash_report("x", incarnation=f"x{number}"), RETENTION_S + 1)
    assert len(list(history)) == MAX_REPORTS
    assert history.count("new") == CrashCount()


def test_runs_of_all_reports_are_limited() -> None:
    history = CrashHistory()
    for number in range(MAX_RUNS // 100 + 1):
        tasks = [f"{number}-{index}" for index in range(100)]
        history.merge(crash_report(*tasks, incarnation=str(number)), 0.0)
    assert sum(len(report.runs) for report in history) == MAX_RUNS
    assert history.count("0-0") == CrashCount()
    assert history.count("1-0").total == 1
