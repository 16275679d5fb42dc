from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from system.running import RunningFleet
from system.running import open_fleet

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[RunningFleet]:
    with open_fleet(tmp_path) as running:
        yield running
