from __future__ import annotations

import subprocess
import sys
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from contextlib import ExitStack
    from pathlib import Path

PROGRAM = "from verbenaplank.console.control import main; main()"


def start_control(path: Path, stack: ExitStack) -> subprocess.Popen[bytes]:
    """Start a control instance with a settings file; its log goes to a file beside."""
    command = [sys.executable, "-c", PROGRAM, str(path)]
    log = stack.enter_context(path.with_suffix(".log").open("ab"))
    return stack.enter_context(_killed_at_exit(subprocess.Popen(command, stderr=log)))


@contextmanager
def _killed_at_exit(
    process: subprocess.Popen[bytes],
) -> Iterator[subprocess.Popen[bytes]]:
    try:
        yield process
    finally:
        process.kill()
        process.wait()
