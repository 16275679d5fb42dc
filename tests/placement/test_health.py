from __future__ import annotations

import random

from tests.placement.fleet_driver import FleetDriver
from tests.placement.fleet_driver import task

from verbenaplank.placement.settings import HealthSettings
from verbenaplank.protocol.work import TaskOutcome

NAMES = tuple(f"server-{index}" for index in range(11))
FAILED = TaskOutcome.FAILED
MAX_FAILED_TASKS = 8


def test_server_that_fails_every_task_is_quarantined_after_few_failures(
    driver: FleetDriver,
) -> None:
    driver.add(*NAMES)

    failed = 0
    for number in range(400):
        request = task(f"job-{number // 4}", number)
        name = driver.place(request)
        assert name is not None
        bad = name == NAMES[0]
        failed += bad
        driver.finish(name, request, FAILED if bad else TaskOutcome.SUCCEEDED)
        if driver.fleet.quarantined_agents(driver.now_s):
            break

    assert driver.fleet.quarantined_agents(driver.now_s) == [NAMES[0]]
    assert failed <= MAX_FAILED_TASKS


def test_one_job_that_always_fails_quarantines_no_server(driver: FleetDriver) -> None:
    """The fault is in the job, although each server sees only its failures."""
    driver.add(*NAMES)

    for index in range(350):
        request = task("poison", index)
        name = driver.place(request)
        assert name is not None
        driver.finish(name, request, FAILED)

    assert driver.fleet.quarantined_agents(driver.now_s) == []


def test_many_failures_of_one_job_on_one_server_count_as_one(
    driver: FleetDriver,
) -> None:
    """A job that always fails would otherwise quarantine the server it is on."""
    driver.add(*NAMES)
    batch = [task("poison", index) for index in range(8)]
    for request in batch:
        driver.fleet.record_dispatch("server-0", request, driver.now_s)

    for request in batch:
        driver.finish("server-0", request, FAILED)

    assert driver.fleet.quarantined_agents(driver.now_s) == []


def test_failures_of_jobs_that_also_fail_elsewhere_do_not_count(
    driver: FleetDriver,
) -> None:
    driver.add(*NAMES)
    for number in range(6):
        driver.run("server-1", task(f"poison-{number}", 0), outcome=FAILED)
        driver.run("server-1", task("healthy", number))
        driver.run("server-0", task(f"poison-{number}", 1), outcome=FAILED)

    assert driver.fleet.quarantined_agents(driver.now_s) == []


def test_many_jobs_that_always_fail_quarantine_no_server(
    driver: FleetDriver,
) -> None:
    """With a fifth of the jobs failing, runs of failures occur by chance."""
    driver.add(*NAMES)
    source = random.Random(3)

    for number in range(4_000):
        request = task(f"job-{number}")
        name = driver.place(request)
        assert name is not None
        fails = source.random() < 0.2
        driver.finish(name, request, FAILED if fails else TaskOutcome.SUCCEEDED)
        driver.now_s += 0.01

    assert driver.fleet.quarantined_agents(driver.now_s) == []


def test_job_does_not_return_to_a_server_where_it_failed(driver: FleetDriver) -> None:
    driver.add("a", "b")
    driver.run("a", task("job", 0), outcome=FAILED)

    assert [driver.place(task("job", index)) for index in range(1, 5)] == ["b"] * 4


def quarantine(driver: FleetDriver, name: str) -> None:
    for number in range(MAX_FAILED_TASKS):
        driver.run(name, task(f"evidence-{number}"), outcome=FAILED)
    assert name in driver.fleet.quarantined_agents(driver.now_s)


def test_server_on_probation_gets_one_task_at_a_time(driver: FleetDriver) -> None:
    driver.add(*NAMES)
    quarantine(driver, "server-0")
    driver.fleet.set_drained(frozenset(NAMES[1:]))
    assert driver.place(task()) is None

    driver.now_s += HealthSettings().first_quarantine_s
    trial = task("trial")
    assert driver.place(trial) == "server-0"
    assert driver.place(task("second")) is None

    driver.finish("server-0", trial)
    for number in range(HealthSettings().successes_to_return - 1):
        driver.run("server-0", task(f"trial-{number}"))
    assert driver.place(task("second")) == "server-0"
    assert driver.place(task("third")) == "server-0"


def test_failure_on_probation_doubles_the_quarantine(driver: FleetDriver) -> None:
    driver.add(*NAMES)
    quarantine(driver, "server-0")
    first_s = HealthSettings().first_quarantine_s
    driver.now_s += first_s

    driver.run("server-0", task("trial"), outcome=FAILED)
    driver.now_s += first_s

    assert driver.fleet.quarantined_agents(driver.now_s) == ["server-0"]
    driver.now_s += first_s
    assert driver.fleet.quarantined_agents(driver.now_s) == []


def test_quarantined_share_of_a_service_is_limited(driver: FleetDriver) -> None:
    """A fault that many servers share must not take them all out of service."""
    driver.add(*NAMES)

    for number in range(50):
        for name in NAMES[:8]:
            driver.run(name, task(f"job-{name}-{number}"), outcome=FAILED)
    share = len(driver.fleet.quarantined_agents(driver.now_s)) / len(NAMES)

    assert share <= HealthSettings().max_quarantined_share


def test_runs_lost_in_a_crash_do_not_count_against_the_restarted_server(
    driver: FleetDriver,
) -> None:
    """A restarted server got one task at a time, or none for a second."""
    driver.add(*NAMES)
    for number in range(10):
        request = task(f"job-{number}")
        driver.run(NAMES[0], request, outcome=TaskOutcome.CONNECTION_LOST)
    assert driver.fleet.quarantined_agents(driver.now_s) == [NAMES[0]]

    driver.add(NAMES[0], incarnation="2")

    assert driver.fleet.quarantined_agents(driver.now_s) == []
    for index in range(3):
        driver.fleet.record_dispatch(NAMES[0], task("next", index), driver.now_s)
    usable = {driver.place(task("many", index)) for index in range(40)}
    assert NAMES[0] in usable
