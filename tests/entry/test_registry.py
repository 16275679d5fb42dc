from __future__ import annotations

from entry.driver import submission
from verbenaplank.entry.registry import RequestRegistry
from verbenaplank.entry.response import HttpResponse


def answered(registry: RequestRegistry, job_id: str, expires_s: float) -> None:
    record = registry.add(submission(job_id), expires_s)
    registry.mark_owned(record)
    registry.set_response(record, HttpResponse(status=200, body=b"x" * 40))


async def test_id_outlives_its_dropped_response_until_it_expires() -> None:
    """A response is dropped to save memory; forgetting its id could run it twice."""
    registry = RequestRegistry(max_records=10, max_response_bytes=100)
    for number in range(3):
        answered(registry, f"job-{number}", expires_s=10.0 + number)

    first = registry.find("job-0")
    assert first is not None
    assert first.owned
    assert first.response is None

    registry.expire(11.5)
    assert [registry.find(f"job-{n}") is None for n in range(3)] == [True, True, False]


async def test_id_that_is_not_owned_is_removed_with_its_response() -> None:
    """A failed claim must not fill the registry, and its id may be claimed again."""
    registry = RequestRegistry(max_records=1, max_response_bytes=100)
    record = registry.add(submission(), expires_s=10.0)
    assert registry.is_full

    registry.set_response(record, HttpResponse(status=503, body=b"{}"))

    assert registry.find("job") is None
    assert record.response is not None
    assert not registry.is_full


async def test_id_without_a_response_never_expires() -> None:
    """A job runs longer than the retention; its id must stay known until it ends."""
    registry = RequestRegistry(max_records=10, max_response_bytes=100)
    registry.add(submission(), expires_s=10.0)

    registry.expire(1_000.0)

    assert registry.find("job") is not None
