from __future__ import annotations

from control_helpers import agent
from control_helpers import eventually
from control_helpers import other_tasks_end
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


class ManagedLeases:
    """A lease keeper with a member, under a clock that the test sets."""

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


async def test_only_a_current_leader_renews_and_expires() -> None:
    leases = ManagedLeases()
    assert leases.manager.renew(BATCH).granted == BATCH.renewals
    leases.now_s = 100.0
    for is_leader, current in ((True, False), (False, True)):
        leases.log.is_leader = is_leader
        leases.log.current = current
        leases.manager.expire()
        await other_tasks_end()

        assert not leases.manager.renew(BATCH).leads
        assert not leases.manager.report().leads
        assert leases.is_member()


async def test_leader_that_leads_again_expires_no_lease_by_its_old_times() -> None:
    leases = ManagedLeases()
    leases.manager.renew(BATCH)
    leases.now_s = 100.0
    leases.log.term = 3
    leases.manager.expire()
    await other_tasks_end()
    assert leases.is_member()

    leases.now_s = 100.0 + LEASE_S * 1.1
    leases.manager.expire()
    await eventually(lambda: not leases.is_member())


async def test_member_is_not_renewed_while_its_leave_is_being_logged() -> None:
    leases = ManagedLeases()
    leases.manager.renew(BATCH)
    leases.log.accepting.clear()
    leases.now_s = LEASE_S * 1.1
    leases.manager.expire()

    assert leases.manager.renew(BATCH).unknown == BATCH.renewals
    leases.log.accepting.set()
    await eventually(lambda: not leases.is_member())
    leases.announce()
    assert leases.manager.renew(BATCH).granted == BATCH.renewals
