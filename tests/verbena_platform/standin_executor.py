"""Stand-in for the platform's executor."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Any

import httpx
import msgspec

from verbenaplank.http.handler_server import HandlerServer
from verbenaplank.http.limits import HttpLimits
from verbenaplank.http.messages import Request
from verbenaplank.http.messages import Response

if TYPE_CHECKING:
    from verbenaplank.rpc.address import Address

LIMITS = HttpLimits(max_body_bytes=1024 * 1024)
POLL_S = 0.005


class StandInExecutor:
    """Serves an executor's HTTP calls and sends status reports to an agent.

    Each run lasts ``task_s``.  Fencing tokens are checked; leases never expire.
    """

    def __init__(self, address: Address, service: str, task_s: float = 0.05) -> None:
        self.address = address
        self.service = service
        self.task_s = task_s
        self.server_id = "i-1"
        self.born = 1_700
        self.sequence = 0
        self.fence = 0
        self.starts: list[dict[str, Any]] = []
        self.active: dict[tuple[str, int], float] = {}
        self.ends: list[list[Any]] = []
        self.began_s = time.monotonic()

    def restart(self) -> None:
        """Begin another life under the same id, in which the clock starts anew."""
        self.born += 100
        self.began_s = time.monotonic()
        self.sequence = self.fence = 0
        self.active.clear()
        self.ends.clear()

    def server(self) -> HandlerServer:
        return HandlerServer(self._handle, lambda: LIMITS, self.address, 1.0)

    async def report(
        self, agent: Address, state: str = "ready", server_id: str = "", **changes: Any
    ) -> None:
        """Send a status report, or one of another writer if it has changes."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": str(self.address),
            "state": state,
            "sequence": self.sequence,
            "born": self.born,
            "capacity": {"cpu": 4_000, "mem-mb": 4_096, "gpu": 0},
            "labels": ["a", "r1-1"],
            **changes,
        }
        url = f"http://{agent}/v1/instances/{server_id or self.server_id}"
        async with httpx.AsyncClient(trust_env=False) as client:
            (await client.put(url, json=body)).raise_for_status()

    def on_start(self, body: dict[str, Any]) -> None:
        """Do nothing; called for each start."""

    def clock_ms(self) -> int:
        return round((time.monotonic() - self.began_s) * 1_000) + 1_000

    async def _handle(self, request: Request) -> Response:
        body = msgspec.json.decode(request.body)
        expected = request.headers["verbenaplank-expect-instance"]
        if expected != self.server_id:
            return Response(status=421)
        if body["fence"] < self.fence:
            return self._answer(409, reason="fence")
        self.fence = body["fence"]
        if request.path == "/v1/hold":
            return await self._hold(body)
        name = (body["task"], body["run-id"])
        if request.path == "/v1/run-start":
            self.starts.append(body)
            self.on_start(body)
            self.active[name] = time.monotonic() + self.task_s
        elif self.active.pop(name, None) is not None:
            self.ends.append([len(self.ends) + 1, *name, "stopped", ""])
        return self._answer(200)

    async def _hold(self, body: dict[str, Any]) -> Response:
        until_s = time.monotonic() + body.get("wait-ms", 0) / 1_000
        while True:
            self._finish_due()
            listed = [end for end in self.ends if end[0] > body["last-seen"]]
            if listed or time.monotonic() >= until_s:
                break
            await asyncio.sleep(POLL_S)
        rows = [[*name, "", 50, 0] for name in self.active]
        return self._answer(200, active=rows, finished=listed)

    def _finish_due(self) -> None:
        now_s = time.monotonic()
        for name, due_s in list(self.active.items()):
            if due_s <= now_s:
                del self.active[name]
                self.ends.append([len(self.ends) + 1, *name, "done", ""])

    def _answer(self, status: int, **fields: Any) -> Response:
        body = {"clock-ms": self.clock_ms(), "born": self.born, **fields}
        return Response(status=status, body=msgspec.json.encode(body))
