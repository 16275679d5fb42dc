"""Logs tasks that end by an error while nobody waits for them."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    import asyncio

logger = logging.getLogger(__name__)


def log_unexpected_end(task: asyncio.Task[Any]) -> None:
    """Log the error that ended a task; to be passed to ``add_done_callback``.

    asyncio itself logs such an error only once the task is garbage collected, which is
    never while the owner of a long-running task refers to it.
    """
    if task.cancelled() or task.exception() is None:
        return
    logger.critical(
        "task ended by an unexpected error",
        exc_info=task.exception(),
        extra={"coroutine": getattr(task.get_coro(), "__qualname__", "")},
    )
