from __future__ import annotations

import attrs
from tests.placement.fleet_driver import make_driver
from tests.placement.fleet_driver import task

from verbenaplank.placement.cells import ServiceCells

SERVERS = tuple(f"server-{number}" for number in range(11))
LOST_AT_S = 100.0


def servers_of(cells: ServiceCells, workload: str) -> set[str]:
    return {server for server in SERVERS if cells.allows(workload, server)}


def test_confined_workload_gets_a_part_in_proportion_to_its_work() -> None:
    cells = ServiceCells()
    cells.divide(SERVERS, {"deadly": 0.21}, 0.0)
    assert len(servers_of(cells, "deadly")) == 3
    assert servers_of(cells, "other") == set(SERVERS) - servers_of(cells, "deadly")


def test_all_entries_choose_the_same_servers() -> None:
    """An entry that knows a slightly other share must not spread the crashes."""
    first, second = ServiceCells(), ServiceCells()
    first.divide(SERVERS, {"deadly": 0.21}, 0.0)
    second.divide(reversed(SERVERS), {"deadly": 0.30}, 5.0)
    assert servers_of(first, "deadly") < servers_of(second, "deadly")


def test_crashed_servers_keep_their_places() -> None:
    """The part must not move to the servers that are left."""
    cells, undisturbed = ServiceCells(), ServiceCells()
    undisturbed.divide(SERVERS, {"deadly": 0.21}, LOST_AT_S)
    for server in SERVERS[:4]:
        cells.record_departure(server, LOST_AT_S)
    cells.divide(SERVERS[4:], {"deadly": 0.21}, LOST_AT_S + 1.0)
    assert servers_of(cells, "deadly") == servers_of(undisturbed, "deadly")


def test_part_is_never_larger_than_half() -> None:
    """An entry that has just started knows jobs of one workload only."""
    cells = ServiceCells()
    cells.divide(SERVERS, {"deadly": 1.0}, 0.0)
    assert len(servers_of(cells, "deadly")) == len(SERVERS) // 2


def test_some_server_is_left_to_the_others() -> None:
    cells = ServiceCells()
    cells.divide(SERVERS, {"deadly": 1.0, "second": 1.0}, 0.0)
    assert servers_of(cells, "other")
    cells.divide(SERVERS[:1], {"third": 1.0}, 0.0)
    assert not cells.confined


def test_second_workload_leaves_the_first_one_its_servers() -> None:
    cells = ServiceCells()
    cells.divide(SERVERS, {"b": 0.2}, 0.0)
    before = servers_of(cells, "b")
    cells.divide(SERVERS, {"a": 0.2, "b": 0.4}, 1.0)
    assert servers_of(cells, "b") == before
    assert not servers_of(cells, "a") & before
    cells.divide(SERVERS, {}, 2.0)
    assert servers_of(cells, "b") == set(SERVERS)


def test_fleet_keeps_confined_and_other_tasks_apart() -> None:
    driver = make_driver()
    driver.add(*SERVERS)
    driver.fleet.confine("fixtures", {"deadly": 0.2}, driver.now_s)
    used: dict[str, set[str | None]] = {"deadly": set(), "other": set()}
    for number in range(40):
        for workload, servers in used.items():
            request = task(f"{workload}-{number}", workload=workload)
            servers.add(driver.place(request))
    assert not (used["deadly"] - {None}) & (used["other"] - {None})
    deadly_cores = driver.fleet.capacity.available_cores_of("fixtures", "deadly")
    assert deadly_cores == 3 * 64
    assert driver.fleet.capacity.available_cores_of("fixtures", "other") == 8 * 64


def test_other_tasks_use_the_confined_part_if_no_other_server_is_left() -> None:
    driver = make_driver()
    driver.add(*SERVERS)
    driver.fleet.confine("fixtures", {"deadly": 0.2}, driver.now_s)
    cells = ServiceCells()
    cells.divide(SERVERS, {"deadly": 0.2}, driver.now_s)
    for server in servers_of(cells, "other"):
        driver.fleet.mark_disconnected(server, driver.now_s)
    assert driver.place(attrs.evolve(task("a"), workload="other")) is not None
