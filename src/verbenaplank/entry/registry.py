"""Registry of the request ids that this entry knows, and of their responses.

An id that was claimed here is kept until validation rejects it as too old, even if
its response had to be dropped: a second claim of the id by this entry must never be
mistaken for the first one.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from verbenaplank.entry.response import HttpResponse

if TYPE_CHECKING:
    from verbenaplank.entry.submission import Submission


@attrs.define(eq=False)
class RequestRecord:
    """A request id known to this entry.

    Attributes
    ----------
    digest
        Digest of the request's content.
    expires_s
        Monotonic time after which validation rejects the id, in seconds.
    owned
        Whether this entry may start the request; ``False`` during the claim.
    response
        The response, or ``None`` if it is pending or was dropped.
    dropped
        Whether the response was dropped to stay within the memory limit.
    claim_finished
        Set when the claim has succeeded or failed.
    answered
        Set when the request has a response.
    """

    job_id: str
    digest: bytes
    expires_s: float
    owned: bool = False
    response: HttpResponse | None = None
    dropped: bool = False
    claim_finished: asyncio.Event = attrs.field(factory=asyncio.Event)
    answered: asyncio.Event = attrs.field(factory=asyncio.Event)


class RequestRegistry:
    """Holds known request ids and a bounded amount of response data.

    Parameters
    ----------
    max_records
        Maximum number of ids; new requests are rejected when it is reached.
    max_response_bytes
        Maximum size of all stored responses; the oldest are dropped above it.
    """

    def __init__(self, *, max_records: int, max_response_bytes: int) -> None:
        self._max_records = max_records
        self._max_response_bytes = max_response_bytes
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()
        self._with_response: OrderedDict[str, RequestRecord] = OrderedDict()
        self._response_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def is_full(self) -> bool:
        """Whether the maximum number of ids is reached."""
        return len(self._records) >= self._max_records

    def find(self, job_id: str) -> RequestRecord | None:
        """Return the record of an id, or ``None``."""
        return self._records.get(job_id)

    def add(self, submission: Submission, expires_s: float) -> RequestRecord:
        """Add a request whose claim is about to begin, and return its record."""
        record = RequestRecord(submission.job_id, submission.digest, expires_s)
        self._records[record.job_id] = record
        return record

    def mark_owned(self, record: RequestRecord) -> None:
        """Mark a request as owned, so that this entry may start it."""
        record.owned = True
        record.claim_finished.set()

    def set_response(self, record: RequestRecord, response: HttpResponse) -> None:
        """Set the response and wake all waiters; keep the record only if owned."""
        record.response = response
        record.claim_finished.set()
        record.answered.set()
        if not record.owned:
            del self._records[record.job_id]
            return
        self._with_response[record.job_id] = record
        self._response_bytes += len(response.body)
        while self._response_bytes > self._max_response_bytes:
            self._drop_oldest_response()

    def expire(self, now_s: float) -> None:
        """Remove answered ids that validation now rejects as too old.

        Stops at the oldest record that is unanswered or has not expired.
        """
        while self._with_response or self._records:
            record = next(iter(self._records.values()))
            if record.expires_s > now_s or not record.answered.is_set():
                return
            self._remove(record)

    def _remove(self, record: RequestRecord) -> None:
        del self._records[record.job_id]
        if self._with_response.pop(record.job_id, None) and record.response:
            self._response_bytes -= len(record.response.body)

    def _drop_oldest_response(self) -> None:
        _, record = self._with_response.popitem(last=False)
        if record.response is not None:
            self._response_bytes -= len(record.response.body)
        record.response = None
        record.dropped = True
