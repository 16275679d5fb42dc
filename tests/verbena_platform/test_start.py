from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
LATE_PACKAGES = (
    "opentelemetry",
    "prometheus_client",
    "litestar",
    "uvicorn",
    "httpx",
)


@pytest.mark.parametrize("program", ["agent", "control", "entry"])
def test_program_starts_without_packages_that_serve_only_operators(
    program: str,
) -> None:
    """After a loss of power, imports are most of the time without service."""
    code = (
        f"import sys; sys.path[:0] = {[str(ROOT / 'src'), str(ROOT / 'platform')]!r}\n"
        f"import verbena_platform.{program}\n"
        "print(*sys.modules)"
    )
    command = [sys.executable, "-c", code]
    run = subprocess.run(command, capture_output=True, text=True, check=True)
    packages = {module.partition(".")[0] for module in run.stdout.split()}
    assert packages.isdisjoint(LATE_PACKAGES)
