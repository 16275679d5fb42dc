"""An edge process ends by SIGKILL shortly after it has connected to the agents."""

from __future__ import annotations

import asyncio
from pathlib import Path

import standins as s

FOLDER = Path(__file__).resolve().parent
WORK_MS = 4_000
RUNNING_S = 0.3
"""Time from the start of the tasks to the second kill of the edge process."""


async def case(record: s.Record) -> list[str]:
    """Kill an edge, start it again, hand a job in there and kill it again."""
    fleet, executors = await s.start_fleet(record, edges=2, sides=3, cores=5)
    try:
        first, second = fleet.edges
        client = s.Client(fleet)
        if s.TROUBLE:
            first.kill()
            await asyncio.sleep(0.5)
            first.start()
        await s.wait_until(lambda: s.is_ready(first), 20, "not ready again", 0.02)
        job_id, body = s.new_id(), s.job(4, WORK_MS, 6_200)
        handed_in = asyncio.create_task(
            client.post_until_answered([first, second], job_id, body)
        )
        await s.wait_until(lambda: started(executors), 5, "no task started", 0.01)
        await asyncio.sleep(RUNNING_S)
        if s.TROUBLE:
            first.kill()
        status = await handed_in
        if status != 200:
            raise s.CannotRunError(f"the job ended with {status}")
        return s.overlaps(executors, record.now())
    finally:
        fleet.stop()


async def started(executors: list[s.Executor]) -> bool:
    """Return whether a task has started."""
    return any(executor.runs for executor in executors)


if __name__ == "__main__":
    s.play(FOLDER, case)
