"""Start of a long-lived program from its settings file."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar

from verbenaplank.console.exit_code import ExitCode
from verbenaplank.console.running import Instance
from verbenaplank.console.running import run_until_stopped
from verbenaplank.observability.logs import configure_logging
from verbenaplank.settings.checker import load_settings
from verbenaplank.settings.errors import SettingsError

if TYPE_CHECKING:
    from verbenaplank.settings.common import LoggingSettings


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
