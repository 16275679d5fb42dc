"""Starts the roles as processes and stops them again."""

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
    """A process ended, or did not get ready in time."""


def free_port() -> int:
    """Return a port that was free a moment ago and is not given out again here.

    The ports lie below those that the system picks for outgoing connections, in
    a block that depends on this process, so that test processes side by side
    do not meet.
    """
    for port in itertools.islice(_PORTS, PORTS_PER_BLOCK):
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                listener.bind((HOST, port))
            except OSError:
                continue
            return port
    raise OSError("no port of this process's block is free")


def _ports_of_this_process() -> Iterator[int]:
    first = FIRST_PORT + os.getpid() % PORT_BLOCKS * PORTS_PER_BLOCK
    yield from range(first, first + PORTS_PER_BLOCK)


_PORTS = itertools.cycle(_ports_of_this_process())


class ProcessManager:
    """Processes that were started here, each with a log file of its own."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._logs = ExitStack()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._commands: dict[str, tuple[str, ...]] = {}

    def __enter__(self) -> ProcessManager:
        """Return the collection itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """Kill what is still running."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        self._logs.close()

    def start(self, name: str, *command: str) -> None:
        """Start a process; standard error goes to ``NAME.log``."""
        log = self._logs.enter_context(self.log_path(name).open("ab"))
        environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
        self._commands[name] = command
        self._processes[name] = subprocess.Popen(
            command, stdout=log, stderr=log, env=environment
        )

    def start_program(self, name: str, program: str, settings: Path) -> None:
        """Start one of our programs with its settings file."""
        self.start(name, str(SCRIPTS_FOLDER / program), str(settings))

    def restart(self, name: str) -> None:
        """Start a process that ended again, with the same command."""
        self.start(name, *self._commands[name])

    def kill(self, name: str) -> None:
        """Kill a process at once and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.wait(name)

    def log_path(self, name: str) -> Path:
        """Return the log file of a process."""
        return self._folder / f"{name}.log"

    def pid(self, name: str) -> int:
        """Return the process id."""
        return self._processes[name].pid

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    def is_running(self, name: str) -> bool:
        """Return whether a process has not ended."""
        return self._processes[name].poll() is None

    def stop(self, *names: str) -> dict[str, int]:
        """Ask processes to stop, together, and return their exit codes."""
        for name in names:
            self.signal(name, signal.SIGTERM)
        return {name: self.wait(name) for name in names}

    def wait(self, name: str) -> int:
        """Wait for a process to end and return its exit code."""
        return self._processes[name].wait(STOP_TIMEOUT_S)

    def wait_ready(self, name: str, url: str) -> None:
        """Wait until a process answers 200 at a URL.

        Raises
        ------
        ProcessEndedError
            If the process ended, or did not get ready in time.
        """
        end_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_s:
            if not self.is_running(name):
                break
            if _answers(url):
                return
            time.sleep(POLL_PERIOD_S)
        log = self.log_path(name).read_text(errors="replace")
        raise ProcessNotReadyError(f"{name} is not ready at {url}; its log:\n{log}")


def fetch_json(url: str) -> Any:
    """Return the decoded body of a URL."""
    response = httpx.get(url, trust_env=False)
    response.raise_for_status()
    return json.loads(response.content)


def _answers(url: str) -> bool:
    try:
        return httpx.get(url, trust_env=False).status_code == httpx.codes.OK
    except httpx.HTTPError:
        return False
