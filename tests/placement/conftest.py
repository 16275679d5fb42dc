from __future__ import annotations

import pytest
from tests.placement.fleet_driver import FleetDriver
from tests.placement.fleet_driver import make_driver


@pytest.fixture
def driver() -> FleetDriver:
    return make_driver()
