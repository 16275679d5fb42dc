"""Runs a stand-in executor as a process of its own, which a task can crash.

Arguments: the executor's address, its agent's address, the service, and a number that
differs between two lives of the executor.  Each start is printed as one line.
"""

from __future__ import annotations

import asyncio
import os
import sys
from contextlib import suppress
from typing import Any

import httpx
from standin_executor import StandInExecutor

from verbenaplank.rpc.address import parse_address

REPORT_PERIOD_S = 0.2
DEADLY = "deadly"


class CrashingExecutor(StandInExecutor):
    """Ends its process, without a reply, when a deadly task starts."""

    def on_start(self, body: dict[str, Any]) -> None:
        """Print the start, and crash if its task says so."""
        print(body["task"], body["spec"], flush=True)
        if body["spec"] == DEADLY:
            os._exit(1)


async def main() -> None:
    """Serve and report until killed."""
    own, agent = parse_address(sys.argv[1]), parse_address(sys.argv[2])
    executor = CrashingExecutor(own, sys.argv[3])
    executor.server_id = f"i-{sys.argv[4]}"
    executor.born = int(sys.argv[4])
    async with executor.server():
        while True:
            with suppress(httpx.HTTPError):
                await executor.report(agent)
            await asyncio.sleep(REPORT_PERIOD_S)


if __name__ == "__main__":
    asyncio.run(main())
