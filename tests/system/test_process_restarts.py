"""Processes of a fleet that are resumed or restarted after a failure.

A process that comes back with outdated or lost state must not start a task that may
have run.
"""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from typing import TYPE_CHECKING

from demo.processes import fetch_json

from system.running import make_job
from system.running import wait_until
from verbenaplank.identifiers.job_id import new_job_id

if TYPE_CHECKING:
    from system.running import RunningFleet

TASKS = 60
RUN_TIME_MS = 100


def _member_ids(fleet: RunningFleet, control: str) -> set[str]:
    content = fetch_json(f"{fleet.fleet.control_urls[control]}/v1/members")
    return {member["member_id"] for member in content["members"]}


async def _restart_control(fleet: RunningFleet, name: str) -> None:
    fleet.processes.kill(name)
    fleet.processes.restart(name)
    url = f"{fleet.fleet.control_urls[name]}/readyz"
    await asyncio.to_thread(fleet.processes.wait_ready, name, url)


async def test_entry_resumed_after_its_lease_expired_starts_no_task_twice(
    fleet: RunningFleet,
) -> None:
    """Another entry is sent the same job while its owner is frozen."""
    first, second = fleet.entries
    job = make_job(new_job_id(), TASKS, RUN_TIME_MS)
    submission = asyncio.create_task(fleet.submit(first, job))
    await wait_until(lambda: bool(fleet.started_tasks(job["id"])))

    fleet.processes.signal(first, signal.SIGSTOP)
    try:
        await wait_until(lambda: first not in _member_ids(fleet, "control-1"))
        elsewhere = await fleet.submit(second, job)
    finally:
        fleet.processes.signal(first, signal.SIGCONT)
    woken = await submission

    assert elsewhere.content["run"] == "may_have_run"
    assert woken.content["run"] in {"may_have_run", "ran"}
    assert max(Counter(fleet.started_tasks(job["id"])).values()) == 1
    assert fleet.violations() == []


async def test_registrars_restarted_in_turn_grant_no_used_id_again(
    fleet: RunningFleet,
) -> None:
    """A majority of registrars has been restarted since the id was granted."""
    first, second = fleet.entries
    job = make_job(new_job_id(), 8, 1)
    answered = await fleet.submit(first, job)

    await _restart_control(fleet, "control-1")
    await _restart_control(fleet, "control-2")
    again = await fleet.submit(second, job)

    assert answered.status == 200
    assert again.status == 200 or again.content["run"] == "may_have_run"
    assert Counter(fleet.started_tasks(job["id"])) == Counter(range(8))
    assert fleet.violations() == []


async def test_owner_killed_and_registrars_restarted_grant_no_used_id_again(
    fleet: RunningFleet,
) -> None:
    """Neither the owner nor a majority of registrars kept its process."""
    first, second = fleet.entries
    job = make_job(new_job_id(), TASKS, RUN_TIME_MS)
    submission = asyncio.create_task(fleet.submit(first, job))
    await wait_until(lambda: bool(fleet.started_tasks(job["id"])))

    fleet.processes.kill(first)
    await submission
    await _restart_control(fleet, "control-1")
    await _restart_control(fleet, "control-2")
    again = await fleet.submit(second, job)

    assert again.content["run"] == "may_have_run"
    assert max(Counter(fleet.started_tasks(job["id"])).values()) == 1
    assert fleet.violations() == []


async def test_agent_restarted_at_once_starts_no_task_again(
    fleet: RunningFleet,
) -> None:
    """The new process does not know which tasks the killed one has started."""
    job = make_job(new_job_id(), TASKS, RUN_TIME_MS)
    submission = asyncio.create_task(fleet.submit(fleet.entries[0], job))
    await wait_until(lambda: "backend-1" in fleet.servers_started_on(job["id"]))

    fleet.processes.kill("agent-1")
    fleet.processes.restart("agent-1")
    answer = await submission

    assert answer.content["run"] in {"may_have_run", "ran"}
    assert max(Counter(fleet.started_tasks(job["id"])).values()) == 1
    assert fleet.violations() == []


async def test_two_entries_signalled_twice_answer_their_jobs_before_stopping(
    fleet: RunningFleet,
) -> None:
    """A second SIGTERM must not cut the drain of the first one short."""
    jobs = {name: make_job(new_job_id(), 12, 2_000) for name in fleet.entries}
    submissions = [
        asyncio.create_task(fleet.submit(name, job)) for name, job in jobs.items()
    ]
    await wait_until(
        lambda: all(fleet.started_tasks(job["id"]) for job in jobs.values())
    )

    for name in jobs:
        fleet.processes.signal(name, signal.SIGTERM)
    codes = await asyncio.to_thread(fleet.processes.stop, *jobs)
    answers = await asyncio.gather(*submissions)

    assert set(codes.values()) == {0}
    assert [answer.status for answer in answers] == [200, 200]
    assert fleet.violations() == []
