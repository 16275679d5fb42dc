"""Processor time of one decision whether a task is placed or held.

The task's rack is full, as are nine in ten of the other servers, and further tasks are
held for the rack already.
"""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from verbenaplank.placement.fleet import Fleet
from verbenaplank.placement.local_choice import HoldClaim
from verbenaplank.placement.policy import least_expected_completion
from verbenaplank.placement.task import Resources
from verbenaplank.placement.task import TaskRequest
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MemberRole
from verbenaplank.protocol.membership import WorkerSize
from verbenaplank.protocol.work import LoadReport

if TYPE_CHECKING:
    from collections.abc import Iterable

SERVICE = "bench"
RACK = "rack-0"
SERVERS_PER_RACK = 8
CORES = 64.0
TASK_CORES = 6.2
TASKS_PER_SERVER = 5
"""Tasks of this entry on each full server; the others are of other entries."""

RUN_TIME_S = 0.1
NOW_S = 100.0
HELD_TASKS = (0, 8, 64)
BATCH = 100
US_PER_S = 1e6


def cost_table(servers: Iterable[int], repeats: int) -> str:
    """Return the microseconds of a decision by fleet and number of held tasks.

    Each figure is the median over batches of ``BATCH`` decisions.
    """
    heads = [f"{count} held" for count in HELD_TASKS]
    lines = [f"| servers | {' | '.join(heads)} |", "|---" * (len(heads) + 1) + "|"]
    for count in servers:
        fleet = _fleet(count)
        cells = [
            f"{_cost_s(fleet, held, repeats) * US_PER_S:.0f} us" for held in HELD_TASKS
        ]
        lines.append(f"| {count:,} | {' | '.join(cells)} |")
    return "\n".join(lines)


def _cost_s(fleet: Fleet, held: int, repeats: int) -> float:
    claim = HoldClaim(ahead=held, own_held={RACK: held} if held else {})
    costs_s: list[float] = []
    for _ in range(max(1, repeats // BATCH)):
        begin_s = time.process_time()
        for _ in range(BATCH):
            fleet.choose_or_hold(_task("asked", 0), NOW_S, claim)
        costs_s.append((time.process_time() - begin_s) / BATCH)
    return sorted(costs_s)[len(costs_s) // 2]


def _fleet(servers: int) -> Fleet:
    fleet = Fleet(least_expected_completion, random.Random(1), "norte")
    for index in range(servers):
        name = f"agent-{index}"
        rack = f"rack-{index // SERVERS_PER_RACK}"
        fleet.add_or_update(_member(name, rack), 0.0)
        fleet.mark_connected(name, "1", 1_000, 0.0)
        if index % 10 == 0 and rack != RACK:
            fleet.record_load_report(name, LoadReport(running=0, queued=0), NOW_S)
            continue
        for number in range(TASKS_PER_SERVER):
            started_s = NOW_S - RUN_TIME_S * number / TASKS_PER_SERVER
            fleet.record_dispatch(name, _task(name, number), started_s)
        report = LoadReport(
            running=2 * TASKS_PER_SERVER,
            queued=0,
            cores_used=2 * TASKS_PER_SERVER * TASK_CORES,
        )
        fleet.record_load_report(name, report, NOW_S)
    return fleet


def _member(name: str, rack: str) -> Member:
    return Member(
        member_id=name,
        role=MemberRole.AGENT,
        incarnation="1",
        data_centre="norte",
        address="",
        rack=rack,
        services=(SERVICE,),
        slots=1_000,
        worker=WorkerSize(cores=CORES, memory_mb=1_000),
    )


def _task(job_id: str, index: int) -> TaskRequest:
    return TaskRequest(
        job_id=job_id,
        task_index=index,
        service=SERVICE,
        team="bench",
        urgent=True,
        needs=Resources(cores=TASK_CORES),
        declared_run_time_s=RUN_TIME_S,
        goal_s=NOW_S + 0.22,
        latest_start_s=NOW_S + 0.9,
        preferred_rack=RACK,
        remote_factor=2.0,
        exclusive=True,
    )
