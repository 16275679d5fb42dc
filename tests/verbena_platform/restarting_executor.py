"""Executor that starts again under its id, and carries some orders out late."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from standin_executor import StandInExecutor

from verbenaplank.http.messages import Response

if TYPE_CHECKING:
    from verbenaplank.http.messages import Request
    from verbenaplank.rpc.address import Address

MAX_LATE_S = 1.5
UNANSWERED_S = 0.3
"""Time after which a call without an answer has certainly been given up."""

ORDERS = ("/v1/run-start", "/v1/run-stop")


class RestartingExecutor(StandInExecutor):
    """Checks run numbers and leases, and notes two runs of one task at a time.

    A share of the orders gets no answer and is carried out up to ``MAX_LATE_S``
    later, also in a later life.
    """

    def __init__(
        self, address: Address, service: str, seed: int, late_share: float
    ) -> None:
        super().__init__(address, service, task_s=0.3)
        self.random = random.Random(seed)
        self.late_share = late_share
        self.highest: dict[str, int] = {}
        self.lease_until_ms = 0
        self.overlaps: list[tuple[str, int]] = []
        self._late: set[asyncio.Task[Response]] = set()

    def restart(self) -> None:
        super().restart()
        self.highest.clear()
        self.lease_until_ms = 0

    async def _handle(self, request: Request) -> Response:
        if request.path in ORDERS and self.random.random() < self.late_share:
            late = asyncio.create_task(self._carry_out_late(request))
            self._late.add(late)
            late.add_done_callback(self._late.discard)
            await asyncio.sleep(UNANSWERED_S)
            return Response(status=500)
        return await self._carry_out(request)

    async def _carry_out_late(self, request: Request) -> Response:
        await asyncio.sleep(self.random.uniform(0.0, MAX_LATE_S))
        return await self._carry_out(request)

    async def _carry_out(self, request: Request) -> Response:
        self._expire_lease()
        body = msgspec.json.decode(request.body)
        if request.path == "/v1/run-stop" and body["fence"] >= self.fence:
            number = max(self.highest.get(body["task"], 0), body["run-id"])
            self.highest[body["task"]] = number
        if request.path != "/v1/run-stop" and body["fence"] >= self.fence:
            deadline_ms = body.get("deadline-ms", 0)
            self.lease_until_ms = max(self.lease_until_ms, deadline_ms)
        if request.path == "/v1/run-start" and body["fence"] >= self.fence:
            return await self._start(request, body)
        return await super()._handle(request)

    async def _start(self, request: Request, body: dict[str, Any]) -> Response:
        self.fence = body["fence"]
        task, number = body["task"], body["run-id"]
        if body["deadline-ms"] <= self.clock_ms():
            return self._answer(409, reason="late")
        if (task, number) in self.active:
            return self._answer(200)
        if number <= self.highest.get(task, 0):
            return self._answer(409, reason="old")
        self.highest[task] = number
        if any(active == task for active, _ in self.active):
            self.overlaps.append((task, number))
        return await super()._handle(request)

    def _expire_lease(self) -> None:
        if self.active and self.clock_ms() > self.lease_until_ms:
            for name in list(self.active):
                del self.active[name]
                self.ends.append([len(self.ends) + 1, *name, "lapsed", ""])
