from __future__ import annotations

from verbenaplank.entry.renewal import ACKNOWLEDGEMENT_PERIOD_S
from verbenaplank.entry.renewal import LONG_LEASE
from verbenaplank.entry.renewal import SHORT_LEASE
from verbenaplank.entry.renewal import RenewalSchedule

PERIOD_S = LONG_LEASE.renewal_period_s


def test_no_renewal_is_due_without_open_dispatches() -> None:
    """Renewals to idle agents would cost a message per agent and period."""
    schedule = RenewalSchedule()

    assert not schedule.is_message_due(10.0, 0, has_open=False)
    assert schedule.is_message_due(10.0, 0, has_open=True)


def test_open_dispatches_are_renewed_after_one_period() -> None:
    """Without a renewal, the agent would drop the entry's queued tasks."""
    schedule = RenewalSchedule()
    schedule.record_sent(10.0, 0, renewal=True)

    assert not schedule.is_message_due(10.0 + PERIOD_S / 2, 0, has_open=True)
    assert schedule.is_message_due(10.0 + PERIOD_S, 0, has_open=True)


def test_lease_is_longer_than_two_renewal_periods() -> None:
    """One lost or late renewal must not let the lease expire."""
    for lease in (LONG_LEASE, SHORT_LEASE):
        assert 2 * lease.renewal_period_s < lease.lease_s


def test_first_dispatch_after_a_pause_carries_a_renewal() -> None:
    """The lease may expire while idle; the agent would drop the new dispatch."""
    schedule = RenewalSchedule()
    schedule.record_sent(10.0, 0, renewal=True)

    assert not schedule.is_renewal_due(10.0 + PERIOD_S / 2, has_dispatches=True)
    assert schedule.is_renewal_due(10.0 + PERIOD_S, has_dispatches=True)
    assert not schedule.is_renewal_due(10.0 + PERIOD_S, has_dispatches=False)


def test_dispatch_carries_a_renewal_before_it_would_need_a_message() -> None:
    """A renewal in a message of its own costs as much as the dispatch itself."""
    schedule = RenewalSchedule(
        SHORT_LEASE.renewal_period_s, SHORT_LEASE.dispatch_renewal_period_s
    )
    schedule.record_sent(0.0, 0, renewal=True)
    soon_s = SHORT_LEASE.dispatch_renewal_period_s

    assert schedule.is_renewal_due(soon_s, has_dispatches=True)
    assert not schedule.is_message_due(soon_s, 0, has_open=True)
    assert not schedule.is_due_on_report(soon_s)


def test_results_are_acknowledged_without_other_items() -> None:
    """Without an acknowledgement, an agent would keep its last results forever."""
    schedule = RenewalSchedule()
    schedule.record_sent(10.0, 3, renewal=False)
    late_s = 10.0 + ACKNOWLEDGEMENT_PERIOD_S

    assert not schedule.is_message_due(late_s, 3, has_open=False)
    assert not schedule.is_message_due(late_s - 1.0, 4, has_open=False)
    assert schedule.is_message_due(late_s, 4, has_open=False)
