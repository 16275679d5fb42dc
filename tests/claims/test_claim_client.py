from __future__ import annotations

import random
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import attrs

from verbenaplank.claims.client import ClaimClient
from verbenaplank.claims.decision import ClaimState
from verbenaplank.claims.registrar import Registrar
from verbenaplank.claims.registrar import RegistrarLimits
from verbenaplank.claims.service import registrar_service
from verbenaplank.clock.sources import monotonic_s
from verbenaplank.clock.sources import wall_clock_ms
from verbenaplank.identifiers.job_id import new_job_id
from verbenaplank.protocol.membership import Registrar as RegistrarAddress
from verbenaplank.protocol.membership import RegistrarGroup
from verbenaplank.rpc.address import Address
from verbenaplank.rpc.endpoint import serve

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LIMITS = RegistrarLimits(retention_ms=300_000, max_clock_skew_ms=5_000)
UNREACHABLE = RegistrarAddress(
    instance_id="gone", address="127.0.0.1:1", data_centre="d"
)
TIMEOUT_S = 5.0
SHORT_TIMEOUT_S = 0.1


@attrs.frozen
class RegistrarCluster:
    group: RegistrarGroup
    registrars: list[Registrar]
    resources: AsyncExitStack

    async def client(self, name: str) -> ClaimClient:
        client = ClaimClient(
            name, "1", f"{name}:1", None, monotonic_s, random.Random(1)
        )
        await self.resources.enter_async_context(client)
        client.set_registrars(self.group)
        return client


def _registrar() -> Registrar:
    registrar = Registrar(LIMITS, abstain_until_ms=0)
    registrar.enter_epoch(1)
    registrar.open_epoch(1, 0, is_new_member=False)
    return registrar


@asynccontextmanager
async def _registrar_cluster(
    running: int, unreachable: int = 0
) -> AsyncIterator[RegistrarCluster]:
    registrars = [_registrar() for _ in range(running)]
    addresses = [
        attrs.evolve(UNREACHABLE, instance_id=f"gone{n}") for n in range(unreachable)
    ]
    async with AsyncExitStack() as resources:
        for number, registrar in enumerate(registrars):
            service = registrar_service(registrar, wall_clock_ms)
            serving = serve([service], Address("127.0.0.1", 0))
            address = await resources.enter_async_context(serving)
            addresses.append(
                RegistrarAddress(
                    instance_id=f"r{number}", address=str(address), data_centre="d"
                )
            )
        group = RegistrarGroup(epoch=1, registrars=tuple(addresses))
        async with AsyncExitStack() as clients:
            yield RegistrarCluster(group, registrars, clients)


async def test_group_of_one_grants() -> None:
    async with _registrar_cluster(running=1) as cluster:
        client = await cluster.client("e1")
        decision = await client.claim(new_job_id(), b"d", TIMEOUT_S)

    assert decision.state is ClaimState.OWNED_HERE


async def test_second_claimant_learns_the_owner_and_a_conflict() -> None:
    job_id = new_job_id()
    async with _registrar_cluster(running=3) as cluster:
        first = await cluster.client("e1")
        second = await cluster.client("e2")
        won = await first.claim(job_id, b"d", TIMEOUT_S)
        lost = await second.claim(job_id, b"d", TIMEOUT_S)
        conflict = await second.claim(job_id, b"other", TIMEOUT_S)

    assert won.state is ClaimState.OWNED_HERE
    assert lost.state is ClaimState.OWNED_ELSEWHERE
    assert (lost.owner_entry_id, lost.owner_address) == ("e1", "e1:1")
    assert conflict.state is ClaimState.CONFLICT


async def test_second_claim_of_an_owned_identifier_by_its_owner_is_not_granted() -> (
    None
):
    """A second submission of the same job at the same entry must not start it."""
    job_id = new_job_id()
    async with _registrar_cluster(running=3) as cluster:
        client = await cluster.client("e1")
        await client.claim(job_id, b"d", TIMEOUT_S)
        again = await client.claim(job_id, b"d", TIMEOUT_S)

    assert again.state is ClaimState.OWNED_ELSEWHERE


async def test_one_unreachable_registrar_of_three_is_tolerated() -> None:
    async with _registrar_cluster(running=2, unreachable=1) as cluster:
        client = await cluster.client("e1")
        decision = await client.claim(new_job_id(), b"d", TIMEOUT_S)

    assert decision.state is ClaimState.OWNED_HERE


async def test_claim_without_a_majority_is_unavailable_and_released() -> None:
    """A grant that stayed behind would name its claimant as owner to others."""
    job_id = new_job_id()
    async with _registrar_cluster(running=1, unreachable=2) as cluster:
        client = await cluster.client("e1")
        decision = await client.claim(job_id, b"d", SHORT_TIMEOUT_S)
        other = await cluster.client("e2")
        later = await other.claim(job_id, b"d", SHORT_TIMEOUT_S)

    assert decision.state is ClaimState.UNAVAILABLE
    assert not decision.may_have_run
    assert later.state is ClaimState.UNAVAILABLE


async def test_registrars_tell_whether_an_identifier_is_unused() -> None:
    """A lookup changes nothing: the identifier is granted to the next claimant."""
    job_id, other_id = new_job_id(), new_job_id()
    async with _registrar_cluster(running=2, unreachable=1) as cluster:
        owner = await cluster.client("e1")
        asker = await cluster.client("e2")
        await owner.claim(job_id, b"d", TIMEOUT_S)
        await asker.claim(other_id, b"d", TIMEOUT_S)
        assert not await asker.is_unused(job_id, TIMEOUT_S)
        fresh_id = new_job_id()
        assert await asker.is_unused(fresh_id, TIMEOUT_S)
        later = await owner.claim(fresh_id, b"d", TIMEOUT_S)

    assert later.state is ClaimState.OWNED_HERE


async def test_identifier_is_not_called_unused_without_a_majority() -> None:
    async with _registrar_cluster(running=1, unreachable=2) as cluster:
        client = await cluster.client("e1")
        assert not await client.is_unused(new_job_id(), SHORT_TIMEOUT_S)


async def test_restarted_registrars_do_not_call_a_former_identifier_unused() -> None:
    """They may have granted it before they lost their memory."""
    job_id = new_job_id()
    async with _registrar_cluster(running=3) as cluster:
        for registrar in cluster.registrars[:2]:
            registrar._abstain_until_ms = wall_clock_ms() + 1_000
        client = await cluster.client("e1")
        assert not await client.is_unused(job_id, TIMEOUT_S)
