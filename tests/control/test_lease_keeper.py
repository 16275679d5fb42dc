from __future__ import annotations

from control_helpers import agent
from control_helpers import eventually
from control_helpers import other_tasks_end
from fake_log import FakeLog

from verbenaplank.control.commands import ControlCommand
from verbenaplank.control.commands import encode
from verbenaplank.control.lease_keeper import LeaseKeeper
from verbenaplank.control.state_machine import ControlStateMachine
from verbenaplank.membership.commands import Announce
from verbenaplank.membership.renewals import Renewal
from verbenaplank.membership.renewals import RenewalBatch

LEASE_S = 10.0
BATCH = RenewalBatch(renewals=(Renewal(member_id="agent-1", incarnation="a"),))


class Keeping:
    """A lease keeper with a member, under a clock that the test sets."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.machine = ControlStateMachine()
        self.log = FakeLog(self.machine)
        self.keeper = LeaseKeeper(self.log, self.machine, LEASE_S, lambda: self.now_s)
        self.announce()

    def announce(self) -> None:
        command = ControlCommand(announce=Announce(member=agent()))
        self.machine.apply(0, encode(command))

    def is_member(self) -> bool:
        return "agent-1" in self.machine.membership.members


async def test_only_a_current_leader_renews_and_expires() -> None:
    keeping = Keeping()
    assert keeping.keeper.renew(BATCH).granted == BATCH.renewals
    keeping.now_s = 100.0
    for is_leader, current in ((True, False), (False, True)):
        keeping.log.is_leader = is_leader
        keeping.log.current = current
        keeping.keeper.expire()
        await other_tasks_end()

        assert not keeping.keeper.renew(BATCH).leads
        assert not keeping.keeper.report().leads
        assert keeping.is_member()


async def test_leader_that_leads_again_expires_no_lease_by_its_old_times() -> None:
    keeping = Keeping()
    keeping.keeper.renew(BATCH)
    keeping.now_s = 100.0
    keeping.log.term = 3
    keeping.keeper.expire()
    await other_tasks_end()
    assert keeping.is_member()

    keeping.now_s = 100.0 + LEASE_S * 1.1
    keeping.keeper.expire()
    await eventually(lambda: not keeping.is_member())


async def test_member_is_not_renewed_while_its_leave_is_being_logged() -> None:
    keeping = Keeping()
    keeping.keeper.renew(BATCH)
    keeping.log.accepting.clear()
    keeping.now_s = LEASE_S * 1.1
    keeping.keeper.expire()

    assert keeping.keeper.renew(BATCH).unknown == BATCH.renewals
    keeping.log.accepting.set()
    await eventually(lambda: not keeping.is_member())
    keeping.announce()
    assert keeping.keeper.renew(BATCH).granted == BATCH.renewals
