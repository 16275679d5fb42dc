"""Start of a long-lived program that fails, such as by a port in use."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from verbenaplank.console.exit_code import ExitCode
from verbenaplank.console.running import run_until_stopped
from verbenaplank.storage.errors import FolderInUseError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from verbenaplank.console.program import Instance


@pytest.mark.parametrize(
    "error",
    [OSError("address already in use"), FolderInUseError("folder is in use")],
)
async def test_program_that_cannot_start_prints_the_cause_and_exits(
    error: Exception, capsys: pytest.CaptureFixture[str]
) -> None:
    @asynccontextmanager
    async def failing() -> AsyncIterator[Instance]:
        raise error
        yield

    with pytest.raises(SystemExit) as ended:
        await run_until_stopped(failing())

    assert ended.value.code == ExitCode.USAGE
    assert str(error) in capsys.readouterr().err
