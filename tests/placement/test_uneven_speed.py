from __future__ import annotations

import random

import attrs
import pytest
from tests.placement.fleet_driver import FleetDriver
from tests.placement.fleet_driver import agent
from tests.placement.fleet_driver import make_driver
from tests.placement.fleet_driver import task

from verbenaplank.admission.goal_queue import GoalQueue
from verbenaplank.entry.service_loads import EntryView
from verbenaplank.entry.service_loads import ServiceLoads
from verbenaplank.placement.local_choice import HoldClaim
from verbenaplank.placement.locality import Hold
from verbenaplank.placement.locality import Place
from verbenaplank.placement.openings import remaining_run_time_s
from verbenaplank.placement.task import Resources
from verbenaplank.placement.task import TaskRequest
from verbenaplank.protocol.membership import WorkerSize
from verbenaplank.protocol.work import LoadReport

SPREAD = 0.4
LONG_SHARE = 0.03
LONG_FACTOR = 7.0


@pytest.mark.parametrize("age", [1.25, 1.5, 2.0, 2.5, 3.0])
def test_remaining_run_time_follows_run_times_of_which_some_are_long(
    age: float,
) -> None:
    """Tasks that take 7 times as long are expected to end soon at any age."""
    source = random.Random(3)
    runs = [
        source.lognormvariate(-(SPREAD**2) / 2, SPREAD)
        * (LONG_FACTOR if source.random() < LONG_SHARE else 1.0)
        for _ in range(100_000)
    ]
    left = [run - age for run in runs if run > age]
    mean = sum(left) / len(left)
    assert mean / 1.6 < remaining_run_time_s(1.0, age) < mean * 1.6


def job_task(index: int = 0, **changes: object) -> TaskRequest:
    fields: dict[str, object] = {
        "needs": Resources(cores=1),
        "declared_run_time_s": 0.1,
        "remote_factor": 2.0,
    }
    return attrs.evolve(task("job", index), **(fields | changes))


def slow_and_fast(**running: object) -> FleetDriver:
    """Return a free server of speed 0.55 and a full one of speed 1.2."""
    driver = make_driver()
    driver.add("slow", "fast", worker=WorkerSize(cores=1, memory_mb=0))
    for index in range(60):
        for name, run_s in (("slow", 0.1 / 0.55), ("fast", 0.1 / 1.2)):
            driver.run(name, job_task(index), run_time_s=run_s)
    driver.fleet.record_dispatch("fast", job_task(100, **running), driver.now_s)
    driver.report("slow", 0)
    driver.report("fast", 1)
    return driver


def decide(driver: FleetDriver, **changes: object) -> Hold | Place | None:
    asked = job_task(200, goal_s=driver.now_s + 0.5, **changes)
    return driver.fleet.choose_or_hold(asked, driver.now_s, HoldClaim())


def test_last_task_of_a_wide_job_waits_for_a_faster_server() -> None:
    """A wide job is as late as its last task, which runs on a slow server."""
    driver = slow_and_fast()
    driver.now_s += 0.06
    placed = decide(driver)
    assert isinstance(placed, Place)
    assert placed.member_id == "slow"
    held = decide(driver, ends_wide_job=True)
    assert isinstance(held, Hold)
    assert held.until_s <= driver.now_s + 0.03


def test_last_task_of_a_wide_job_runs_on_a_slow_server_if_that_is_earlier() -> None:
    """The task is held for a server that has only just started a longer task."""
    driver = slow_and_fast(workload="long", declared_run_time_s=0.5)
    placed = decide(driver, ends_wide_job=True)
    assert isinstance(placed, Place)
    assert placed.member_id == "slow"


@pytest.mark.parametrize("cause", ["straggler", "cold", "none"])
def test_task_is_not_held_for_a_server_that_will_not_take_it(cause: str) -> None:
    """Guards against holds for stragglers, and for cold servers over their share."""
    driver = make_driver()
    driver.add("local", "b", "c", "d", worker=WorkerSize(cores=2, memory_mb=0))
    driver.fleet.record_dispatch(
        "local", job_task(100, needs=Resources(cores=2)), driver.now_s
    )
    driver.now_s += 0.09
    cold_ms = 10_000.0 if cause == "cold" else 0.0
    for name in ("local", "b", "c", "d"):
        load = LoadReport(
            running=int(name == "local"),
            queued=0,
            cold_remaining_ms=cold_ms if name == "local" else 0.0,
            cold_span_ms=cold_ms if name == "local" else 0.0,
        )
        driver.fleet.record_load_report(name, load, driver.now_s)
    if cause == "straggler":
        driver.fleet._servers["local"].slowness = 3.0
    decision = decide(
        driver, exclusive=True, preferred_rack="rack-local", remote_factor=20.0
    )
    assert isinstance(decision, Hold if cause == "none" else Place)


@pytest.mark.parametrize("weighs_waits", [True, False])
def test_learned_speed_ends_with_its_incarnation(weighs_waits: bool) -> None:
    """A server that replaces a slow one gets no tasks because of its predecessor."""
    driver = slow_and_fast()
    if weighs_waits:
        decide(driver)
    member = attrs.evolve(agent("slow"), incarnation="2")
    driver.fleet.add_or_update(member, driver.now_s)
    slowness = driver.fleet._servers["slow"].slowness
    assert (slowness == 1.0) == weighs_waits


def test_start_with_nothing_known_assumes_equal_speeds_and_shares() -> None:
    """After a start of the whole system, an entry prefers servers without a reason."""
    driver = make_driver()
    driver.add("a", "b", "c", worker=WorkerSize(cores=4, memory_mb=0))
    servers = driver.fleet._servers.values()
    assert {server.slowness for server in servers} == {1.0}
    assert {server.other_entries_cores for server in servers} == {0.0}
    assert {server.reported_held for server in servers} == {0}
    placed: list[str] = []
    for index in range(12):
        asked = job_task(index)
        decision = driver.fleet.choose_or_hold(asked, driver.now_s, HoldClaim())
        assert isinstance(decision, Place)
        driver.fleet.record_dispatch(decision.member_id, asked, driver.now_s)
        placed.append(decision.member_id)
    assert {placed.count(name) for name in "abc"} == {4}
    last = driver.fleet.choose_or_hold(job_task(13), driver.now_s, HoldClaim())
    assert last is None
    loads = ServiceLoads(
        fleet=driver.fleet,
        queue=GoalQueue(driver.fleet.expected_run_time_s),
        clock=lambda: driver.now_s,
        view=EntryView(
            entry_count=lambda: 3, is_current=lambda: True, time_left_s=lambda: 9.0
        ),
        startup_ends_s=0.0,
    )
    assert loads.capacity_of(job_task().service, "").equal_share_cores == 4.0
