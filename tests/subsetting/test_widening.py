from __future__ import annotations

from verbenaplank.subsetting.widening import NARROW_AFTER_S
from verbenaplank.subsetting.widening import WIDEN_AFTER_S
from verbenaplank.subsetting.widening import SubsetWidening


def update_for(
    widening: SubsetWidening, start_s: float, length_s: float, *, tasks_wait: bool
) -> None:
    steps = round(length_s / 0.1)
    for step in range(steps + 1):
        widening.update(start_s + step * 0.1, tasks_wait=tasks_wait)


def test_hot_entry_widens_its_subset_up_to_twice_its_size() -> None:
    """The limit holds in an overload of the whole fleet, however long it lasts."""
    widening = SubsetWidening(32)
    update_for(widening, 0.0, WIDEN_AFTER_S + 0.05, tasks_wait=True)
    assert widening.extra == 8
    update_for(widening, 1.0, 60.0, tasks_wait=True)
    assert widening.extra == 32


def test_short_waits_do_not_widen_the_subset() -> None:
    """Tasks wait for some milliseconds whenever many arrive together."""
    widening = SubsetWidening(32)
    for step in range(100):
        widening.update(step * 0.1, tasks_wait=step % 2 == 0)
    assert widening.extra == 0


def test_subset_is_narrowed_slowly_after_the_load() -> None:
    """A burst often returns; closing all streams at once would reopen them soon."""
    widening = SubsetWidening(32, extra=32)
    update_for(widening, 0.0, NARROW_AFTER_S + 1.0, tasks_wait=False)
    assert widening.extra == 24
    update_for(widening, 20.0, 5 * NARROW_AFTER_S, tasks_wait=False)
    assert widening.extra == 0
