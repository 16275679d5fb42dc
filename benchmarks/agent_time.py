"""Benchmark of the processor time of the platform's agent program for each task.

It is run as ``python -m benchmarks.agent_time``.  Two checkouts run at the same time
under the same load, so that other work on the machine slows both.
"""

from __future__ import annotations

import asyncio
import logging
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Annotated

import attrs
import typer

from benchmarks.agent_site import AgentSite
from benchmarks.agent_site import Measurement
from benchmarks.agent_site import count_events
from benchmarks.agent_site import median

FIRST_PORT = 23_400
PORTS_PER_SITE = 20
WARM_UP_S = 3.0
HERE = Path(__file__).parents[1]


@attrs.frozen(kw_only=True)
class SiteResult:
    """Measurements of the agent of one checkout.

    Attributes
    ----------
    lost
        Number of tasks without a result.
    """

    name: str
    seconds_to_join: float
    idle: Measurement
    loaded: Measurement
    lost: int
    events: dict[str, int]


def main(
    old: Annotated[Path, typer.Option(help="Checkout to compare with.")],
    new: Path = HERE,
    rate: Annotated[float, typer.Option(help="Tasks per second and agent.")] = 28.0,
    entries: int = 12,
    length_s: float = 20.0,
    idle_s: float = 5.0,
    seed: int = 1,
    profile: Annotated[str, typer.Option(help="Path of a profile of new.")] = "",
) -> None:
    """Measure the agents of two checkouts side by side."""
    logging.getLogger("verbenaplank").setLevel(logging.CRITICAL)
    results = asyncio.run(
        _measure(
            {"old": old, "new": new}, rate, entries, length_s, idle_s, seed, profile
        )
    )
    for result in results:
        print(_format_row(result))
        print("  log lines:", result.events)


async def _measure(
    checkouts: dict[str, Path],
    rate: float,
    entries: int,
    length_s: float,
    idle_s: float,
    seed: int,
    profile: str,
) -> list[SiteResult]:
    with tempfile.TemporaryDirectory() as folder:
        async with AsyncExitStack() as stack:
            sites: dict[str, AgentSite] = {}
            for number, (name, checkout) in enumerate(checkouts.items()):
                site = AgentSite(
                    checkout.resolve(),
                    Path(folder) / name,
                    FIRST_PORT + number * PORTS_PER_SITE,
                    profile if name == "new" else "",
                )
                sites[name] = await stack.enter_async_context(site)
                await site.connect(entries)
            await asyncio.sleep(WARM_UP_S)
            both = sites.values()
            idle = await asyncio.gather(*(site.measure(idle_s) for site in both))
            load_s = WARM_UP_S + length_s
            loads = [
                asyncio.create_task(site.run_load(rate, load_s, seed)) for site in both
            ]
            await asyncio.sleep(WARM_UP_S)
            loaded = await asyncio.gather(*(site.measure(length_s) for site in both))
            await asyncio.gather(*loads)
            lost = await asyncio.gather(*(site.wait_finished() for site in both))
        return [
            SiteResult(
                name=name,
                seconds_to_join=site.seconds_to_join,
                idle=idle[number],
                loaded=loaded[number],
                lost=lost[number],
                events=count_events(site.log_path),
            )
            for number, (name, site) in enumerate(sites.items())
        ]


def _format_row(result: SiteResult) -> str:
    idle, loaded = result.idle, result.loaded
    idle_share = idle.processor_s / idle.wall_s
    above_idle_s = loaded.processor_s - idle_share * loaded.wall_s
    return (
        f"{result.name}: {loaded.tasks} tasks, {result.lost} without a result, "
        f"{1_000 * loaded.processor_s / loaded.tasks:.3f} ms per task in all, "
        f"{1_000 * above_idle_s / loaded.tasks:.3f} ms above idle, "
        f"idle {1_000 * idle_share:.1f} ms per s, "
        f"dispatch to start {median(loaded.start_delays_ms):.2f} ms, "
        f"messages per task {loaded.messages_sent / loaded.tasks:.2f} in, "
        f"{loaded.messages_received / loaded.tasks:.2f} out, "
        f"joined after {result.seconds_to_join:.2f} s"
    )


if __name__ == "__main__":
    typer.run(main)
