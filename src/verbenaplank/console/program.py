"""Start of a long-lived program, its signal handlers and its graceful shutdown."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar

from verbenaplank.console.exit_code import ExitCode
from verbenaplank.observability.logs import configure_logging
from verbenaplank.settings.checker import SettingsError
from verbenaplank.settings.checker import load_settings
from verbenaplank.storage.errors import StorageError

if TYPE_CHECKING:
    from verbenaplank.settings.common import LoggingSettings

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

logger = logging.getLogger(__name__)


class ProgramSettings(Protocol):
    """Settings that every long-lived program has."""

    @property
    def instance_id(self) -> str:
        """Return the id of the instance."""

    @property
    def data_centre(self) -> str:
        """Return the data centre in which the instance runs."""

    @property
    def logging(self) -> LoggingSettings:
        """Return the logging settings."""


class Instance(Protocol):
    """A running instance that can be stopped gracefully."""

    async def drain(self) -> None:
        """Refuse new work and finish what is in progress."""


Settings = TypeVar("Settings", bound=ProgramSettings)
InstanceFactory = Callable[[Settings], AbstractAsyncContextManager[Instance]]


def run_program(
    path: Path, settings_type: type[Settings], build: InstanceFactory[Settings]
) -> None:
    """Load settings, run a program until SIGTERM or SIGINT, then drain it.

    Parameters
    ----------
    path
        Settings file.
    settings_type
        Class of the program's settings.
    build
        Creates the instance from its settings.

    Raises
    ------
    SystemExit
        With ``ExitCode.USAGE`` if the settings are invalid or the program cannot
        start.
    """
    settings = load_or_exit(path, settings_type)
    configure_logging(
        settings.instance_id, settings.data_centre, settings.logging.level
    )
    asyncio.run(run_until_stopped(build(settings)))


def load_or_exit(path: Path, settings_type: type[Settings]) -> Settings:
    """Load settings, or print every fault to standard error and exit.

    Raises
    ------
    SystemExit
        With ``ExitCode.USAGE`` if the settings are invalid.
    """
    try:
        return load_settings(path, settings_type)
    except SettingsError as error:
        print(error, file=sys.stderr)
        raise SystemExit(ExitCode.USAGE) from error


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
        logger.info("serving")
        await stopped.wait()
        logger.info("draining")
        await instance.drain()
    logger.info("stopped")


async def _enter_or_exit(
    stack: AsyncExitStack, context: AbstractAsyncContextManager[Instance]
) -> Instance:
    try:
        return await stack.enter_async_context(context)
    except (OSError, SettingsError, StorageError) as error:
        print(f"cannot start: {error}", file=sys.stderr)
        raise SystemExit(ExitCode.USAGE) from error
