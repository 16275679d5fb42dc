from __future__ import annotations

import random

from crashes.crash_reports import crash_report
from verbenaplank.crashes.containment import FORGET_AFTER_S
from verbenaplank.crashes.containment import CrashContainment
from verbenaplank.crashes.containment import suspect_shares
from verbenaplank.protocol.crash import CrashedRun
from verbenaplank.protocol.crash import CrashEvidence

JOB_SHARES = {"booking": 0.25, "draw": 0.05, "result": 0.70}
TRIALS = 1_000
MAX_FALSE_SHARE = 0.05


def crash(
    containment: CrashContainment, number: int, workload: str, at_s: float
) -> None:
    """Record a crash whose only suspects are tasks of one job of a workload."""
    report = crash_report(
        f"job-{number}.0", f"job-{number}.1", incarnation=str(number), workload=workload
    )
    containment.record(report, at_s)


def confined_after(*crashes: tuple[float, str]) -> frozenset[str]:
    """Return the workloads confined half a second after the last of the crashes."""
    containment = CrashContainment()
    confined: frozenset[str] = frozenset()
    for number, (at_s, workload) in enumerate(crashes):
        containment.update(JOB_SHARES, at_s)
        crash(containment, number, workload, at_s)
        confined = containment.update(JOB_SHARES, at_s + 0.5)
    return confined


def test_workload_of_a_few_deadly_jobs_is_confined_at_the_third_crash() -> None:
    """A tenth of the jobs of one workload took down every backend server in seconds."""
    assert not confined_after((1.0, "booking"), (2.0, "booking"))
    assert confined_after(
        (1.0, "booking"), (2.0, "booking"), (2.6, "booking")
    ) == frozenset({"booking"})


def test_usual_workload_is_confined_once_it_is_met_more_often_than_it_runs() -> None:
    crashes = [(float(number), "result") for number in range(8)]
    assert confined_after(*crashes) == frozenset({"result"})


def test_crashes_at_one_moment_count_as_one() -> None:
    """The loss of a rack or of all backend servers says nothing of any workload."""
    crashes = [(1.0 + number / 1_000, "draw") for number in range(11)]
    containment = CrashContainment()
    for number, (at_s, workload) in enumerate(crashes):
        crash(containment, number, workload, at_s)
        containment.update(JOB_SHARES, at_s)
    assert not containment.update(JOB_SHARES, 2.0)


def test_crashes_that_hit_workloads_as_often_as_they_run_seldom_confine() -> None:
    """Machines that fail one after the other, three within the time to forget."""
    source = random.Random(1)
    names = list(JOB_SHARES)
    weights = list(JOB_SHARES.values())
    confined = 0
    for _ in range(TRIALS):
        drawn = source.choices(names, weights, k=3)
        confined += bool(confined_after(*zip((1.0, 2.0, 3.0), drawn, strict=True)))
    assert confined <= MAX_FALSE_SHARE * TRIALS


def test_workload_is_released_some_time_after_its_last_crash() -> None:
    containment = CrashContainment()
    for number in range(4):
        crash(containment, number, "booking", float(number))
        containment.update(JOB_SHARES, number + 0.5)
    assert containment.update(JOB_SHARES, 3.0 + FORGET_AFTER_S - 0.1)
    assert not containment.update(JOB_SHARES, 3.0 + FORGET_AFTER_S + 0.1)


def test_crash_of_a_confined_workload_is_no_evidence_for_or_against_others() -> None:
    """Two workloads with deadly jobs at the same time are both confined."""
    crashes = [(float(number), "draw") for number in range(3)]
    crashes += [
        (3.0 + number, "draw" if number % 2 else "booking") for number in range(8)
    ]
    assert confined_after(*crashes) == frozenset({"draw", "booking"})


def test_further_reports_of_a_crash_and_withdrawn_ones_change_nothing() -> None:
    containment = CrashContainment()
    for at_s in (1.0, 2.0, 3.0, 4.0):
        crash(containment, 1, "booking", at_s)
        withdrawn = crash_report(
            incarnation=f"cut-{at_s}",
            evidence=CrashEvidence.WITHDRAWN,
            workload="booking",
        )
        containment.record(withdrawn, at_s)
        assert not containment.update(JOB_SHARES, at_s + 0.5)


def test_tasks_of_a_job_share_its_blame_and_other_runs_have_none() -> None:
    runs = (
        CrashedRun(task="a.0", number=1, workload="booking", suspect=True),
        CrashedRun(task="a.1", number=1, workload="booking", suspect=True),
        CrashedRun(task="b.0", number=1, workload="result", suspect=True),
        CrashedRun(task="c.0", number=1, workload="draw"),
    )
    report = crash_report()
    report = type(report)(
        agent_id="agent",
        backend_server="server",
        incarnation="1",
        observer="o",
        revision=1,
        evidence=CrashEvidence.REFUSED,
        runs=runs,
    )
    assert suspect_shares(report) == {"booking": 0.5, "result": 0.5}


def test_report_of_a_slow_restart_is_not_taken_for_another_crash() -> None:
    """It comes after the evidence of the crash itself has been dropped."""
    containment = CrashContainment()
    for number in range(3):
        crash(containment, number, "booking", 0.0)
        containment.update(JOB_SHARES, 0.05)
    containment.update(JOB_SHARES, 0.5)
    containment.update(JOB_SHARES, FORGET_AFTER_S + 1.0)
    for number in range(3):
        at_s = FORGET_AFTER_S + 2.0 + number
        crash(containment, number, "booking", at_s)
        assert not containment.update(JOB_SHARES, at_s + 0.5)
