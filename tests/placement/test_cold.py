"""Cold backend servers get a growing share of tasks and count as healthy and fast."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
from tests.placement.fleet_driver import RUN_TIME_S
from tests.placement.fleet_driver import SLOTS
from tests.placement.fleet_driver import FleetDriver
from tests.placement.fleet_driver import agent
from tests.placement.fleet_driver import task

from verbenaplank.placement.backend_server import BackendServer
from verbenaplank.placement.expected_end import expected_run_time_s
from verbenaplank.placement.run_time import RunTimeEstimator
from verbenaplank.protocol.work import LoadReport
from verbenaplank.protocol.work import TaskOutcome

if TYPE_CHECKING:
    from verbenaplank.placement.fleet import Fleet

COLD_S = 10.0


def report_cold(
    driver: FleetDriver, name: str, left_s: float = COLD_S, running: int = 0
) -> None:
    load = LoadReport(
        running=running,
        queued=0,
        cold_remaining_ms=left_s * 1_000,
        cold_span_ms=COLD_S * 1_000 if left_s else 0.0,
    )
    driver.fleet.record_load_report(name, load, driver.now_s)


def server_of(fleet: Fleet, name: str) -> BackendServer:
    return fleet._servers[name]


def expected_s(driver: FleetDriver, name: str) -> float:
    context = driver.fleet._context(task(), driver.now_s)
    return expected_run_time_s(server_of(driver.fleet, name), context)


def most_placed(driver: FleetDriver, elapsed_s: float) -> int:
    """Return the tasks on a cold server after a burst with a report after each."""
    driver.now_s += elapsed_s
    for index in range(8 * SLOTS):
        running = len(server_of(driver.fleet, "cold").outstanding)
        driver.now_s += 0.001
        report_cold(driver, "cold", COLD_S - elapsed_s, running)
        driver.now_s += 0.001
        driver.place(task(f"job-{index}"), waiting=8 * SLOTS)
    return len(server_of(driver.fleet, "cold").outstanding)


@pytest.mark.parametrize(("elapsed_s", "most"), [(0.0, 1), (5.0, 4), (9.9, 7)])
def test_share_of_a_cold_server_grows_over_the_cold_time(
    driver: FleetDriver, elapsed_s: float, most: int
) -> None:
    """Guards against a burst that lands on the servers that have just returned."""
    driver.add("warm", "cold")
    assert most_placed(driver, elapsed_s) == most
    driver.now_s = server_of(driver.fleet, "cold").cold.until_s
    assert driver.place(task("later"), waiting=8 * SLOTS) == "cold"


def test_burst_between_two_reports_reaches_a_cold_server_once(
    driver: FleetDriver,
) -> None:
    """Guards against entries that all use the same free share before a report."""
    driver.add("warm", "cold")
    report_cold(driver, "cold", COLD_S / 2)
    driver.now_s += 0.01
    placed = [
        driver.place(task(str(index)), waiting=8 * SLOTS) for index in range(2 * SLOTS)
    ]
    assert placed.count("cold") == SLOTS // 4


def test_only_cold_servers_are_used_without_a_limit(driver: FleetDriver) -> None:
    """Guards against tasks that wait although every server is idle after a start."""
    driver.add("a", "b")
    report_cold(driver, "a")
    report_cold(driver, "b")
    driver.now_s += 0.01
    assert None not in [driver.place(task(str(index))) for index in range(2 * SLOTS)]


def test_expected_run_time_decays_by_itself_to_the_announced_end(
    driver: FleetDriver,
) -> None:
    """Guards against a silent stream that leaves a server cold for ever."""
    driver.add("a")
    report_cold(driver, "a")
    assert expected_s(driver, "a") == pytest.approx(1.5 * RUN_TIME_S)
    driver.now_s += COLD_S / 2
    assert expected_s(driver, "a") == pytest.approx(1.25 * RUN_TIME_S)
    driver.now_s += COLD_S / 2
    assert expected_s(driver, "a") == RUN_TIME_S


def test_entry_that_starts_during_the_cold_time_expects_the_same(
    driver: FleetDriver,
) -> None:
    """Guards against a restarted entry that takes the rest for the whole cold time."""
    driver.add("a")
    report_cold(driver, "a", COLD_S / 2)
    assert expected_s(driver, "a") == pytest.approx(1.25 * RUN_TIME_S)


def test_cold_runs_teach_only_the_cold_factor() -> None:
    """Guards against a learned slowness that outlasts the cold time."""
    estimator = RunTimeEstimator(1.5)
    warm = BackendServer(agent("warm"), 0.0)
    cold = BackendServer(agent("cold"), 0.0)
    for _ in range(20):
        estimator.record_run(task(), warm, RUN_TIME_S, 100.0)
    before_s = estimator.expected_s(task())
    cold.cold.apply(COLD_S, COLD_S, 100.0)
    for _ in range(400):
        estimator.record_run(task(), cold, 3 * RUN_TIME_S, 100.1)
    assert estimator.expected_s(task()) == before_s
    assert (cold.slowness, cold.slowness_samples) == (1.0, 0)
    assert estimator.cold_factors.of("fixtures") == pytest.approx(3.0, rel=0.01)
    assert estimator.cold_factors.of("other") == 1.5


@pytest.mark.parametrize("outcome", [TaskOutcome.TIMED_OUT, TaskOutcome.NOT_STARTED])
def test_time_outs_on_a_cold_server_lead_to_no_quarantine(
    driver: FleetDriver, outcome: TaskOutcome
) -> None:
    driver.add(*"abcdef")
    report_cold(driver, "a")
    for index in range(20):
        driver.now_s += 0.1
        driver.run("a", task(f"cold-{index}"), outcome=outcome)
    assert driver.fleet.quarantined_agents(driver.now_s) == []
    driver.now_s += COLD_S
    for index in range(20):
        driver.run("a", task(f"warm-{index}"), outcome=outcome)
    assert driver.fleet.quarantined_agents(driver.now_s) == ["a"]


def test_cold_server_is_not_stalled_until_its_cold_time_has_passed(
    driver: FleetDriver,
) -> None:
    driver.add("a")
    for index in range(10):
        driver.run("a", task(f"known-{index}"))
    report_cold(driver, "a", 2.0)
    driver.place(task("slow"))
    driver.now_s += 1.9
    assert driver.fleet.stalled_agents(driver.now_s) == []
    driver.now_s += 2.0
    assert driver.fleet.stalled_agents(driver.now_s) == ["a"]


@pytest.mark.parametrize("reports_cold_times", [True, False])
def test_returning_server_is_cold_until_it_could_have_reported(
    driver: FleetDriver, reports_cold_times: bool
) -> None:
    """Guards against a burst between the withdrawal and the first status report."""
    driver.add("warm")
    driver.add("back", data_centre="sul")
    if reports_cold_times:
        report_cold(driver, "back")
    driver.now_s += COLD_S
    driver.fleet.set_evacuated(frozenset({"sul"}), driver.now_s)
    driver.fleet.set_evacuated(frozenset(), driver.now_s)
    driver.report("back", running=0)
    cold = driver.fleet.cold_agents(driver.now_s)
    assert cold == (["back"] if reports_cold_times else [])
    driver.now_s += 1.0
    assert driver.fleet.cold_agents(driver.now_s) == []


def test_nothing_changes_without_a_positive_report(driver: FleetDriver) -> None:
    driver.add("a", "b")
    report_cold(driver, "a", 0.0)
    server = server_of(driver.fleet, "a")
    assert attrs.asdict(server.cold) == attrs.asdict(BackendServer(agent("x"), 0).cold)
    placed = [driver.place(task(str(index))) for index in range(2 * SLOTS)]
    assert (placed.count("a"), placed.count("b")) == (SLOTS, SLOTS)
