"""The requests that this entry knows by id, and their answers.

An identifier that was claimed here stays known until the check stage refuses
it as too old, also when the bytes of its answer had to be dropped: a second
claim of it by this entry must never look like a first one.
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
    """One identifier known here.

    Attributes
    ----------
    owned
        Whether this entry may start it; ``False`` while the claim runs.
    claim_finished
        Set once the claim has ended either way.
    response
        The answer, unless it is still to come or was dropped.
    expires_s
        Monotonic time after which the check stage refuses the identifier.
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
    """Holds the known identifiers, within bounds.

    Parameters
    ----------
    max_records
        How many identifiers are held; beyond it new requests are refused.
    max_response_bytes
        How many bytes of answers are kept; beyond it the oldest are dropped.
    """

    def __init__(self, *, max_records: int, max_response_bytes: int) -> None:
        self._max_records = max_records
        self._max_response_bytes = max_response_bytes
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()
        self._kept: OrderedDict[str, RequestRecord] = OrderedDict()
        self._response_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def is_full(self) -> bool:
        """Whether no further identifier can be held."""
        return len(self._records) >= self._max_records

    def find(self, job_id: str) -> RequestRecord | None:
        """Return what is known of an identifier."""
        return self._records.get(job_id)

    def add(self, submission: Submission, expires_s: float) -> RequestRecord:
        """Note an identifier whose claim begins."""
        record = RequestRecord(submission.job_id, submission.digest, expires_s)
        self._records[record.job_id] = record
        return record

    def mark_owned(self, record: RequestRecord) -> None:
        """Note that this entry may start an identifier."""
        record.owned = True
        record.claim_finished.set()

    def set_response(self, record: RequestRecord, response: HttpResponse) -> None:
        """Give the answer to all who wait; keep it if the identifier is owned."""
        record.response = response
        record.claim_finished.set()
        record.answered.set()
        if not record.owned:
            del self._records[record.job_id]
            return
        self._kept[record.job_id] = record
        self._response_bytes += len(response.body)
        while self._response_bytes > self._max_response_bytes:
            self._drop_oldest_response()

    def expire(self, now_s: float) -> None:
        """Forget answered identifiers that the check stage refuses by now."""
        while self._kept or self._records:
            record = next(iter(self._records.values()))
            if record.expires_s > now_s or not record.answered.is_set():
                return
            self._forget(record)

    def _forget(self, record: RequestRecord) -> None:
        del self._records[record.job_id]
        if self._kept.pop(record.job_id, None) and record.response:
            self._response_bytes -= len(record.response.body)

    def _drop_oldest_response(self) -> None:
        _, record = self._kept.popitem(last=False)
        if record.response is not None:
            self._response_bytes -= len(record.response.body)
        record.response = None
        record.dropped = True
