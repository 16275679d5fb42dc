"""Logs task placements in batches, and changes of readiness and quarantine."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from verbenaplank.entry import decision_log

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from typing import Any

    from verbenaplank.entry.decision_log import Placement
    from verbenaplank.entry.readiness import Readiness

STATE_LOG_PERIOD_S = 0.1


def log_after_sending(log: Callable[..., None], *values: Any) -> None:
    """Log in the event loop iteration after the next, with some values.

    What this iteration has for an agent is put into the agent's outbox and written
    before, so that no log line delays a start order.
    """
    loop = asyncio.get_running_loop()
    loop.call_soon(loop.call_soon, log, *values)


class PlacementLogBuffer:
    """Collects placements and logs one line per job and event loop iteration."""

    def __init__(self) -> None:
        self._placements: dict[str, list[Placement]] = {}

    def add(self, job_id: str, placement: Placement) -> None:
        """Add a placement; it is logged after the start orders are sent."""
        if not self._placements:
            log_after_sending(self._log)
        self._placements.setdefault(job_id, []).append(placement)

    def _log(self) -> None:
        for job_id, placements in self._placements.items():
            decision_log.tasks_placed(job_id, placements)
        self._placements.clear()


async def log_state_changes_forever(
    is_ready: Callable[[], bool],
    readiness: Callable[[], Readiness],
    quarantined: Callable[[], Collection[str]],
) -> None:
    """Log changes of readiness and quarantine until cancelled."""
    was_ready = False
    known: set[str] = set()
    while True:
        if is_ready() != was_ready:
            was_ready = not was_ready
            now = readiness()
            decision_log.readiness_changed(
                ready=was_ready,
                current=now.current,
                draining=now.draining,
                lagging=now.lagging,
            )
        found = set(quarantined())
        if found != known:
            decision_log.quarantine_changed(
                sorted(found - known), sorted(known - found)
            )
            known = found
        await asyncio.sleep(STATE_LOG_PERIOD_S)
