from __future__ import annotations

from collections import defaultdict

import pytest

from admission.tasks import task
from entry.driver import Driver
from verbenaplank.admission.queue_protocol import Choice
from verbenaplank.crashes.limit import StartPermission
from verbenaplank.entry import dispatcher as module
from verbenaplank.placement.unplaceable import UnplaceableNeeds


@pytest.mark.parametrize(
    ("before", "permission", "expected"),
    [
        ((True, 0), StartPermission.GRANTED, Choice.NOT_NOW),
        (None, StartPermission.GIVEN_UP, Choice.NOT_NOW),
        (None, StartPermission.GRANTED, Choice.NO_CAPACITY),
    ],
)
def test_only_a_lack_of_capacity_is_reported_as_one(
    monkeypatch: pytest.MonkeyPatch,
    before: tuple[bool, int] | None,
    permission: StartPermission,
    expected: Choice,
) -> None:
    """Guards against the crash limit and held levels counting as full servers."""
    monkeypatch.setattr(module, "start_permission", lambda *_: permission)
    dispatcher = Driver().engine._dispatcher
    known = defaultdict(UnplaceableNeeds)
    choose = dispatcher._agent_chooser(module._ChosenAgent(), known, 0.0, before)
    assert choose(task()) is expected
