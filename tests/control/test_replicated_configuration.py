from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any

import attrs
import pytest
from control_cluster import Cluster
from control_helpers import FIXTURES_TOKEN
from control_helpers import agent
from control_helpers import connect_client
from control_helpers import entry
from control_helpers import wait_until

from verbenaplank.configuration.audit import verify_chain
from verbenaplank.configuration.commands import ApplySection
from verbenaplank.configuration.commands import AssignOwner
from verbenaplank.configuration.commands import Origin
from verbenaplank.consensus.errors import OutcomeUnknownError
from verbenaplank.control.commands import ControlCommand
from verbenaplank.control.commands import OperatorCommand
from verbenaplank.control.commands import decode_result
from verbenaplank.control.commands import encode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    import httpx

    from verbenaplank.consensus.node import ConsensusNode
    from verbenaplank.membership.client import MembershipClient

SECTION = "/v1/configuration/sections/fixtures"


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    async with Cluster(tmp_path) as instances:
        yield instances


async def apply(
    cluster: Cluster, index: int, command_id: str, expected_version: int
) -> httpx.Response:
    async with cluster.http(index) as http:
        return await http.put(
            SECTION,
            json=apply_body(command_id, expected_version),
            headers={"Authorization": f"Bearer {FIXTURES_TOKEN}"},
        )


def apply_body(command_id: str, expected_version: int) -> dict[str, Any]:
    return {
        "text": f"[services.draw]\nrun_time_ms = {expected_version + 1}\n",
        "expected_version": expected_version,
        "command_id": command_id,
    }


def encode_apply(section: str, expected_version: int, command_id: str) -> bytes:
    change = ApplySection(
        section=section,
        expected_version=expected_version,
        text=f"[services.{section}]\nrun_time_ms = {expected_version}\n",
    )
    origin = Origin(command_id=command_id, sent_at_ms=1, administrator=True)
    return encode(ControlCommand(operator=OperatorCommand(origin=origin, apply=change)))


def encode_assign(section: str) -> bytes:
    change = AssignOwner(section=section, team=section)
    origin = Origin(command_id=f"create-{section}", sent_at_ms=1, administrator=True)
    command = OperatorCommand(origin=origin, assign=change)
    return encode(ControlCommand(operator=command))


def audited_outcomes(cluster: Cluster, index: int, command_id: str) -> list[str]:
    trail = cluster.instances[index].machine.audit
    return [r.outcome for r in trail.records if r.command_id == command_id]


def configuration_version(client: MembershipClient) -> int:
    return client.configuration.version


async def test_only_one_of_several_changes_to_the_same_version_is_accepted(
    cluster: Cluster,
) -> None:
    """Nine changes with the same expected version are sent to all instances at once."""
    replies = await asyncio.gather(
        *(apply(cluster, n % 3, f"request-{n}", 1) for n in range(9))
    )

    assert sorted(reply.status_code for reply in replies) == [200, *[409] * 8]
    losers = [reply.json() for reply in replies if reply.status_code == 409]
    assert {loser["section_version"] for loser in losers} == {2}


async def test_command_whose_reply_was_lost_with_the_leader_takes_effect_once(
    cluster: Cluster,
) -> None:
    """A committed command with an unknown outcome is proposed again."""
    leader = cluster.leader()
    assert leader is not None
    asked, other = cluster.followers()
    # The leader replicates to the other follower; its reply to this one is lost.
    cluster.drop_traffic(leader, asked)
    log = cluster.instances[asked].log
    first = asyncio.create_task(log.propose(encode_apply("fixtures", 1, "c1"), 1.0))
    machine = cluster.instances[other].machine
    await wait_until(lambda: machine.configuration.version == 2)
    cluster.isolate(leader)
    with pytest.raises(OutcomeUnknownError):
        await first
    again = await log.propose(encode_apply("fixtures", 1, "c1"), 5.0)

    outcome = decode_result(again).outcome
    assert outcome is not None
    assert outcome.accepted
    assert outcome.section_version == 2
    assert audited_outcomes(cluster, asked, "c1") == ["accepted"]


async def test_isolated_instance_serves_no_stale_state(cluster: Cluster) -> None:
    """The instance must refuse requests, and its member must leave it."""
    isolated, other = cluster.followers()
    instances = cluster.instances
    async with connect_client(agent(), instances[isolated], instances[other]) as client:
        await client.wait_ready()
        cluster.isolate(isolated)
        await apply(cluster, other, "c1", 1)
        await wait_until(lambda: configuration_version(client) == 2)
        read = await _get(cluster, isolated, "/v1/configuration")
        write = await apply(cluster, isolated, "c2", 2)
        ready = await _get(cluster, isolated, "/readyz")

    assert instances[isolated].machine.configuration.version == 1
    assert read.status_code == 503
    assert write.status_code == 503
    assert write.json()["run"] == "not_run"
    assert ready.status_code == 503


async def test_member_that_reaches_only_an_isolated_instance_is_not_ready(
    cluster: Cluster,
) -> None:
    """The member must not start with stale state before the partition heals."""
    isolated, other = cluster.followers()
    cluster.isolate(isolated)
    await apply(cluster, other, "c1", 1)
    async with connect_client(entry(), cluster.instances[isolated]) as client:
        waiting = asyncio.create_task(client.wait_ready())
        refused = await _get(cluster, isolated, "/v1/configuration")
        assert refused.status_code == 503
        assert not waiting.done()
        assert client.configuration.version == 0
        assert not client.lease_valid(time.monotonic())

        cluster.isolate(isolated, silent=False)
        await waiting
        assert client.configuration.version == 2


async def test_member_sees_no_older_version_across_restarts_and_partitions(
    cluster: Cluster,
) -> None:
    """A restarted member first tries an instance without the newest change."""
    seen = [0]
    instances = cluster.instances
    for round_number in range(1, 4):
        cut, *others = cluster.followers()
        cluster.isolate(cut)
        reply = await apply(cluster, others[0], f"c{round_number}", round_number)
        assert reply.status_code == 200
        peers = [instances[index] for index in (cut, *others)]
        async with connect_client(
            agent(incarnation=str(round_number)), *peers
        ) as client:
            await client.wait_ready()
            seen.append(client.configuration.version)
        cluster.isolate(cut, silent=False)
        await wait_until(
            lambda n=round_number: all(
                i.machine.configuration.version == n + 1 for i in instances.values()
            )
        )

    assert seen == [0, 2, 3, 4]


async def test_cluster_restarts_with_its_state_after_500_changes(
    tmp_path: Path,
) -> None:
    """The state and the recorded outcomes come from snapshots and the log."""
    consensus = {
        "heartbeat_ms": 20.0,
        "election_timeout_ms": 400.0,
        "snapshot_every_entries": 100,
    }
    async with Cluster(tmp_path, consensus=consensus) as cluster:
        await asyncio.gather(*(_change_50_times(cluster, n) for n in range(10)))
        before = await _get(cluster, 0, "/v1/configuration")
        await cluster.stop_all()
        await cluster.start_all()
        after = await _get(cluster, 1, "/v1/configuration")
        trail = cluster.instances[1].machine.audit
        log = cluster.instances[2].log
        resent = decode_result(
            await log.propose(encode_assign("section-0"), 5.0)
        ).outcome

    assert before.json()["version"] == 1 + 10 * 50
    assert after.json() == before.json()
    assert resent is not None
    assert resent.section_version == 1
    verify_chain(trail.records, trail.anchor)
    assert trail.records[-1].sequence >= 10 * 50


async def test_new_leader_grants_every_member_a_fresh_lease(tmp_path: Path) -> None:
    """A member whose lease was renewed by the former leader keeps it without a gap."""
    membership = {"heartbeat_ms": 50.0, "lease_ms": 800.0}
    async with Cluster(tmp_path, membership=membership) as cluster:
        old = cluster.leader()
        assert old is not None
        followers = cluster.followers()
        peers = [cluster.instances[index] for index in followers]
        async with connect_client(entry(), *peers) as client:
            await wait_until(lambda: client.lease_valid(time.monotonic()))
            cluster.isolate(old)
            await wait_until(lambda: cluster.leader() not in (None, old))
            since_s = client.lease_since_s
            renewed_s = time.monotonic()
            await wait_until(lambda: client.lease_valid(renewed_s + 0.85))

            assert client.lease_since_s == since_s


async def test_isolated_leader_renews_no_lease(tmp_path: Path) -> None:
    """The other instances remove the member when its lease expires.

    The isolated leader must not let the member consider its lease valid.
    """
    membership = {"heartbeat_ms": 50.0, "lease_ms": 400.0}
    async with Cluster(tmp_path, membership=membership) as cluster:
        leader = cluster.leader()
        assert leader is not None
        other = cluster.instances[cluster.followers()[0]].machine
        async with connect_client(entry(), cluster.instances[leader]) as client:
            await wait_until(lambda: client.lease_valid(time.monotonic()))
            await wait_until(lambda: "entry-1" in other.membership.members)
            cluster.isolate(leader)
            await wait_until(lambda: "entry-1" not in other.membership.members)

            assert not client.lease_valid(time.monotonic())


async def test_drain_reaches_an_entry_connected_to_an_isolated_instance(
    cluster: Cluster,
) -> None:
    """The entry must move to another instance to see the agent drain and leave."""
    isolated, other = cluster.followers()
    instances = cluster.instances
    async with (
        connect_client(agent(), instances[other]) as leaving,
        connect_client(entry(), instances[isolated], instances[other]) as client,
    ):
        await wait_until(lambda: "agent-1" in client.agents)
        cluster.isolate(isolated)
        leaving.update(attrs.evolve(agent(), draining=True))
        await wait_until(lambda: client.agents["agent-1"].draining)
        await leaving.leave()
        await wait_until(lambda: "agent-1" not in client.agents)

    assert "agent-1" in instances[isolated].machine.membership.members


async def test_planned_stop_of_the_leader_interrupts_no_request(
    cluster: Cluster,
) -> None:
    """Requests in progress end with an outcome or are certain to have had no effect."""
    leader = cluster.leader()
    assert leader is not None
    log = cluster.instances[leader].log
    requests = [
        asyncio.create_task(apply(cluster, n % 3, f"request-{n}", 1)) for n in range(12)
    ]
    await wait_until(lambda: log.commit_index > 0 and any(r.done() for r in requests))
    await cluster.stop(leader)
    replies = await asyncio.gather(*requests)

    statuses = [reply.status_code for reply in replies]
    assert statuses.count(200) == 1
    assert statuses.count(409) + statuses.count(503) == 11
    refusals = [reply.json() for reply in replies if reply.status_code == 503]
    assert all(refusal["run"] == "not_run" for refusal in refusals)


async def _change_50_times(cluster: Cluster, number: int) -> None:
    log = cluster.instances[number % 3].log
    name = f"section-{number}"
    await log.propose(encode_assign(name), 5.0)
    for version in range(1, 50):
        await _propose_until_known(
            log, encode_apply(name, version, f"{name}-{version}")
        )


async def _propose_until_known(log: ConsensusNode, command: bytes) -> None:
    result = None
    while result is None:
        with suppress(OutcomeUnknownError):
            result = await log.propose(command, 5.0)
    outcome = decode_result(result).outcome
    assert outcome is not None
    assert outcome.accepted


async def _get(cluster: Cluster, index: int, path: str) -> httpx.Response:
    async with cluster.http(index) as http:
        return await http.get(path)
