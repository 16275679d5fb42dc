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

from verbenaplank.entry.response import Answer

if TYPE_CHECKING:
    from verbenaplank.entry.submission import Submission


@attrs.define(eq=False)
class RequestRecord:
    """One identifier known here.

    Attributes
    ----------
    owned
        Whether this entry may start it; ``False`` while the claim runs.
    decided
        Set once the claim has ended either way.
    answer
        The answer, unless it is still to come or was dropped.
    expires_s
        Monotonic time after which the check stage refuses the identifier.
    """

    job_id: str
    digest: bytes
    expires_s: float
    owned: bool = False
    answer: Answer | None = None
    dropped: bool = False
    decided: asyncio.Event = attrs.field(factory=asyncio.Event)
    answered: asyncio.Event = attrs.field(factory=asyncio.Event)


class RequestRegistry:
    """Holds the known identifiers, within bounds.

    Parameters
    ----------
    max_records
        How many identifiers are held; beyond it new requests are refused.
    max_answer_bytes
        How many bytes of answers are kept; beyond it the oldest are dropped.
    """

    def __init__(self, *, max_records: int, max_answer_bytes: int) -> None:
        self._max_records = max_records
        self._max_answer_bytes = max_answer_bytes
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()
        self._kept: OrderedDict[str, RequestRecord] = OrderedDict()
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def full(self) -> bool:
        """Whether no further identifier can be held."""
        return len(self._records) >= self._max_records

    def find(self, job_id: str) -> RequestRecord | None:
        """Return what is known of an identifier."""
        return self._records.get(job_id)

    def open(self, submission: Submission, expires_s: float) -> RequestRecord:
        """Note an identifier whose claim begins."""
        record = RequestRecord(submission.job_id, submission.digest, expires_s)
        self._records[record.job_id] = record
        return record

    def own(self, record: RequestRecord) -> None:
        """Note that this entry may start an identifier."""
        record.owned = True
        record.decided.set()

    def settle(self, record: RequestRecord, answer: Answer) -> None:
        """Give the answer to all who wait; keep it if the identifier is owned."""
        record.answer = answer
        record.decided.set()
        record.answered.set()
        if not record.owned:
            del self._records[record.job_id]
            return
        self._kept[record.job_id] = record
        self._answer_bytes += len(answer.body)
        while self._answer_bytes > self._max_answer_bytes:
            self._drop_oldest_answer()

    def expire(self, now_s: float) -> None:
        """Forget answered identifiers that the check stage refuses by now."""
        while self._kept or self._records:
            record = next(iter(self._records.values()))
            if record.expires_s > now_s or not record.answered.is_set():
                return
            self._forget(record)

    def _forget(self, record: RequestRecord) -> None:
        del self._records[record.job_id]
        if self._kept.pop(record.job_id, None) and record.answer:
            self._answer_bytes -= len(record.answer.body)

    def _drop_oldest_answer(self) -> None:
        _, record = self._kept.popitem(last=False)
        if record.answer is not None:
            self._answer_bytes -= len(record.answer.body)
        record.answer = None
        record.dropped = True
