from __future__ import annotations

import pytest
from tests.placement.fleet_driver import task

from verbenaplank.placement.task import Resources
from verbenaplank.placement.unplaceable import UnplaceableNeeds


@pytest.mark.parametrize(
    ("needs", "service", "covered"),
    [
        (Resources(cores=10.0), "fixtures", True),
        (Resources(cores=12.0, memory_mb=64), "fixtures", True),
        (Resources(cores=9.9), "fixtures", False),
        (Resources(cores=10.0), "other", False),
    ],
)
def test_tasks_with_as_large_needs_are_not_tried(
    needs: Resources, service: str, covered: bool
) -> None:
    """In an overload, each message of an agent would try eight jobs in vain."""
    unplaceable = UnplaceableNeeds()
    unplaceable.add(task(needs=Resources(cores=14.0)))
    unplaceable.add(task(needs=Resources(cores=10.0)))
    unplaceable.add(task(needs=Resources(cores=11.0)))
    assert unplaceable.covers(task(needs=needs, service=service)) is covered


def test_exclusive_tasks_say_nothing_about_others() -> None:
    """Slow servers take exclusive tasks only as probes."""
    unplaceable = UnplaceableNeeds()
    unplaceable.add(task(exclusive=True))
    assert not unplaceable.covers(task())
    assert unplaceable.covers(task(exclusive=True))
