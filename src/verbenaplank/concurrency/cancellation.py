"""Cancels a task and waits for its end."""

from __future__ import annotations

import asyncio
from typing import Any


async def cancel_and_wait(
    task: asyncio.Task[Any], *expected: type[BaseException]
) -> None:
    """Cancel a task and wait until it has ended.

    Suppressing ``CancelledError`` around ``await task`` would also suppress a
    cancellation of the caller that arrives meanwhile.  Here it is raised.

    Parameters
    ----------
    expected
        Errors with which the task may end.

    Raises
    ------
    Exception
        The error with which the task ended, unless it is an expected one.
    """
    task.cancel()
    await asyncio.wait([task])
    if task.cancelled():
        return
    error = task.exception()
    if error is not None and not isinstance(error, expected):
        raise error
