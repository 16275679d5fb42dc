from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from control_cluster import Cluster
from control_helpers import ADMINISTRATOR_TOKEN
from control_helpers import DEADLINE_S
from control_helpers import connect_client
from control_helpers import control_settings
from control_helpers import entry
from control_helpers import wait_until
from fake_log import FakeLog

from verbenaplank.claims.client import ClaimClient
from verbenaplank.claims.decision import ClaimState
from verbenaplank.clock.sources import wall_clock_ms
from verbenaplank.control.application import ControlInstance
from verbenaplank.control.registrar_runner import RegistrarRunner
from verbenaplank.control.replication import SharedReadBarrier
from verbenaplank.control.state_machine import ControlStateMachine
from verbenaplank.identifiers.job_id import new_job_id
from verbenaplank.membership.commands import SetRegistrars
from verbenaplank.protocol.membership import Registrar
from verbenaplank.rpc.endpoint import serve

if TYPE_CHECKING:
    from pathlib import Path

    from verbenaplank.protocol.membership import RegistrarGroup

TIMEOUT_S = 1.0


async def claim(group: RegistrarGroup | None, entry_id: str, job_id: str) -> ClaimState:
    assert group is not None
    generator = random.Random(entry_id)
    client = ClaimClient(entry_id, "a", "h:1", None, time.monotonic, generator)
    async with client:
        client.set_registrars(group)
        decision = await client.claim(job_id, b"digest", TIMEOUT_S)
    return decision.state


async def test_first_registrar_grants_at_once_and_abstains_after_a_restart(
    tmp_path: Path,
) -> None:
    """A restarted registrar does not know what it granted before.

    It must not grant the same id again.
    """
    settings = control_settings(tmp_path)
    job_id = new_job_id()
    states = []
    for _ in range(2):
        async with (
            ControlInstance(settings) as control,
            connect_client(entry(), control) as membership,
        ):
            await wait_until(
                lambda membership=membership: membership.registrars is not None
            )
            states.append(await claim(membership.registrars, "entry-1", job_id))

    assert states[0] is ClaimState.OWNED_HERE
    assert states[1] is not ClaimState.OWNED_HERE


async def test_new_group_opens_and_grants_no_identifier_of_the_former_group(
    tmp_path: Path,
) -> None:
    """Two groups that grant the same id would give a job two owners."""
    claims = {"max_clock_skew_s": 0.2}
    async with Cluster(tmp_path, claims=claims) as cluster:
        instances = [cluster.instances[index] for index in cluster.followers()]
        async with connect_client(entry(), *instances) as membership:
            await wait_until(lambda: membership.registrars is not None)
            old_id = new_job_id()
            first = await claim(membership.registrars, "entry-1", old_id)
            members = ["control-0", "control-1"]
            async with cluster.http(0) as http:
                reply = await http.put(
                    "/v1/registrars",
                    json={
                        "expected_epoch": 1,
                        "instance_ids": members,
                        "command_id": "c1",
                    },
                    headers={"Authorization": f"Bearer {ADMINISTRATOR_TOKEN}"},
                )
            assert reply.status_code == 200
            await wait_until(lambda: membership.registrars.epoch == 2)
            again = await claim(membership.registrars, "entry-2", old_id)
            # A registrar that may have granted before a restart abstains at first.
            new = ClaimState.UNAVAILABLE
            async with asyncio.timeout(DEADLINE_S):
                while new is ClaimState.UNAVAILABLE:
                    new = await claim(membership.registrars, "entry-2", new_job_id())

    assert first is ClaimState.OWNED_HERE
    assert again is ClaimState.OWNED_ELSEWHERE
    assert new is ClaimState.OWNED_HERE


async def test_registrar_ignores_a_group_that_no_quorum_has_confirmed(
    tmp_path: Path,
) -> None:
    """The state of an isolated instance may name a group that has been replaced."""
    machine = ControlStateMachine()
    log = FakeLog(machine)
    settings = control_settings(tmp_path)
    barrier = SharedReadBarrier(log, TIMEOUT_S)
    runner = RegistrarRunner(settings, log, machine, barrier, wall_clock_ms)
    log.barrier_succeeds = False
    async with serve([runner.service()], settings.rpc.address) as address:
        registrar = Registrar(
            instance_id="control-1", address=str(address), data_centre="Kochi"
        )
        machine.membership.registrars.set_registrars(
            SetRegistrars(expected_epoch=0, registrars=(registrar,))
        )
        group = machine.membership.registrars.open_group
        running = asyncio.create_task(runner.run())
        before_quorum = await claim(group, "entry-1", new_job_id())
        log.barrier_succeeds = True
        state = ClaimState.UNAVAILABLE
        async with asyncio.timeout(DEADLINE_S):
            while state is ClaimState.UNAVAILABLE:
                state = await claim(group, "entry-1", new_job_id())
        running.cancel()

    assert before_quorum is ClaimState.UNAVAILABLE
    assert state is ClaimState.OWNED_HERE
