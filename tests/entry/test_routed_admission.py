from __future__ import annotations

import random

import attrs

from entry.messages import SERVICE
from entry.messages import agent_member
from verbenaplank.admission.goal_queue import GoalQueue
from verbenaplank.agent.named_task import NamedTask
from verbenaplank.entry.routed_admission import RoutedAdmission
from verbenaplank.entry.routed_job import RoutedJob
from verbenaplank.entry.routed_job import RoutedJobState
from verbenaplank.entry.service_loads import EntryView
from verbenaplank.entry.service_loads import ServiceLoads
from verbenaplank.overload.job_memory import JobMemory
from verbenaplank.overload.loop_lag import LoopLag
from verbenaplank.placement.fleet import Fleet
from verbenaplank.placement.policy import least_expected_completion
from verbenaplank.placement.task import Resources
from verbenaplank.protocol.membership import WorkerSize
from verbenaplank.routing.table import Route

NOW_S = 100.0
ROUTE = Route(
    name="deadly",
    host="one.example",
    path_prefix="/a/",
    service=SERVICE,
    timeout_ms=1_500,
    target_latency_ms=60,
    stretch=1.6,
    max_attempts=2,
)
AGENTS = ("a", "b", "c", "d")

MAX_JOB_BYTES = 32_000_000


def job_of(route: Route) -> RoutedJob:
    return RoutedJob(
        key="key",
        route=route,
        tasks=(NamedTask(name="key.0", content="do"),),
        needs=Resources(cores=1.0),
        estimate_s=0.1,
        caller_timeout_s=10.0,
    )


def test_confined_route_is_refused_at_once_while_its_servers_are_down() -> None:
    """Its jobs waited until their deadline for servers that they had crashed."""
    fleet = Fleet(least_expected_completion, random.Random(1), "Kochi")
    for agent_id in AGENTS:
        member = agent_member(agent_id)
        worker = WorkerSize(cores=8, memory_mb=1_000)
        fleet.add_or_update(attrs.evolve(member, worker=worker), NOW_S)
        fleet.mark_connected(agent_id, "1", 8, NOW_S)
    view = EntryView(
        entry_count=lambda: 1, is_current=lambda: True, time_left_s=lambda: 1e9
    )
    loads = ServiceLoads(
        fleet=fleet,
        queue=GoalQueue(fleet.expected_run_time_s, fleet.pool_of_task),
        clock=lambda: NOW_S,
        view=view,
        startup_ends_s=0.0,
    )
    admission = RoutedAdmission(
        memory=JobMemory(MAX_JOB_BYTES),
        fleet=fleet,
        loads=loads,
        loop_lag=LoopLag(),
        view=view,
    )
    fleet.confine(SERVICE, {ROUTE.name: 0.1}, NOW_S)
    assert admission.refusal(job_of(ROUTE)) is None

    for server in fleet.capacity.connected_for(SERVICE, ROUTE.name):
        fleet.mark_disconnected(server.member_id, NOW_S)

    refusal = admission.refusal(job_of(ROUTE))
    assert refusal is not None
    assert refusal.state is RoutedJobState.REFUSED
    assert refusal.retry_after_s is not None
    assert refusal.retry_after_s > 0.0
    assert admission.refusal(job_of(attrs.evolve(ROUTE, name="other"))) is None
