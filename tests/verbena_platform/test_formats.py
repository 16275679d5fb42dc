"""Decoding of the platform's settings, routing documents, jobs and reports.

Unknown keys must be accepted; malformed input must raise the error of its format
instead of reaching the programs.
"""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from verbena_platform.agent_settings import agent_settings
from verbena_platform.control_settings import control_settings
from verbena_platform.entry_settings import entry_settings
from verbena_platform.jobs import InvalidJobError
from verbena_platform.jobs import UnsupportedJobError
from verbena_platform.jobs import decode_job
from verbena_platform.node_settings import decode_node_settings
from verbena_platform.reports import InvalidReportError
from verbena_platform.reports import decode_report
from verbena_platform.routing import InvalidDocumentError
from verbena_platform.routing import decode_document
from verbenaplank.routing.table import Route

ROUTE = Route(
    name="r", host="one.example", path_prefix="/a/", service="s", timeout_ms=1_500
)


def document(**changes: Any) -> bytes:
    route = {
        "name": "r",
        "host": "one.example",
        "path-prefix": "/a/",
        "service": "s",
        "timeout-ms": 1_500,
        "kind": "unsafe",
        "max-attempts": 4,
        "stretch": 1.6,
    }
    fields: dict[str, Any] = {
        "version": 7,
        "routes": [route],
        "services": [{"name": "s", "rejects-overload": False}],
        "limits": {"max-body-bytes": 1_000},
        "unknown": {"kept": True},
    }
    return msgspec.json.encode(fields | changes)


def report(**changes: Any) -> bytes:
    fields: dict[str, Any] = {
        "service": "s",
        "address": "10.0.0.9:8080",
        "state": "ready",
        "sequence": 4,
        "born": 1_700,
        "capacity": {"cpu": 16_500, "mem-mb": 32_768, "gpu": 0},
        "labels": ["a", "r1-3"],
    }
    return msgspec.json.encode(fields | changes)


DEEP = b'{"a":' + b"[" * 100_000
"""Input that no recursive decoder reads to its end."""

DENSE = b'{"a":[' + b"0," * 200_000 + b"0]}"
"""Input that takes many times its size when it is decoded."""


def job(step: dict[str, Any] | None = None, **changes: Any) -> bytes:
    first = {"count": 2, "cpu": 1_600, "mem-mb": 64, "estimate-ms": 120.0}
    fields: dict[str, Any] = {
        "spec": "text",
        "best-effort": True,
        "steps": [first | (step or {})],
    }
    return msgspec.json.encode(fields | changes)


def node(role: str = "core") -> dict[str, Any]:
    listen = {"control": "10.1.0.17:8166"}
    if role == "edge":
        listen = {"frontend": "10.1.0.13:8161", "readiness": "10.1.0.13:8167"}
    return {
        "node": "n",
        "ip": "10.1.0.17",
        "zone": "kochi",
        "internal-ports": [7720, 7735],
        "seeds": ["10.1.0.17:8166", "10.2.0.34:8166"],
        "bootstrap": True,
        "data-dir": "/data/n",
        "listen-addrs": listen,
        "fault-tolerance": {"machines": 2},
        "bounds": {"hold-max-ms": 1_000, "grace-s": 6},
        "something-new": 1,
    }


def test_document_is_decoded_and_its_source_keeps_unknown_keys() -> None:
    decoded = decode_document(document())
    route = decoded.table.routes[0]
    assert (decoded.table.version, route.max_attempts, route.stretch) == (7, 4, 1.6)
    assert decoded.table.limits.max_body_bytes == 1_000
    assert msgspec.json.decode(decoded.source) == msgspec.json.decode(document())


def test_document_resent_with_reordered_keys_equals_the_first() -> None:
    fields = msgspec.json.decode(document())
    reordered = msgspec.json.encode(dict(reversed(fields.items())))
    assert decode_document(reordered) == decode_document(document())


@pytest.mark.parametrize(
    "body",
    [
        document()[:-9],
        b"",
        b"\xff",
        document(version="7"),
        document(services=[]),
        document(routes="none"),
    ],
)
def test_document_with_a_fault_is_rejected(body: bytes) -> None:
    with pytest.raises(InvalidDocumentError):
        decode_document(body)


def test_job_is_decoded_into_tasks_named_after_it() -> None:
    decoded = decode_job(job(), "0123456789abcdef", ROUTE, 2.0)
    names = [task.name for task in decoded.tasks]
    assert names == ["0123456789abcdef.0.0.0", "0123456789abcdef.0.0.1"]
    assert (decoded.needs.cores, decoded.estimate_s) == (1.6, 0.12)


@pytest.mark.parametrize(
    "body",
    [
        job({"gang": True}),
        job({"constraints": "a"}),
        job({"depends-on": [0]}),
        job(**{"best-effort": False}),
        job(**{"repeat-count": 3}),
        job(steps=[]),
    ],
)
def test_job_with_unsupported_feature_is_not_reported_as_invalid(body: bytes) -> None:
    with pytest.raises(UnsupportedJobError):
        decode_job(body, "0123456789abcdef", ROUTE, 2.0)


@pytest.mark.parametrize(
    "body",
    [b"{", DEEP, DENSE, job({"count": 0}), job(steps=3), job(spec="é" * 2_001)],
)
def test_malformed_job_is_rejected(body: bytes) -> None:
    with pytest.raises(InvalidJobError):
        decode_job(body, "0123456789abcdef", ROUTE, 2.0)


@pytest.mark.parametrize(
    ("fields", "cold_ms"),
    [
        ({}, 0.0),
        ({"cold-remaining-ms": 1_250}, 1_250.0),
        ({"cold-remaining-ms": -1}, 0.0),
    ],
)
def test_cold_time_of_a_report_is_optional(
    fields: dict[str, Any], cold_ms: float
) -> None:
    """Guards against reports that are lost because of a field of the cold time."""
    assert decode_report("i-1", report(**fields)).cold_remaining_ms == cold_ms


def test_cold_overage_is_decoded_or_its_default_applies() -> None:
    bounds = node()["bounds"]
    with_bound = node() | {"bounds": bounds | {"cold-overage": 2.5}}
    for document, factor in ((node("edge"), 1.5), (with_bound, 2.5)):
        settings = decode_node_settings(document)
        assert settings.cold_factor == factor
    edge = node("edge") | {"bounds": bounds | {"cold-overage": 2.5}}
    placement = entry_settings(decode_node_settings(edge)).placement
    assert placement.cold_factor == 2.5


def test_report_is_decoded() -> None:
    decoded = decode_report("i-1", report())
    assert (decoded.incarnation, decoded.size.cores, decoded.labels[-1]) == (
        "1700",
        16.5,
        "r1-3",
    )


@pytest.mark.parametrize(
    "body",
    [
        b"\xff\x00",
        report(state="resting"),
        report(sequence="4"),
        report(address="nowhere"),
        report(address="10.0.0.9:808080"),
        report(address="a..b:80"),
        report(capacity=None),
        report(**{"cold-remaining-ms": "soon"}),
    ],
)
def test_malformed_report_is_rejected(body: bytes) -> None:
    with pytest.raises(InvalidReportError):
        decode_report("i-1", body)


@pytest.mark.parametrize("server_id", ["", "i 1", "i-\u00f6", "i\r\nX: y", "i" * 300])
def test_report_under_an_id_that_no_header_can_carry_is_rejected(
    server_id: str,
) -> None:
    """Each call to the backend server names its id in a header."""
    with pytest.raises(InvalidReportError):
        decode_report(server_id, report())


def test_settings_are_built_for_each_role() -> None:
    core = control_settings(decode_node_settings(node()))
    assert core.instance_id == "10.1.0.17:7720"
    assert (core.group.tolerated_losses, core.group.may_found) == (2, True)
    assert [peer.instance_id for peer in core.peers] == [
        "10.1.0.17:7720",
        "10.2.0.34:7720",
    ]
    side = decode_node_settings(node())
    assert agent_settings(side).limits.drain_timeout_s < side.grace_s
    edge = decode_node_settings(node("edge"))
    assert edge.ingress is not None
    assert entry_settings(edge).control == core.peers


@pytest.mark.parametrize("body", [DEEP, DENSE])
def test_deeply_nested_or_dense_input_is_invalid_like_any_other(body: bytes) -> None:
    """The first was answered with status 502, as if the handler had a fault."""
    with pytest.raises(InvalidDocumentError):
        decode_document(body)
    with pytest.raises(InvalidReportError):
        decode_report("i-1", body)
