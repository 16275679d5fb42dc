"""Crowds of clients that send what no ordinary client sends, on every HTTP port.

Each crowd sends, and stays connected while the program is examined.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from unruly_clients.checks import check_crowd
from unruly_clients.crowd import send_request_at_the_limits
from unruly_clients.requests import JOB_KINDS
from unruly_clients.requests import KINDS
from unruly_clients.requests import SMALL_VALUES
from unruly_clients.sites import open_port

if TYPE_CHECKING:
    from pathlib import Path

    from unruly_clients.requests import ClientKind

PORTS_WITH_BODIES = (
    "entry.callers",
    "control.operators",
    "agent.reports",
    "standalone.callers",
    "standalone.operators",
)
PORTS_WITHOUT_BODIES = ("entry.readiness", "entry.metrics", "control.metrics")
KINDS_WITHOUT_BODIES = {
    "short_header_lines",
    "endless_header_line",
    "endless_empty_lines",
    "pipelined_requests",
    "silent_connections",
}
ANSWERS_TO_PADDED_BODIES = {200, 400, 401}
"""Every port reads the padded body; not every one of them can use it."""

CASES = [
    pytest.param(port, kind, id=f"{port}-{kind.name}")
    for port in PORTS_WITH_BODIES + PORTS_WITHOUT_BODIES
    for kind in (*KINDS, SMALL_VALUES)
    if port in PORTS_WITH_BODIES or kind.name in KINDS_WITHOUT_BODIES
]
CASES += [
    pytest.param("entry.callers", kind, id=f"entry.callers-{kind.name}")
    for kind in JOB_KINDS
]


@pytest.mark.parametrize(("port_name", "kind"), CASES)
async def test_program_survives_a_crowd(
    port_name: str, kind: ClientKind, tmp_path: Path
) -> None:
    await check_crowd(port_name, kind, tmp_path)


@pytest.mark.parametrize("port_name", PORTS_WITH_BODIES)
async def test_single_request_at_the_limits_is_answered(
    port_name: str, tmp_path: Path
) -> None:
    """Guards against limits that an ordinary client meets.

    The head is as long as the users' limit permits, and so is the body.
    """
    async with open_port(port_name, tmp_path) as port:
        status = await send_request_at_the_limits(port.target)
        assert status in ANSWERS_TO_PADDED_BODIES
