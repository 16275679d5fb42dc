"""Signal handlers of a long-lived program and its graceful shutdown."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from contextlib import AsyncExitStack
from typing import Protocol

from verbenaplank.console.exit_code import ExitCode
from verbenaplank.settings.errors import SettingsError
from verbenaplank.storage.errors import StorageError

GC_THRESHOLD = 10_000
"""Number of new container objects after which cycles are collected."""

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

logger = logging.getLogger(__name__)


class Instance(Protocol):
    """A running instance that can be stopped gracefully."""

    async def drain(self) -> None:
        """Refuse new work and finish what is in progress."""


def log_ignored_reload() -> None:
    """Log that SIGHUP does not reload the settings."""
    logger.info("SIGHUP ignored; restart the program to apply changed settings")


async def run_until_stopped(
    context: AbstractAsyncContextManager[Instance],
    on_reload: Callable[[], None] = log_ignored_reload,
) -> None:
    """Run an instance until SIGTERM or SIGINT, then drain it.

    Parameters
    ----------
    context
        Starts the instance on entry and closes it on exit.
    on_reload
        Called at each SIGHUP.

    Raises
    ------
    SystemExit
        With ``ExitCode.USAGE`` if the instance cannot start; the cause is printed to
        standard error.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, on_reload)
    async with AsyncExitStack() as stack:
        instance = await _enter_or_exit(stack, context)
        reduce_garbage_collection()
        logger.info("serving")
        await stopped.wait()
        logger.info("draining")
        await instance.drain()
    logger.info("stopped")


def reduce_garbage_collection() -> None:
    """Leave what the start created out of later collections, and collect less often.

    Messages create many objects that reference counting frees; scanning the modules
    for cycles with every few hundred of them takes processor time for nothing.
    """
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)


async def _enter_or_exit(
    stack: AsyncExitStack, context: AbstractAsyncContextManager[Instance]
) -> Instance:
    try:
        return await stack.enter_async_context(context)
    except (OSError, SettingsError, StorageError) as error:
        print(f"cannot start: {error}", file=sys.stderr)
        raise SystemExit(ExitCode.USAGE) from error
