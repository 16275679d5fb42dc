"""Status reports of another writer, whose address cannot be read."""

from __future__ import annotations

import asyncio
from pathlib import Path

import standins as s

FOLDER = Path(__file__).resolve().parent
CALM_S = 8.0
JOBS = 12


async def case(record: s.Record) -> list[str]:
    """Send each agent one such report, then hand jobs in while executors report."""
    fleet, executors = await s.start_fleet(record, edges=1, sides=2, cores=5)
    try:
        edge = fleet.edges[0]
        client = s.Client(fleet)
        if s.TROUBLE:
            for executor in executors:
                await send_foreign_report(executor)
        await asyncio.sleep(CALM_S)
        for _ in range(JOBS):
            await client.post(edge, s.new_id(), s.job(2, 120, 6_200))
            await asyncio.sleep(0.5)
        statuses = [status for one in client.statuses.values() for status in one]
        if 200 in statuses:
            return []
        return [f"of {len(statuses)} jobs none is served: {statuses}"]
    finally:
        fleet.stop()


async def send_foreign_report(executor: s.Executor) -> None:
    """Send a report that names no executor: its service and address are unknown."""
    host, _ = executor.side.address(s.APP)
    body = executor.report(
        service="xq55", address=f"{host}:808080", sequence=1, born=executor.born - 1
    )
    status = await executor.send_report(body, "i-0f0f0f0f")
    executor.record.add(f"foreign report to {executor.side.name}: {status}")


if __name__ == "__main__":
    s.play(FOLDER, case)
