"""An entry is killed while executors carry out orders late; its tasks run twice."""

from __future__ import annotations

import asyncio
import signal
import sys
from itertools import pairwise
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet_2 import BOUNDS  # noqa: E402
from fleet_2 import CaseError  # noqa: E402
from fleet_2 import Fleet  # noqa: E402
from fleet_2 import document  # noqa: E402
from fleet_2 import new_id  # noqa: E402
from fleet_2 import run_case  # noqa: E402

EXECUTORS = 4
CORES = 32
TASKS = 8
TASK_S = 6.0
LATE_SHARE = 0.5
LATE_FOR_S = 4.9
BACK_AFTER_S = 0.5
CALM_S = 4.0
BETWEEN_JOBS_S = 0.06
RESENT = (0, 502, 504)
"""What makes a client send a best-effort job again; 0 stands for no answer."""

LEAST_OVERLAP_S = 0.005


async def play(fleet: Fleet, trouble: bool) -> bool:
    """Fill the executors through one entry, kill it and compare the runs."""
    for host in fleet.controls:
        fleet.start_process("control", host)
    first, second = f"{fleet.subnet}.11", f"{fleet.subnet}.12"
    for number in range(EXECUTORS):
        await fleet.add_agent(f"{fleet.subnet}.{21 + number}", cpu=CORES * 1_000)
    fleet.start_process("entry", first)
    fleet.start_process("entry", second)
    await fleet.put_config(document(3))
    await fleet.wait_for_service(first)
    await fleet.wait_for_service(second)
    await asyncio.sleep(CALM_S)
    clients = []
    for _ in range(EXECUTORS * CORES // TASKS):
        clients.append(asyncio.create_task(_client(fleet, (first, second), new_id())))
        await asyncio.sleep(BETWEEN_JOBS_S)
    await asyncio.sleep(1.0)
    at_work = sum(len(executor.active) for executor in fleet.executors)
    fleet.record.line(f"{at_work} tasks are at work")
    if at_work < EXECUTORS * CORES // 2:
        raise CaseError("the executors are not full enough")
    if trouble:
        await _disrupt(fleet, first)
    await asyncio.wait_for(asyncio.gather(*clients), 60)
    orders = sum(executor.orders for executor in fleet.executors)
    late = sum(executor.late_orders for executor in fleet.executors)
    fleet.record.line(f"{late} of {orders} orders were late")
    overlaps = _overlaps(fleet)
    for task, overlap_s in overlaps:
        fleet.record.line(f"{task} ran twice for {overlap_s:.3f} s")
    fleet.record.line(f"{len(overlaps)} tasks ran twice at the same time")
    return not overlaps


async def _disrupt(fleet: Fleet, host: str) -> None:
    for executor in fleet.executors:
        executor.late_share = LATE_SHARE
    fleet.signal(host, signal.SIGKILL)
    await asyncio.sleep(BACK_AFTER_S)
    fleet.restart_process(host)
    await asyncio.sleep(LATE_FOR_S - BACK_AFTER_S)
    for executor in fleet.executors:
        executor.late_share = 0.0


async def _client(fleet: Fleet, hosts: tuple[str, str], job: str) -> None:
    """Hand a job in, and again at the other entry after a lost answer."""
    for host in (*hosts, hosts[1]):
        answer = await fleet.submit(
            host, job, seconds=TASK_S, tasks=TASKS, timeout_s=40.0
        )
        fleet.record.line(f"answer of POST {job} at {host}: {answer}")
        if answer.status not in RESENT:
            return
        await asyncio.sleep(BOUNDS["resend-ms"] / 1_000)


def _overlaps(fleet: Fleet) -> list[tuple[str, float]]:
    spans = sorted(span for executor in fleet.executors for span in executor.spans)
    overlaps = []
    for (task, _, ended_s), (other, began_s, other_s) in pairwise(spans):
        overlap_s = min(ended_s, other_s) - began_s
        if task == other and overlap_s > LEAST_OVERLAP_S:
            overlaps.append((task, overlap_s))
    return overlaps


if __name__ == "__main__":
    run_case(FOLDER / "record.txt", play)
