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


async def test_join_waits_until_attached_peers_have_the_response() -> None:
    """A draining entry must not exit while another entry is attached to its job."""
    known = registry()
    record = known.add(submission(), expires_s=100.0)
    known.mark_owned(record)
    service = PeerService(known, lambda job_id: False, lambda route, key: False)
    request = AttachRequest(job_id="job", digest=b"digest", wait_ms=10_000.0)

    attached = asyncio.create_task(service.attach(request))
    await asyncio.sleep(0)
    joined = asyncio.create_task(service.join())
    await asyncio.sleep(0)
    assert not joined.done()
    known.set_response(record, ANSWER)

    await joined
    assert (await attached).body == ANSWER.body


async def test_attach_reports_the_state_of_a_job() -> None:
    """An entry that attaches must tell unknown from pending and answered jobs."""
    known = registry()
    record = known.add(submission(), expires_s=100.0)
    service = PeerService(known, lambda job_id: False, lambda route, key: False)

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


async def test_attach_reports_a_job_owned_by_another_entry_as_unknown() -> None:
    """A peer attaches during the claim, which another entry then wins."""
    known = registry()
    record = known.add(submission(), expires_s=100.0)
    service = PeerService(known, lambda job_id: False, lambda route, key: False)
    request = AttachRequest(job_id="job", wait_ms=10_000.0)

    attached = asyncio.create_task(service.attach(request))
    await asyncio.sleep(0)
    known.set_response(record, ANSWER)

    assert (await attached).state is AttachState.UNKNOWN
