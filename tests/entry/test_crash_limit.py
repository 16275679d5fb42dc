from __future__ import annotations

from typing import TYPE_CHECKING

from crashes.crash_reports import crash_report
from entry.driver import Driver
from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.failure import RunState
from verbenaplank.protocol import work
from verbenaplank.protocol.crash import CrashEvidence

if TYPE_CHECKING:
    from verbenaplank.protocol.crash import CrashReport

LOST = work.TaskOutcome.CONNECTION_LOST
AGENTS = tuple(f"agent-{number}" for number in range(8))
TASKS = ("job.0.0.0", "job.0.0.1")
EXCLUSIVE = {
    "claimed": False,
    "exclusive": True,
    "max_runs": 4,
    "deadline_s": 600.0,
    "task_names": TASKS[:1],
}


def crash_under(driver: Driver, index: int, **changes: object) -> CrashReport:
    """Crash the backend server of a dispatch, and return the agent's report."""
    agent_id, dispatch = driver.dispatches[index]
    report = crash_report(
        TASKS[dispatch.task_index],
        agent_id=agent_id,
        backend_server=agent_id,
        incarnation=str(index),
        **changes,  # type: ignore[arg-type]
    )
    driver.receive(agent_id, work.FromAgent(crashes=(report,)))
    driver.advance(1.2)
    driver.finish(index, LOST)
    return report


def test_task_that_crashes_each_backend_server_is_given_up() -> None:
    """Such a task took down eight of eight backend servers, one after the other."""
    driver = Driver(*AGENTS)
    driver.submit(**EXCLUSIVE)
    for index in range(len(AGENTS)):
        if driver.failed:
            break
        crash_under(driver, index)
    assert len(driver.dispatches) == 2
    assert driver.failed["job"].kind is FailureKind.OUTCOME_UNKNOWN


def test_task_beside_crashes_of_others_is_given_up_after_four() -> None:
    """It may be the cause nevertheless, if it crashes servers late in its run."""
    driver = Driver(*AGENTS)
    driver.submit(**EXCLUSIVE)
    for index in range(len(AGENTS)):
        if driver.failed:
            break
        crash_under(driver, index, suspect=False)
    assert len(driver.dispatches) == 4


def test_resubmission_to_another_entry_keeps_the_count() -> None:
    """The first entry is killed; the next one learns the crashes from any agent."""
    first = Driver(*AGENTS)
    first.submit(**EXCLUSIVE)
    reports = (crash_under(first, 0), crash_under(first, 1))

    second = Driver(*AGENTS)
    second.receive(AGENTS[5], work.FromAgent(crashes=reports))
    second.submit(**EXCLUSIVE)
    assert not second.dispatches
    assert second.failed["job"].kind is FailureKind.OUTCOME_UNKNOWN


def test_report_that_arrives_late_stops_the_other_tasks_of_the_job() -> None:
    """A third entry is still running the job when it learns of the second crash."""
    first = Driver(*AGENTS)
    first.submit(**EXCLUSIVE)
    reports = (crash_under(first, 0), crash_under(first, 1))

    other = Driver(*AGENTS)
    other.submit(count=2, **(EXCLUSIVE | {"task_names": TASKS}))
    other.finish(0)
    other.receive(AGENTS[5], work.FromAgent(crashes=reports))
    assert len(other.dispatches) == 2
    assert len(other.revokes) == 1


def test_runs_lost_in_cuts_do_not_count() -> None:
    """Leases expire in a cut as after a crash, but the task is sound."""
    driver = Driver(*AGENTS)
    driver.submit(**EXCLUSIVE)
    for index in range(6):
        report = crash_under(driver, index, evidence=CrashEvidence.REFUSED, revision=2)
        withdrawn = crash_report(
            agent_id=report.agent_id,
            backend_server=report.backend_server,
            incarnation=report.incarnation,
            evidence=CrashEvidence.WITHDRAWN,
            revision=3,
        )
        driver.receive(report.agent_id, work.FromAgent(crashes=(withdrawn,)))
    assert not driver.failed
    assert len(driver.dispatches) == 7


def test_job_with_a_task_that_is_given_up_is_not_shown_as_failed() -> None:
    """One of the two starts was never carried out: the server crashed before it."""
    driver = Driver(*AGENTS)
    driver.submit(**EXCLUSIVE)
    crash_under(driver, 0)
    crash_under(driver, 1)
    failure = driver.failed["job"]
    assert failure.kind is not FailureKind.TASK_FAILED
    assert failure.run is RunState.MAY_HAVE_RUN
    assert "several backend servers crashed" in failure.detail
