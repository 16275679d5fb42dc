"""Killed, frozen and stopped processes of a fleet.

No task may start twice after a failure, and a caller must not be told that nothing was
run if tasks may have run.
"""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from typing import TYPE_CHECKING

from system.running import make_job
from system.running import wait_until
from verbenaplank.identifiers.job_id import new_job_id

if TYPE_CHECKING:
    from system.running import RunningFleet

TASKS = 60
RUN_TIME_MS = 100
UNKNOWN_OUTCOME = "may_have_run"


async def test_job_sent_through_two_entries_at_once_starts_each_task_once(
    fleet: RunningFleet,
) -> None:
    """Without a single owner of the id, both entries would dispatch the tasks."""
    job = make_job(new_job_id(), TASKS, RUN_TIME_MS)

    answers = await asyncio.gather(*(fleet.submit(name, job) for name in fleet.entries))

    assert [answer.status for answer in answers] == [200, 200]
    assert answers[0].body == answers[1].body
    assert Counter(fleet.started_tasks(job["id"])) == Counter(range(TASKS))
    assert fleet.violations() == []


async def test_job_of_a_killed_entry_is_never_started_again(
    fleet: RunningFleet,
) -> None:
    """The caller sends the job to another entry after its connection broke."""
    job = make_job(new_job_id(), TASKS, RUN_TIME_MS)
    first, second = fleet.entries
    submission = asyncio.create_task(fleet.submit(first, job))
    await wait_until(lambda: bool(fleet.started_tasks(job["id"])))

    fleet.processes.kill(first)
    lost = await submission
    again = await fleet.submit(second, job)

    assert lost.status == 0
    assert again.content["run"] == UNKNOWN_OUTCOME
    assert max(Counter(fleet.started_tasks(job["id"])).values()) == 1
    assert fleet.violations() == []


async def test_killed_agent_fails_its_job_and_no_task_starts_twice(
    fleet: RunningFleet,
) -> None:
    job = make_job(new_job_id(), TASKS, RUN_TIME_MS)
    submission = asyncio.create_task(fleet.submit(fleet.entries[0], job))
    await wait_until(lambda: "backend-1" in fleet.servers_started_on(job["id"]))

    fleet.processes.kill("agent-1")
    answer = await submission
    later = await fleet.submit(fleet.entries[0], make_job(new_job_id(), 8, 1))

    assert answer.content["run"] in {UNKNOWN_OUTCOME, "ran"}
    assert later.status == 200
    assert fleet.violations() == []


async def test_jobs_complete_while_one_control_instance_is_frozen(
    fleet: RunningFleet,
) -> None:
    fleet.processes.signal("control-1", signal.SIGSTOP)
    try:
        jobs = [make_job(new_job_id(), 8, 20) for _ in range(4)]
        answers = await asyncio.gather(
            *(fleet.submit(fleet.entries[i % 2], job) for i, job in enumerate(jobs))
        )
    finally:
        fleet.processes.signal("control-1", signal.SIGCONT)

    assert [answer.status for answer in answers] == [200] * len(jobs)
    assert fleet.violations() == []


async def test_no_job_starts_without_a_majority_of_registrars(
    fleet: RunningFleet,
) -> None:
    """Two of three control instances are killed, so no id can be claimed."""
    for name in ("control-1", "control-2"):
        fleet.processes.kill(name)
    job = make_job(new_job_id(), 8, 20)

    refused = await fleet.submit(fleet.entries[0], job)
    started_while_refused = fleet.started_tasks(job["id"])

    assert refused.content["kind"] == "no_quorum"
    assert refused.content["run"] == "may_have_run"
    assert started_while_refused == []
    assert fleet.violations() == []


async def test_graceful_stop_of_each_program_under_load_loses_no_answer(
    fleet: RunningFleet,
) -> None:
    """An entry, an agent and a control instance are stopped while tasks run."""
    jobs = [make_job(new_job_id(), 12, 2_000) for _ in range(2)]
    first, second = fleet.entries
    submissions = [asyncio.create_task(fleet.submit(first, job)) for job in jobs]
    await wait_until(lambda: all(fleet.started_tasks(job["id"]) for job in jobs))

    codes = await asyncio.to_thread(fleet.processes.stop, first, "agent-1", "control-1")
    answers = await asyncio.gather(*submissions)
    later = await fleet.submit(second, make_job(new_job_id(), 8, 1))

    assert codes == {first: 0, "agent-1": 0, "control-1": 0}
    assert [answer.status for answer in answers] == [200] * len(jobs)
    assert later.status == 200
    assert fleet.violations() == []
