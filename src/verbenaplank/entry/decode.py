"""Decodes the JSON body of a request into a :class:`ParsedRequest`."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from verbenaplank.entry.fields import FieldReader
from verbenaplank.entry.fields import JsonObject
from verbenaplank.entry.parsed_request import ParsedRequest
from verbenaplank.outcome.finding import Finding
from verbenaplank.placement.task import Resources
from verbenaplank.protocol.decoding import DECODE_ERRORS

if TYPE_CHECKING:
    from collections.abc import Callable

PRIORITIES = ("routine", "urgent")
MAX_DEADLINE_MS = 3_600_000
MAX_RUNS = 100
MAX_RACK_CHARACTERS = 100
MAX_NEED = 2**31 - 1

_COMMON_FIELDS = frozenset(
    {
        "id",
        "service",
        "team",
        "priority",
        "deadline_ms",
        "needs",
        "preferred_rack",
    }
)
_JOB_FIELDS = _COMMON_FIELDS | {"tasks"}
_REQUEST_FIELDS = _COMMON_FIELDS | {"payload", "idempotent", "max_runs"}
_NEEDS_FIELDS = frozenset({"cores", "memory_mb", "accelerators"})
_TASK_FIELDS = frozenset({"payload"})

_BODY = msgspec.json.Decoder(JsonObject)


def decode_job(body: bytes) -> ParsedRequest:
    """Decode the body of ``POST /v1/jobs``."""
    return _decode(body, _read_job, single=False)


def decode_request(body: bytes) -> ParsedRequest:
    """Decode the body of ``POST /v1/requests``."""
    return _decode(body, _read_request, single=True)


def decode_query(body: bytes) -> ParsedRequest:
    """Decode the body of ``POST /v1/where``, which is that of a job or a request.

    It is a request if it has a field that only requests have, and no tasks.
    """
    try:
        names = _BODY.decode(body).keys()
    except DECODE_ERRORS:
        return decode_job(body)
    if "tasks" not in names and names & _REQUEST_FIELDS - _JOB_FIELDS:
        return decode_request(body)
    return decode_job(body)


def _decode(
    body: bytes,
    read: Callable[[FieldReader, list[Finding]], ParsedRequest],
    *,
    single: bool,
) -> ParsedRequest:
    findings: list[Finding] = []
    try:
        body.decode("utf-8")
        fields = _BODY.decode(body)
    except DECODE_ERRORS as error:
        return ParsedRequest(single=single, findings=(Finding("body", str(error)),))
    return read(FieldReader(fields, findings), findings)


def _read_job(reader: FieldReader, findings: list[Finding]) -> ParsedRequest:
    reader.reject_unknown(_JOB_FIELDS)
    job_id = reader.text("id", required=True)
    tasks = reader.objects("tasks")
    for task in tasks:
        task.reject_unknown(_TASK_FIELDS)
    return _parsed_request(
        reader,
        findings,
        single=False,
        job_id=job_id,
        payloads=tuple(task.raw("payload") for task in tasks),
    )


def _read_request(reader: FieldReader, findings: list[Finding]) -> ParsedRequest:
    reader.reject_unknown(_REQUEST_FIELDS)
    return _parsed_request(
        reader,
        findings,
        single=True,
        job_id=reader.text("id"),
        payloads=(reader.raw("payload"),),
        idempotent=reader.boolean("idempotent"),
        max_runs=reader.integer("max_runs", low=1, high=MAX_RUNS),
    )


def _parsed_request(
    reader: FieldReader,
    findings: list[Finding],
    *,
    single: bool,
    job_id: str,
    payloads: tuple[bytes, ...],
    idempotent: bool = False,
    max_runs: int | None = None,
) -> ParsedRequest:
    service = reader.text("service", required=True)
    team = reader.text("team", required=True)
    urgent = reader.choice("priority", PRIORITIES) == "urgent"
    deadline_ms = reader.integer("deadline_ms", low=1, high=MAX_DEADLINE_MS)
    preferred_rack = reader.text("preferred_rack", longest=MAX_RACK_CHARACTERS)
    needs = _read_needs(reader.nested("needs"))
    return ParsedRequest(
        single=single,
        job_id=job_id,
        service=service,
        team=team,
        urgent=urgent,
        deadline_ms=deadline_ms,
        needs=needs,
        preferred_rack=preferred_rack,
        payloads=payloads,
        idempotent=idempotent,
        max_runs=max_runs,
        findings=tuple(findings),
    )


def _read_needs(reader: FieldReader) -> Resources:
    reader.reject_unknown(_NEEDS_FIELDS)
    return Resources(
        cores=reader.integer("cores", low=0, high=MAX_NEED) or 0,
        memory_mb=reader.integer("memory_mb", low=0, high=MAX_NEED) or 0,
        accelerators=reader.integer("accelerators", low=0, high=MAX_NEED) or 0,
    )
