"""Acknowledged evacuation orders survive one failure and take effect once."""

from __future__ import annotations

import asyncio
import shutil
from typing import TYPE_CHECKING
from typing import Any

import pytest
from control_cluster import CLUSTER_SIZE
from control_cluster import Cluster
from control_helpers import ADMINISTRATOR_TOKEN
from control_helpers import DEADLINE_S
from control_helpers import FIXTURES_TOKEN
from control_helpers import agent
from control_helpers import connect_client
from control_helpers import control_settings
from control_helpers import entry
from control_helpers import wait_until

from verbenaplank.configuration.commands import Origin
from verbenaplank.control.application import ControlInstance
from verbenaplank.control.commands import ControlCommand
from verbenaplank.control.commands import decode_result
from verbenaplank.control.commands import encode
from verbenaplank.control.state_machine import ControlStateMachine
from verbenaplank.evacuation.commands import EvacuationVerdict
from verbenaplank.evacuation.commands import OrderEvacuation
from verbenaplank.membership.client_state import MembershipEventKind

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    import httpx

    from verbenaplank.membership.client_state import MembershipEvent
    from verbenaplank.protocol.membership import Member

KOCHI = "/v1/evacuations/Kochi"
ALL_LISTS = "/v1/evacuations"
ACKNOWLEDGED_WITHIN_S = 5.0


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    async with Cluster(tmp_path) as instances:
        yield instances


async def request(
    cluster: Cluster, index: int, method: str, path: str = KOCHI, **named: str
) -> httpx.Response:
    """Send a request until the answer is not 503, as operators do."""
    async with asyncio.timeout(DEADLINE_S):
        while True:
            reply = await request_once(cluster, index, method, path, **named)
            if reply.status_code != 503:
                return reply


async def request_once(
    cluster: Cluster,
    index: int,
    method: str,
    path: str = KOCHI,
    command_id: str = "c1",
    token: str = ADMINISTRATOR_TOKEN,
) -> httpx.Response:
    body = {"command_id": command_id} if method != "GET" else None
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    async with cluster.http(index) as http:
        return await http.request(
            method, path, json=body, headers=headers, timeout=20.0
        )


async def lists(cluster: Cluster) -> list[dict[str, Any]]:
    """Return the list that each running instance answers with."""
    replies = [await request(cluster, n, "GET", ALL_LISTS) for n in cluster.instances]
    assert [reply.status_code for reply in replies] == [200] * len(replies)
    return [reply.json() for reply in replies]


def audited(cluster: Cluster, index: int) -> list[tuple[str, str, str]]:
    trail = cluster.instances[index].machine.audit
    return [
        (record.action, record.command_id, record.outcome)
        for record in trail.records
        if record.subject == "Kochi"
    ]


def evacuated(revision: int, *names: str) -> list[dict[str, Any]]:
    state = {"revision": revision, "data_centres": list(names)}
    return [state] * CLUSTER_SIZE


async def test_repeated_order_is_acknowledged_again_and_changes_nothing(
    cluster: Cluster,
) -> None:
    """Guards against a repetition that evacuates again after a withdrawal."""
    first = await request(cluster, 0, "POST")
    assert first.status_code == 200
    assert first.json()["verdict"] == "changed"
    other_id = await request(cluster, 1, "POST", command_id="c2")
    assert other_id.json()["verdict"] == "unchanged"
    assert await lists(cluster) == evacuated(1, "Kochi")

    end = await request(cluster, 2, "DELETE", command_id="c3")
    assert end.json()["verdict"] == "changed"
    again = await request(cluster, 1, "DELETE", command_id="c4")
    assert again.json()["verdict"] == "unchanged"
    repeated = await request(cluster, 2, "POST")
    assert repeated.json() == first.json()
    assert await lists(cluster) == evacuated(2)
    reused = await request(cluster, 0, "DELETE")
    assert reused.status_code == 409
    assert audited(cluster, 0) == [
        ("evacuate", "c1", "changed"),
        ("evacuate", "c2", "unchanged"),
        ("end_evacuation", "c3", "changed"),
        ("end_evacuation", "c4", "unchanged"),
    ]


async def test_orders_with_faults_are_refused_and_change_nothing(
    cluster: Cluster,
) -> None:
    """Guards against a mistyped name that is acknowledged, and against strangers."""
    unknown = await request(cluster, 0, "POST", "/v1/evacuations/Koch")
    assert unknown.status_code == 404
    assert "Kochi, dc-0, dc-1, dc-2" in unknown.json()["detail"]
    for name in ("%01", "a" * 101, "%20Kochi"):
        reply = await request(cluster, 0, "POST", f"/v1/evacuations/{name}")
        assert reply.status_code == 400, name
    assert (await request(cluster, 0, "POST", token="")).status_code == 401
    forbidden = await request(cluster, 0, "POST", token=FIXTURES_TOKEN)
    assert forbidden.status_code == 403
    assert await lists(cluster) == evacuated(0)
    allowed = await request(cluster, 0, "POST", token="on-call-token")
    assert allowed.status_code == 200


async def test_order_survives_the_loss_of_the_leader_and_its_disk(
    cluster: Cluster, tmp_path: Path
) -> None:
    leader = cluster.leader()
    assert leader is not None
    assert (await request(cluster, leader, "POST")).status_code == 200
    await cluster.stop(leader)
    shutil.rmtree(tmp_path / str(leader) / "data")
    await cluster.start(leader)
    instance = cluster.instances[leader]
    await wait_until(instance.is_ready)
    await wait_until(lambda: instance.machine.evacuations.revision == 1)
    assert await lists(cluster) == evacuated(1, "Kochi")


async def test_order_survives_a_restart_of_all_instances(cluster: Cluster) -> None:
    assert (await request(cluster, 0, "POST")).status_code == 200
    await cluster.stop_all()
    await cluster.start_all()
    assert await lists(cluster) == evacuated(1, "Kochi")


async def test_order_during_a_leader_change_is_acknowledged_in_time(
    cluster: Cluster,
) -> None:
    leader = cluster.leader()
    assert leader is not None
    (asked, _) = cluster.followers()
    cluster.isolate(leader)
    evacuations = cluster.instances[asked].evacuations
    async with asyncio.timeout(ACKNOWLEDGED_WITHIN_S):
        outcome = await evacuations.order("Kochi", evacuated=True)
    assert outcome.verdict is EvacuationVerdict.CHANGED
    cluster.isolate(leader, silent=False)
    old_leader = cluster.instances[leader].machine
    await wait_until(lambda: old_leader.evacuations.revision == 1)


async def test_order_whose_reply_was_lost_takes_effect_once(cluster: Cluster) -> None:
    """The leader commits the order, and fails before its reply arrives."""
    leader = cluster.leader()
    assert leader is not None
    asked, other = cluster.followers()
    cluster.drop_traffic(leader, asked)
    evacuations = cluster.instances[asked].evacuations
    origin = Origin(command_id="c1", sent_at_ms=1, administrator=True)
    order = asyncio.create_task(
        evacuations.order("Kochi", evacuated=True, origin=origin)
    )
    machine = cluster.instances[other].machine
    await wait_until(lambda: machine.evacuations.revision == 1)
    cluster.isolate(leader)
    assert (await order).verdict is EvacuationVerdict.CHANGED
    assert machine.evacuations.list.revision == 1
    assert audited(cluster, other) == [("evacuate", "c1", "changed")]


async def test_isolated_instance_answers_503_and_no_older_list(
    cluster: Cluster,
) -> None:
    leader = cluster.leader()
    assert leader is not None
    cluster.isolate(leader)
    (asked, _) = cluster.followers()
    await wait_until(lambda: cluster.leader() not in (None, leader))
    assert (await request(cluster, asked, "POST")).status_code == 200

    read = await request_once(cluster, leader, "GET", ALL_LISTS)
    order = await request_once(cluster, leader, "DELETE", command_id="c2")
    assert (read.status_code, order.status_code) == (503, 503)
    assert order.json()["run"] == "not_run"
    cluster.isolate(leader, silent=False)
    instance = cluster.instances[leader]
    await wait_until(lambda: instance.machine.evacuations.revision == 1)
    await wait_until(instance.is_ready)
    assert await lists(cluster) == evacuated(1, "Kochi")


async def test_member_that_joins_during_an_evacuation_learns_it_first(
    tmp_path: Path,
) -> None:
    """Guards against an entry or an agent that starts tasks before it has the list."""
    async with ControlInstance(control_settings(tmp_path)) as control:
        await wait_until(control.is_ready)
        await control.evacuations.order("Kochi", evacuated=True)
        for member in (agent(), entry()):
            await join_and_withdraw(member, control)
            await control.evacuations.order("Kochi", evacuated=True)
        text = control.render_metrics()[0].decode()
        assert "verbenaplank_control_evacuated_data_centres 1.0" in text
        assert "verbenaplank_control_evacuations_revision 5.0" in text


async def join_and_withdraw(member: Member, control: ControlInstance) -> None:
    events: list[MembershipEvent] = []
    async with connect_client(member, control, listener=events.append) as client:
        await client.wait_ready()
        assert client.evacuations.data_centres == ("Kochi",)
        assert events[0].kind is MembershipEventKind.EVACUATIONS
        await control.evacuations.order("Kochi", evacuated=False)
        await wait_until(lambda: client.evacuations.data_centres == ())


def test_delayed_copy_of_an_order_does_not_undo_a_later_one() -> None:
    """Guards against a copy that the log applies after the withdrawal."""
    machine = ControlStateMachine()

    def apply(seen_revision: int, *, evacuated: bool) -> EvacuationVerdict:
        order = OrderEvacuation(
            data_centre="Kochi", evacuated=evacuated, seen_revision=seen_revision
        )
        result = machine.apply(1, encode(ControlCommand(evacuation=order)))
        outcome = decode_result(result).evacuation
        assert outcome is not None
        return outcome.verdict

    assert apply(0, evacuated=True) is EvacuationVerdict.CHANGED
    assert apply(1, evacuated=False) is EvacuationVerdict.CHANGED
    assert apply(0, evacuated=True) is EvacuationVerdict.STALE
    assert machine.evacuations.list.data_centres == ()
    restored = ControlStateMachine()
    restored.restore(machine.snapshot())
    assert restored.evacuations.list == machine.evacuations.list
