"""Executors crash in turn while tasks run, and start again under their ids."""

from __future__ import annotations

import asyncio
from pathlib import Path

import standins as s

FOLDER = Path(__file__).resolve().parent
EXECUTORS = 7
"""One of them is less than 0.15 of the service."""

EXECUTORS_FIRST_S = 1.0
DOWN_S = 2.0
GAP_S = 0.8
DEADLINE_S = 60.0
"""How long the client of the running tasks waits for its answer."""

FIRST_REPORT_S = 0.3
CALM_S = 6.0
JOBS = 12


async def case(record: s.Record) -> list[str]:
    """Crash one executor after the other, and hand jobs in once all are back."""
    fleet, executors = await s.start_fleet(
        record,
        edges=1,
        sides=EXECUTORS,
        cores=5,
        cpu=8_000,
        executors_first_s=EXECUTORS_FIRST_S,
    )
    try:
        edge = fleet.edges[0]
        client = s.Client(fleet)
        body = s.job(EXECUTORS, 40_000, 6_200)
        running = asyncio.create_task(client.post(edge, s.new_id(), body, DEADLINE_S))
        await asyncio.sleep(1.0)
        for executor in executors:
            if not executor.active:
                raise s.CannotRunError(f"no task runs on {executor.name}")
            await crash_and_return(executor)
        await running
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
    if s.TROUBLE:
        await executor.crash()
    await asyncio.sleep(DOWN_S)
    if s.TROUBLE:
        executor.first_report_s = FIRST_REPORT_S
        await executor.start()
    await asyncio.sleep(GAP_S)


if __name__ == "__main__":
    s.play(FOLDER, case)
