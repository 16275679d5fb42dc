from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from verbenaplank.placement.fleet import Fleet
from verbenaplank.placement.policy import POLICIES
from verbenaplank.placement.task import Resources
from verbenaplank.placement.task import TaskRequest
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MemberRole
from verbenaplank.protocol.membership import WorkerSize
from verbenaplank.protocol.work import LoadReport
from verbenaplank.protocol.work import TaskOutcome

if TYPE_CHECKING:
    from verbenaplank.placement.settings import PlacementSettings

SLOTS = 8
RUN_TIME_S = 0.2


@attrs.define
class FleetDriver:
    """A fleet of backend servers, with a clock that the test advances."""

    fleet: Fleet
    now_s: float = 100.0

    def add(self, *names: str, data_centre: str = "norte", **changes: object) -> None:
        for name in names:
            member = agent(name, data_centre=data_centre, **changes)
            self.fleet.add_or_update(member, self.now_s)
            self.fleet.mark_connected(name, "1", SLOTS, self.now_s)

    def place(self, task: TaskRequest, waiting: int = 1) -> str | None:
        chosen = self.fleet.choose_agent(task, self.now_s, waiting)
        if chosen is not None:
            self.fleet.record_dispatch(chosen, task, self.now_s)
        return chosen

    def finish(
        self,
        name: str,
        task: TaskRequest,
        outcome: TaskOutcome = TaskOutcome.SUCCEEDED,
        run_time_s: float = RUN_TIME_S,
    ) -> None:
        self.fleet.record_result(name, task, outcome, run_time_s, self.now_s)

    def run(self, name: str, task: TaskRequest, **changes: object) -> None:
        """Dispatch a task to a backend server and finish it at once."""
        self.fleet.record_dispatch(name, task, self.now_s)
        self.finish(name, task, **changes)

    def report(self, name: str, running: int, queued: int = 0) -> None:
        load = LoadReport(running=running, queued=queued)
        self.fleet.record_load_report(name, load, self.now_s)


def agent(name: str, **changes: object) -> Member:
    member = Member(
        member_id=name,
        role=MemberRole.AGENT,
        incarnation="1",
        data_centre="norte",
        address="127.0.0.1:1",
        rack=f"rack-{name}",
        services=("fixtures",),
        slots=SLOTS,
        worker=WorkerSize(cores=64, memory_mb=128_000),
    )
    return attrs.evolve(member, **changes)


def task(job: str = "job", index: int = 0, **changes: object) -> TaskRequest:
    request = TaskRequest(
        job_id=job,
        task_index=index,
        service="fixtures",
        team="bochas",
        needs=Resources(),
        declared_run_time_s=RUN_TIME_S,
    )
    return attrs.evolve(request, **changes)


def make_driver(
    policy: str = "least_expected_completion",
    settings: PlacementSettings | None = None,
) -> FleetDriver:
    fleet = Fleet(POLICIES[policy], random.Random(7), "norte", settings)
    return FleetDriver(fleet)
