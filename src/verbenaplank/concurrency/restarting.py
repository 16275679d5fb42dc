"""Keeps a long-running task alive after an unexpected error."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

RESTART_PAUSE_S = 1.0
"""Pause before the work starts again, which also bounds the log lines."""

logger = logging.getLogger(__name__)

Work = Callable[[], Coroutine[Any, Any, None]]


async def run_with_restarts(work: Work) -> None:
    """Run work until it returns; log an unexpected error and start it again.

    A process whose only worker task has ended would call itself ready and do nothing.
    """
    while True:
        try:
            await work()
        except Exception:
            logger.exception(
                "task restarted after an unexpected error",
                extra={"coroutine": getattr(work, "__qualname__", "")},
            )
            await asyncio.sleep(RESTART_PAUSE_S)
        else:
            return


def create_restarting_task(work: Work) -> asyncio.Task[None]:
    """Return a task that runs work, and starts it again after an unexpected error."""
    return asyncio.create_task(run_with_restarts(work))
