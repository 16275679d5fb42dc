from __future__ import annotations

import asyncio

from entry.driver import submission
from verbenaplank.entry.peer_service import PeerService
from verbenaplank.entry.registry import RequestRegistry
from verbenaplank.entry.response import HttpResponse
from verbenaplank.protocol.peer import AttachRequest
from verbenaplank.protocol.peer import AttachState

ANSWER = HttpResponse(status=200, body=b"{}")


def registry() -> RequestRegistry:
    return RequestRegistry(max_records=10, max_response_bytes=100)


async def test_peers_that_wait_are_joined_and_get_the_answer() -> None:
    known = registry()
    record = known.add(submission(), expires_s=100.0)
    known.mark_owned(record)
    service = PeerService(known, lambda job_id: False)
    request = AttachRequest(job_id="job", digest=b"digest", wait_ms=10_000.0)

    attached = asyncio.create_task(service.attach(request))
    await asyncio.sleep(0)
    joined = asyncio.create_task(service.join())
    await asyncio.sleep(0)
    assert not joined.done()
    known.set_response(record, ANSWER)

    await joined
    assert (await attached).body == ANSWER.body


async def test_state_of_a_job_is_told() -> None:
    known = registry()
    record = known.add(submission(), expires_s=100.0)
    service = PeerService(known, lambda job_id: False)

    async def ask(job_id: str, digest: bytes = b"") -> AttachState:
        request = AttachRequest(job_id=job_id, digest=digest, wait_ms=1.0)
        return (await service.attach(request)).state

    assert await ask("unheard") is AttachState.UNKNOWN
    assert await ask("job") is AttachState.PENDING
    known.mark_owned(record)
    assert await ask("job", b"other") is AttachState.CONFLICT
    assert await ask("job") is AttachState.PENDING
    known.set_response(record, ANSWER)
    assert await ask("job") is AttachState.ANSWERED


async def test_job_that_turns_out_to_be_owned_elsewhere_is_unknown_here() -> None:
    known = registry()
    record = known.add(submission(), expires_s=100.0)
    service = PeerService(known, lambda job_id: False)
    request = AttachRequest(job_id="job", wait_ms=10_000.0)

    attached = asyncio.create_task(service.attach(request))
    await asyncio.sleep(0)
    known.set_response(record, ANSWER)

    assert (await attached).state is AttachState.UNKNOWN
