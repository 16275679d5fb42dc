"""Manager of local processes that log to files and listen on free ports."""

from __future__ import annotations

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import ExitStack
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import httpx

from demo.settings import HOST

if TYPE_CHECKING:
    from collections.abc import Iterator

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0
POLL_PERIOD_S = 0.05
FIRST_PORT = 10_000
PORT_BLOCKS = 64
PORTS_PER_BLOCK = 340
SCRIPTS_FOLDER = Path(sys.executable).parent


class ProcessNotReadyError(Exception):
    """A process ended before it was ready, or was not ready in time."""


def free_port() -> int:
    """Return a free port of the block of ports that belongs to this process.

    The port was free when it was checked, and this process returns it again only
    after all others of the block. The blocks lie below the ports that the system
    chooses for outgoing connections. The block depends on the process id, so that
    test processes that run at the same time do not choose the same ports.

    Raises
    ------
    OSError
        If no port of the block is free.
    """
    for port in itertools.islice(_PORTS, PORTS_PER_BLOCK):
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                listener.bind((HOST, port))
            except OSError:
                continue
            return port
    raise OSError("no port in the block of ports of this process is free")


def _ports_of_this_process() -> Iterator[int]:
    first = FIRST_PORT + os.getpid() % PORT_BLOCKS * PORTS_PER_BLOCK
    yield from range(first, first + PORTS_PER_BLOCK)


_PORTS = itertools.cycle(_ports_of_this_process())


class ProcessManager:
    """Starts, signals and stops named processes, each with its own log file.

    It is a context manager, which kills the processes that still run on exit.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._logs = ExitStack()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._commands: dict[str, tuple[str, ...]] = {}

    def __enter__(self) -> ProcessManager:
        """Return the manager itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """Kill the processes that still run, and close the log files."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        self._logs.close()

    def start(self, name: str, *command: str) -> None:
        """Start a process whose output and errors go to ``NAME.log``."""
        log = self._logs.enter_context(self.log_path(name).open("ab"))
        environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
        self._commands[name] = command
        self._processes[name] = subprocess.Popen(
            command, stdout=log, stderr=log, env=environment
        )

    def start_program(self, name: str, program: str, settings: Path) -> None:
        """Start an installed program of this project with a settings file."""
        self.start(name, str(SCRIPTS_FOLDER / program), str(settings))

    def restart(self, name: str) -> None:
        """Start an ended process again with the same command."""
        self.start(name, *self._commands[name])

    def kill(self, name: str) -> None:
        """Send SIGKILL to a process and wait until it has ended."""
        self.signal(name, signal.SIGKILL)
        self.wait(name)

    def log_path(self, name: str) -> Path:
        """Return the path of the log file of a process."""
        return self._folder / f"{name}.log"

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes[name].pid

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    def is_running(self, name: str) -> bool:
        """Return whether a process is still running."""
        return self._processes[name].poll() is None

    def stop(self, *names: str) -> dict[str, int]:
        """Send SIGTERM to all named processes and return their exit codes."""
        for name in names:
            self.signal(name, signal.SIGTERM)
        return {name: self.wait(name) for name in names}

    def wait(self, name: str) -> int:
        """Wait for a process to end and return its exit code.

        Raises
        ------
        subprocess.TimeoutExpired
            If the process has not ended after ``STOP_TIMEOUT_S`` seconds.
        """
        return self._processes[name].wait(STOP_TIMEOUT_S)

    def wait_ready(self, name: str, url: str) -> None:
        """Wait until a process answers HTTP 200 at a URL.

        Raises
        ------
        ProcessNotReadyError
            If the process ended, or was not ready after ``READY_TIMEOUT_S``
            seconds. The message holds the process's log.
        """
        end_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_s:
            if not self.is_running(name):
                break
            if _returns_ok(url):
                return
            time.sleep(POLL_PERIOD_S)
        log = self.log_path(name).read_text(errors="replace")
        raise ProcessNotReadyError(f"{name} is not ready at {url}; its log:\n{log}")


def fetch_json(url: str) -> Any:
    """Fetch a URL and return its decoded JSON body.

    Raises
    ------
    httpx.HTTPError
        If the request fails or the status is an error.
    """
    response = httpx.get(url, trust_env=False)
    response.raise_for_status()
    return json.loads(response.content)


def _returns_ok(url: str) -> bool:
    try:
        return httpx.get(url, trust_env=False).status_code == httpx.codes.OK
    except httpx.HTTPError:
        return False
