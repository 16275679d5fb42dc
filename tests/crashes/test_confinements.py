from __future__ import annotations

import attrs

from verbenaplank.crashes.confinements import NEWS_S
from verbenaplank.crashes.confinements import Confinements
from verbenaplank.crashes.containment import FORGET_AFTER_S
from verbenaplank.protocol.crash import Confinement

DEADLY = Confinement(service="draw", workload="deadly", share=0.2, blamed_ms=0.0)


def test_confinement_is_news_once_and_again_after_a_later_crash() -> None:
    known = Confinements()
    assert known.merge(DEADLY, 10.0)
    assert not known.merge(DEADLY, 10.0 + NEWS_S / 2)
    assert not known.merge(attrs.evolve(DEADLY, blamed_ms=1_000.0), 11.0)
    assert known.merge(DEADLY, 12.0)


def test_all_keep_the_share_that_was_known_first() -> None:
    """Entries that count other shares must choose the same servers."""
    known = Confinements()
    known.merge(DEADLY, 10.0)
    known.merge(attrs.evolve(DEADLY, share=0.4), 12.0)
    (current,) = known.current(13.0)
    assert current == attrs.evolve(DEADLY, blamed_ms=1_000.0)


def test_confinement_is_forgotten_some_time_after_the_last_crash() -> None:
    known = Confinements()
    known.merge(DEADLY, 10.0)
    assert not list(known.current(10.0 + FORGET_AFTER_S))
    old = attrs.evolve(DEADLY, blamed_ms=FORGET_AFTER_S * 1_000.0)
    assert not known.merge(old, 20.0)
