from __future__ import annotations

from control_helpers import agent
from control_helpers import wait_for_other_tasks
from control_helpers import wait_until
from fake_log import FakeLog

from verbenaplank.control.commands import ControlCommand
from verbenaplank.control.commands import encode
from verbenaplank.control.lease_manager import LeaseManager
from verbenaplank.control.state_machine import ControlStateMachine
from verbenaplank.membership.commands import Announce
from verbenaplank.membership.renewals import Renewal
from verbenaplank.membership.renewals import RenewalBatch

LEASE_S = 10.0
BATCH = RenewalBatch(renewals=(Renewal(member_id="agent-1", incarnation="a"),))


class LeaseManagerHarness:
    """A lease manager with one member and a clock that the test sets."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.machine = ControlStateMachine()
        self.log = FakeLog(self.machine)
        self.manager = LeaseManager(self.log, self.machine, LEASE_S, lambda: self.now_s)
        self.announce()

    def announce(self) -> None:
        command = ControlCommand(announce=Announce(member=agent()))
        self.machine.apply(0, encode(command))

    def is_member(self) -> bool:
        return "agent-1" in self.machine.membership.members


async def test_only_a_leader_with_a_quorum_renews_and_expires_leases() -> None:
    """A deposed or isolated leader must not decide about leases.

    Otherwise it could remove a member that the actual leader keeps.
    """
    harness = LeaseManagerHarness()
    assert harness.manager.renew(BATCH).granted == BATCH.renewals
    harness.now_s = 100.0
    for is_leader, current in ((True, False), (False, True)):
        harness.log.is_leader = is_leader
        harness.log.current = current
        harness.manager.expire()
        await wait_for_other_tasks()

        assert not harness.manager.renew(BATCH).leads
        assert not harness.manager.report().leads
        assert harness.is_member()


async def test_reelected_leader_ignores_the_renewal_times_of_its_earlier_term() -> None:
    """Renewals by another leader in between are unknown to this leader.

    By the old renewal times, all leases would expire at once.
    """
    harness = LeaseManagerHarness()
    harness.manager.renew(BATCH)
    harness.now_s = 100.0
    harness.log.term = 3
    harness.manager.expire()
    await wait_for_other_tasks()
    assert harness.is_member()

    harness.now_s = 100.0 + LEASE_S * 1.1
    harness.manager.expire()
    await wait_until(lambda: not harness.is_member())


async def test_member_is_not_renewed_while_its_leave_is_being_logged() -> None:
    """Otherwise the member would be removed although its lease was renewed."""
    harness = LeaseManagerHarness()
    harness.manager.renew(BATCH)
    harness.log.accepting.clear()
    harness.now_s = LEASE_S * 1.1
    harness.manager.expire()

    assert harness.manager.renew(BATCH).unknown == BATCH.renewals
    harness.log.accepting.set()
    await wait_until(lambda: not harness.is_member())
    harness.announce()
    assert harness.manager.renew(BATCH).granted == BATCH.renewals
