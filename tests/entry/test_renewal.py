from __future__ import annotations

from verbenaplank.entry.renewal import ACKNOWLEDGEMENT_PERIOD_S
from verbenaplank.entry.renewal import LONG_LEASE
from verbenaplank.entry.renewal import SHORT_LEASE
from verbenaplank.entry.renewal import RenewalSchedule

PERIOD_S = LONG_LEASE.renewal_period_s


def test_entry_with_nothing_at_an_agent_sends_it_no_renewal() -> None:
    schedule = RenewalSchedule()

    assert not schedule.is_message_due(10.0, 0, has_open=False)
    assert schedule.is_message_due(10.0, 0, has_open=True)


def test_open_dispatch_is_renewed_once_its_own_renewal_is_old() -> None:
    schedule = RenewalSchedule()
    schedule.record_sent(10.0, 0, renewal=True)

    assert not schedule.is_message_due(10.0 + PERIOD_S / 2, 0, has_open=True)
    assert schedule.is_message_due(10.0 + PERIOD_S, 0, has_open=True)


def test_lease_outlasts_two_renewal_periods() -> None:
    for lease in (LONG_LEASE, SHORT_LEASE):
        assert 2 * lease.renewal_period_s < lease.lease_s


def test_first_dispatch_after_a_pause_brings_a_renewal_along() -> None:
    schedule = RenewalSchedule()
    schedule.record_sent(10.0, 0, renewal=True)

    assert not schedule.is_renewal_due(10.0 + PERIOD_S / 2, has_dispatches=True)
    assert schedule.is_renewal_due(10.0 + PERIOD_S, has_dispatches=True)
    assert not schedule.is_renewal_due(10.0 + PERIOD_S, has_dispatches=False)


def test_results_are_acknowledged_although_nothing_else_is_ready() -> None:
    schedule = RenewalSchedule()
    schedule.record_sent(10.0, 3, renewal=False)
    late_s = 10.0 + ACKNOWLEDGEMENT_PERIOD_S

    assert not schedule.is_message_due(late_s, 3, has_open=False)
    assert not schedule.is_message_due(late_s - 1.0, 4, has_open=False)
    assert schedule.is_message_due(late_s, 4, has_open=False)
