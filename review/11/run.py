"""A machine of the core is replaced as planned; then two others lose their disks."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet_3 import Fleet  # noqa: E402
from fleet_3 import desired_state  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
FORMED_S = 8.0
CATCH_UP_S = 4.0
MARGIN_S = 0.3
READ_FOR_S = 30.0


async def replace_one(fleet: Fleet) -> None:
    """Add an empty machine, and end another one after ``catch-up-s``."""
    new = fleet.host(6)
    fleet.controls.append(new)
    fleet.later.add(new)
    fleet.spawn(new)
    await asyncio.sleep(CATCH_UP_S + 1.0)
    old = fleet.controls[4]
    fleet.signal(old, signal.SIGTERM)
    await asyncio.to_thread(fleet.processes[old].wait)
    fleet.tape.add(f"{old} has ended and is gone for good")
    fleet.controls.remove(old)


async def read_until(fleet: Fleet, version: int) -> bool:
    """Return whether every control instance reads a version back in time."""
    until_s = fleet.tape.now_s() + READ_FOR_S
    while fleet.tape.now_s() < until_s:
        versions = await fleet.read_back()
        if all(read == version for read in versions.values()):
            return True
        await asyncio.sleep(1.0)
    return False


async def main() -> int:
    """Return 1 if the acknowledged desired state is gone, 0 if it is read back."""
    async with Fleet(controls=5, entries=0, agents=0) as fleet:
        if await fleet.put(desired_state(3)) != 200:
            return 2
        await asyncio.sleep(FORMED_S)
        await replace_one(fleet)
        # The machine that is gone counts as lost for no longer than this, however
        # the time of its successor is counted.
        await asyncio.sleep(CATCH_UP_S + MARGIN_S)
        if await fleet.put(desired_state(7)) != 200:
            return 2
        if TROUBLE:
            lost = fleet.controls[2:4]
            for host in lost:
                fleet.lose_disk(host)
            for host in lost:
                fleet.spawn(host)
        held = await read_until(fleet, 7)
        fleet.tape.add(f"rule held: {held}")
        fleet.tape.write(FOLDER / "record.txt")
    return 0 if held else 1


if __name__ == "__main__":
    raise SystemExit(asyncio.run(main()))
