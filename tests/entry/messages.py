from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from verbenaplank.protocol import work
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MemberRole

if TYPE_CHECKING:
    Item = work.Dispatch | work.Revoke

SERVICE = "draw"
TEAM = "fixtures"
SUCCEEDED = work.TaskOutcome.SUCCEEDED


def agent_member(
    agent_id: str,
    incarnation: str = "1",
    slots: int = 8,
    address: str = "127.0.0.1:1",
) -> Member:
    return Member(
        member_id=agent_id,
        role=MemberRole.AGENT,
        incarnation=incarnation,
        data_centre="Kochi",
        address=address,
        services=(SERVICE,),
        slots=slots,
    )


def result(
    item: Item, outcome: work.TaskOutcome = SUCCEEDED, output: bytes | None = None
) -> work.TaskResult:
    return work.TaskResult(
        **_named(item),
        outcome=outcome,
        output=b'"%d"' % item.task_index if output is None else output,
        run_time_ms=100.0,
    )


def refused(item: Item, reason: work.RefusalReason) -> work.FromAgent:
    refusal = work.DispatchRefusal(**_named(item), reason=reason)
    return work.FromAgent(refusals=(refusal,))


def revocation(item: Item, state: work.RevocationState) -> work.Revocation:
    return work.Revocation(**_named(item), state=state)


def _named(item: Item) -> dict[str, Any]:
    return {
        "job_id": item.job_id,
        "task_index": item.task_index,
        "dispatch_id": item.dispatch_id,
    }
