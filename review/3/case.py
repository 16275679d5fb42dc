"""Executors crash while tasks run, and start again under their ids."""

from __future__ import annotations

import asyncio
from pathlib import Path

import standins as s

FOLDER = Path(__file__).resolve().parent
DOWN_S = 2.0
FIRST_REPORT_S = 0.5
CALM_S = 6.0
JOBS = 20


async def case(record: s.Record) -> list[str]:
    """Crash both executors of a service, and hand jobs in once they are back."""
    fleet, executors = await s.start_fleet(record, edges=1, sides=2, cores=5)
    try:
        edge = fleet.edges[0]
        client = s.Client(fleet)
        running = [
            asyncio.create_task(client.post(edge, s.new_id(), s.job(6, 3_000, 1_000)))
            for _ in range(2)
        ]
        await asyncio.sleep(0.5)
        if s.TROUBLE:
            await asyncio.gather(*map(crash_and_return, executors))
        await asyncio.gather(*running)
        await asyncio.sleep(CALM_S)
        for _ in range(JOBS):
            await client.post(edge, s.new_id(), s.job(2, 120, 1_000), 5.0)
            await asyncio.sleep(0.3)
        statuses = [status for one in client.statuses.values() for status in one]
        if 200 in statuses:
            return []
        return [f"of {len(statuses)} jobs none is served: {statuses}"]
    finally:
        fleet.stop()


async def crash_and_return(executor: s.Executor) -> None:
    """End an executor, and start it again under the id that it had."""
    await executor.crash()
    await asyncio.sleep(DOWN_S)
    executor.first_report_s = FIRST_REPORT_S
    await executor.start()


if __name__ == "__main__":
    s.play(FOLDER, case)
