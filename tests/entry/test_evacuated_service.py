"""Jobs whose servers are all in evacuated data centres are refused at once."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
import pytest

from entry.driver import Driver
from entry.driver import submission
from entry.fake_cluster import job
from entry.messages import agent_member
from entry.messages import refused
from entry.test_admission_control import NOW_S
from entry.test_admission_control import READY
from entry.test_admission_control import AdmissionSetup
from verbenaplank.observability.entry_metrics import register_entry_metrics
from verbenaplank.observability.metrics import Metrics
from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.failure import RunState
from verbenaplank.placement.feasibility import Feasibility
from verbenaplank.placement.fleet import Fleet
from verbenaplank.placement.policy import least_expected_completion
from verbenaplank.placement.task import Resources
from verbenaplank.protocol import work
from verbenaplank.protocol.membership import EvacuationList
from verbenaplank.protocol.membership import WorkerSize

if TYPE_CHECKING:
    from entry.fake_cluster import FakeCluster

HERE = frozenset({"Kochi"})
NOWHERE: frozenset[str] = frozenset()


def test_new_request_is_refused_at_once_while_its_servers_are_evacuated() -> None:
    """Guards against requests that wait until their deadline for no server."""
    setup = AdmissionSetup()
    admission = setup.create_controller()
    setup.fleet.set_evacuated(HERE, NOW_S)
    rejection = admission.admit(submission(), READY, NOW_S)
    assert rejection is not None
    assert rejection.kind is FailureKind.NOT_READY
    assert "evacuated" in rejection.detail
    setup.fleet.set_evacuated(NOWHERE, NOW_S)
    assert admission.admit(submission(), READY, NOW_S) is None


@pytest.mark.parametrize(
    ("cores", "evacuated", "expected"),
    [
        (1.0, {"Kochi"}, Feasibility.POSSIBLE),
        (8.0, {"Kochi"}, Feasibility.EVACUATED),
        (1.0, {"Kochi", "Pune"}, Feasibility.EVACUATED),
        (9.0, {"Kochi", "Pune"}, Feasibility.IMPOSSIBLE_NEEDS),
        (8.0, set(), Feasibility.POSSIBLE),
    ],
)
def test_only_servers_that_could_run_the_job_count(
    cores: float, evacuated: set[str], expected: Feasibility
) -> None:
    """Guards against jobs that wait for the only servers large enough for them."""
    fleet = Fleet(least_expected_completion, random.Random(1), "Kochi")
    for name, data_centre, size in (("large", "Kochi", 8), ("small", "Pune", 2)):
        worker = WorkerSize(cores=size, memory_mb=1_000)
        member = attrs.evolve(
            agent_member(name), data_centre=data_centre, worker=worker
        )
        fleet.add_or_update(member, NOW_S)
    fleet.set_evacuated(frozenset(evacuated), NOW_S)
    needs = Resources(cores=cores)
    assert fleet.capacity.feasibility("draw", needs) is expected


def test_order_that_overtakes_a_dispatch_fails_the_job_as_not_run() -> None:
    """Guards against a refused dispatch whose job then waits until its deadline."""
    driver = Driver("a")
    driver.submit("overtaken")
    driver.submit("running")
    agent_id, first = driver.dispatches[0]
    driver.fleet.set_evacuated(HERE, driver.now_s)
    driver.advance(0.1)
    assert driver.failed == {}, "a dispatch that may have started is waited for"

    refusal = refused(first, work.RefusalReason.DRAINING)
    evacuated = tuple(attrs.evolve(r, evacuated=True) for r in refusal.refusals)
    driver.receive(agent_id, attrs.evolve(refusal, refusals=evacuated))
    driver.advance(0.1)
    assert driver.failed["overtaken"].run is RunState.NOT_RUN
    assert "evacuated" in driver.failed["overtaken"].detail
    assert driver.engine.counts.refused_evacuated == 1

    driver.finish(1)
    assert driver.completed == {"running": (b'"0"',)}


def test_order_that_overtakes_a_dispatch_moves_the_task_elsewhere_at_once() -> None:
    """Guards against a quarantine and a delay because of refused dispatches."""
    driver = Driver("a", "b")
    driver.submit(count=6)
    elsewhere = attrs.evolve(agent_member("c"), data_centre="Pune")
    driver.engine.on_member_joined(elsewhere, driver.now_s)
    driver.connect("c")
    sent = len(driver.dispatches)
    driver.fleet.set_evacuated(HERE, driver.now_s)
    for index in range(sent):
        driver.refuse(index)
    moved = [agent_id for agent_id, _ in driver.dispatches[sent:]]
    assert moved == ["c"] * sent
    assert driver.fleet.quarantined_agents(driver.now_s) == []
    for index in range(sent, 2 * sent):
        driver.finish(index)
    assert len(driver.completed["job"]) == 6


def test_queued_job_is_refused_when_the_last_data_centre_is_evacuated() -> None:
    driver = Driver("a", slots=1)
    driver.submit("running")
    driver.submit("queued")
    driver.fleet.set_evacuated(HERE, driver.now_s)
    driver.advance(0.1)
    assert set(driver.failed) == {"queued"}
    assert driver.failed["queued"].run is RunState.NOT_RUN


async def test_entry_that_starts_during_an_evacuation_sends_nothing_there(
    cluster: FakeCluster,
) -> None:
    """Guards against a restarted entry that learns the agents before the list."""
    agent = await cluster.agent()
    cluster.membership.evacuations = EvacuationList(revision=3, data_centres=("Kochi",))
    metrics = Metrics("entry-1", "Kochi")
    instance = await cluster.entry()
    register_entry_metrics(metrics, instance)
    caller = await cluster.caller(instance)

    response = await caller.post("/v1/jobs", json=job())
    assert response.status_code == 503
    assert response.json()["run"] == "not_run"
    assert "evacuated" in response.json()["detail"]
    assert agent.starts == []
    text = metrics.render()[0].decode()
    assert "verbenaplank_entry_evacuated_data_centres 1.0" in text
    assert "verbenaplank_entry_evacuations_revision 3.0" in text

    cluster.membership.evacuations = EvacuationList(revision=4)
    cluster.membership.changed()
    response = await caller.post("/v1/jobs", json=job())
    assert response.status_code == 200
    metrics.close()
