"""Replays recorded patterns of load; the files say what each arrival is."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

from verbenaplank.overload.admission import overload_refusal
from verbenaplank.overload.expected_wait import ServiceLoad

REPLAYS = sorted((Path(__file__).parent / "replays").glob("*.toml"))


def arrivals() -> list[Any]:
    found = []
    for path in REPLAYS:
        replay = tomllib.loads(path.read_text())
        for arrival in replay["arrival"]:
            case = f"{path.stem}: {arrival['what']}"
            found.append(pytest.param(replay["slack_s"], arrival, id=case))
    return found


@pytest.mark.parametrize(("slack_s", "arrival"), arrivals())
def test_replayed_arrival_is_admitted_or_refused(
    slack_s: float, arrival: dict[str, Any]
) -> None:
    load = ServiceLoad(
        queued_core_s=arrival["queued_core_s"],
        occupied_cores=arrival["occupied_cores"],
        equal_share_cores=arrival["equal_share_cores"],
        waiting_for_s=arrival["waiting_for_s"],
    )
    refusal = overload_refusal(load, slack_s)
    assert (refusal is None) is arrival["admitted"]
    if refusal is not None:
        assert refusal.wait_s > 0.0
