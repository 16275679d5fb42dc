"""Programs of the system as processes of their own, with small limits."""

from __future__ import annotations

import os
import re
import resource
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Self

from demo.processes import SCRIPTS_FOLDER

if TYPE_CHECKING:
    from collections.abc import Sequence

ROOT = Path(__file__).resolve().parents[2]
MAX_DESCRIPTORS = 512
MEMORY_MB = 96
"""Memory of a machine, lowered from the 168 MB of the users' smallest machine."""

STANDALONE_MEMORY_MB = 168
"""Memory of the users' smallest machine; all programs share it in one process."""

KIB_PER_MB = 1_000_000 / 1024
STOP_TIMEOUT_S = 20.0

SETTINGS = """\
node = "{name}"
role = "{name}"
ip = "{host}"
zone = "kochi"
region = "kerala"
internal-ports = [{port}, {last_port}]
seeds = ["{control_host}:{api_port}"]
bootstrap = true
data-dir = "{folder}"
[zones]
kochi = "kerala"
[listen-addrs]
frontend = "{host}:{ingress_port}"
readiness = "{host}:{readiness_port}"
control = "{host}:{api_port}"
[limits]
memory-mb = {memory_mb}
max-fds = {max_descriptors}
[fault-tolerance]
machines = 0
[bounds]
grace-s = 6
hold-max-ms = 1000
"""


class ProgramProcess:
    """A program that runs as a process; a context manager, which kills it on exit."""

    def __init__(
        self, command: Sequence[str], log_path: Path, environment: dict[str, str]
    ) -> None:
        self._log = log_path.open("wb")
        self._process = subprocess.Popen(
            command,
            stdout=self._log,
            stderr=self._log,
            env={**os.environ, **environment},
            preexec_fn=_limit_descriptors,
        )

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self._process.kill()
        self._process.wait(STOP_TIMEOUT_S)
        self._log.close()

    @property
    def is_running(self) -> bool:
        return self._process.poll() is None

    @property
    def peak_memory_mb(self) -> float:
        """Return the largest resident memory of the process so far."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        assert found is not None
        return int(found[1]) / KIB_PER_MB

    @property
    def open_descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))


def start_platform_program(
    role: str, host: str, control_host: str, first_port: int, folder: Path
) -> ProgramProcess:
    """Start one of the platform's programs at a loopback address."""
    settings = SETTINGS.format(
        name=role,
        host=host,
        control_host=control_host,
        port=first_port,
        last_port=first_port + 9,
        api_port=first_port + 10,
        ingress_port=first_port + 11,
        readiness_port=first_port + 12,
        folder=folder / role,
        memory_mb=MEMORY_MB,
        max_descriptors=MAX_DESCRIPTORS,
    )
    path = folder / f"{role}.toml"
    path.write_text(settings)
    (folder / role).mkdir()
    command = [sys.executable, str(ROOT / "platform" / "verbena.py"), role]
    environment = {"VERBENAPLANK_CONFIG": str(path)}
    return ProgramProcess(command, folder / f"{role}.log", environment)


def start_standalone(http_port: int, control_port: int, folder: Path) -> ProgramProcess:
    """Start all programs in one process, with the product's own interfaces."""
    ports = ("--http-port", str(http_port), "--control-port", str(control_port))
    command = [str(SCRIPTS_FOLDER / "verbena"), "standalone", *ports]
    return ProgramProcess(command, folder / "standalone.log", {})


def _limit_descriptors() -> None:
    limits = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
    resource.setrlimit(resource.RLIMIT_NOFILE, limits)
