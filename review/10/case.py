"""A cancelled job is sent again, as its client was answered 504, and runs."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet_2 import BOUNDS  # noqa: E402
from fleet_2 import CaseError  # noqa: E402
from fleet_2 import Fleet  # noqa: E402
from fleet_2 import document  # noqa: E402
from fleet_2 import new_id  # noqa: E402
from fleet_2 import run_case  # noqa: E402

TASK_S = 6.0
CALM_S = 4.0
SLACK_S = 1.0
RESENT = (0, 502, 504)
"""What makes a client send a best-effort job again; 0 stands for no answer."""


async def play(fleet: Fleet, trouble: bool) -> bool:
    """Cancel a job while its client waits, and send it again if the pages say so."""
    for host in fleet.controls:
        fleet.start_process("control", host)
    first, second = f"{fleet.subnet}.11", f"{fleet.subnet}.12"
    await fleet.add_agent(f"{fleet.subnet}.21", cpu=4_000)
    fleet.start_process("entry", first)
    fleet.start_process("entry", second)
    await fleet.put_config(document(3))
    await fleet.wait_for_service(first)
    await fleet.wait_for_service(second)
    await asyncio.sleep(CALM_S)
    job = new_id()
    posting = asyncio.create_task(_post_until_final(fleet, (first, second), job))
    await asyncio.sleep(0.5)
    if not trouble:
        await posting
        return True
    await _cancel(fleet, second, job)
    acknowledged_s = fleet.record.now_s()
    stopped_by_s = (BOUNDS["cancel_ms"] + BOUNDS["stop-ms"]) / 1_000
    await asyncio.sleep(stopped_by_s + SLACK_S)
    tasks = [task for executor in fleet.executors for task in executor.active]
    at_work = [task for task in tasks if task.startswith(job)]
    after_s = fleet.record.now_s() - acknowledged_s
    fleet.record.line(f"{after_s:.2f} s after the ack, {len(at_work)} tasks run on")
    await posting
    return not at_work


async def _post_until_final(fleet: Fleet, hosts: tuple[str, str], job: str) -> None:
    """Hand a job in, and again while the answer makes a client send it again."""
    for number in range(4):
        host = hosts[number % 2]
        fleet.record.line(f"the client sends POST {job} to {host}")
        answer = await fleet.submit(host, job, seconds=TASK_S, tasks=2, timeout_s=30.0)
        fleet.record.line(f"answer of POST {job} at {host}: {answer}")
        if answer.status not in RESENT:
            return
        await asyncio.sleep(BOUNDS["resend-ms"] / 1_000)


async def _cancel(fleet: Fleet, host: str, job: str) -> None:
    """Send DELETE until it is acknowledged."""
    for _ in range(20):
        answer = await fleet.cancel(host, job)
        fleet.record.line(f"answer of DELETE {job} at {host}: {answer}")
        if answer.status in (200, 410):
            return
        await asyncio.sleep(0.2)
    raise CaseError("the cancel is not acknowledged")


if __name__ == "__main__":
    run_case(FOLDER, play)
