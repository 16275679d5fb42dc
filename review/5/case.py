"""An edge process ends by SIGKILL while executors leave orders unanswered."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import standins as s

FOLDER = Path(__file__).resolve().parent
SHARE = 0.5
WORK_MS = 6_000
TASKS = 40
JOBS = 2


async def case(record: s.Record) -> list[str]:
    """Kill the edge that runs jobs, which their clients then send to another one."""
    fleet, executors = await s.start_fleet(record, edges=2, sides=6, cores=5)
    try:
        first, second = fleet.edges
        client = s.Client(fleet)
        luck = random.Random(5)
        began_s = [float("inf")]

        def hold_order(path: str, body: dict[str, s.Any]) -> float | None:
            del body
            is_order = path in ("/v1/run-start", "/v1/run-stop")
            if not is_order or record.now() < began_s[0] or luck.random() >= SHARE:
                return None
            return luck.uniform(2.0, 12.0)

        for executor in executors:
            executor.hold_order = hold_order
        body = s.job(TASKS, WORK_MS, 1_000)
        jobs = [
            asyncio.create_task(
                client.post_until_answered([first, second], s.new_id(), body)
            )
            for _ in range(JOBS)
        ]
        await asyncio.sleep(2.0)
        if s.TROUBLE:
            began_s[0] = record.now()
            first.kill()
        await asyncio.gather(*jobs)
        return s.overlaps(executors, record.now())
    finally:
        fleet.stop()


if __name__ == "__main__":
    s.play(FOLDER, case)
