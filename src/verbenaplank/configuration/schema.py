"""Schema and parser of the text of a section."""

from __future__ import annotations

import tomllib
from functools import lru_cache
from typing import Any
from typing import TypeVar

import attrs
from attrs import validators

from verbenaplank.configuration.effective import DEFAULT_MAX_IN_PROGRESS
from verbenaplank.configuration.effective import DEFAULT_MAX_STARTS_PER_S
from verbenaplank.configuration.effective import DEFAULT_RUN_TIME_MS
from verbenaplank.configuration.effective import DEFAULT_RUN_TIMEOUT_MS
from verbenaplank.outcome.finding import Finding
from verbenaplank.settings.checker import check_settings
from verbenaplank.settings.common import positive
from verbenaplank.settings.errors import SettingsError

MAX_TEXT_BYTES = 64 * 1024
"""Maximum size of the text of one section."""

MAX_CACHED_SECTIONS = 2_048
"""Number of parsed sections kept, so that a change parses only its own section."""

SHA256_HEX_PATTERN = "[0-9a-f]{64}"

Body = TypeVar("Body")


@attrs.frozen(kw_only=True)
class ServiceBody:
    """A table ``[services.NAME]``."""

    idempotent: bool = False
    run_time_ms: float = attrs.field(default=DEFAULT_RUN_TIME_MS, validator=positive)
    run_timeout_ms: float = attrs.field(
        default=DEFAULT_RUN_TIMEOUT_MS, validator=positive
    )
    max_runs: int = attrs.field(default=1, validator=positive)


@attrs.frozen(kw_only=True)
class TeamBody:
    """A table ``[teams.NAME]``: a team's quota and its callers' token."""

    max_starts_per_s: float = attrs.field(
        default=DEFAULT_MAX_STARTS_PER_S, validator=positive
    )
    max_in_progress: int = attrs.field(
        default=DEFAULT_MAX_IN_PROGRESS, validator=positive
    )
    weight: float = attrs.field(default=1.0, validator=positive)
    token_sha256: str = attrs.field(
        default="", validator=validators.matches_re(f"({SHA256_HEX_PATTERN})?")
    )


@attrs.frozen(kw_only=True)
class DrainBody:
    """The key ``drained_backend_servers``: ids of agents that are to drain."""

    drained_backend_servers: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class SectionBody:
    """The parsed and validated text of a section."""

    services: dict[str, ServiceBody] = attrs.field(factory=dict)
    teams: dict[str, TeamBody] = attrs.field(factory=dict)
    drained_backend_servers: tuple[str, ...] = ()


@attrs.frozen
class ParsedSection:
    """The valid parts of a section's text, and every fault in the text."""

    body: SectionBody
    findings: tuple[Finding, ...]


@lru_cache(maxsize=MAX_CACHED_SECTIONS)
def parse_section(name: str, text: str) -> ParsedSection:
    """Parse a section's text and collect every fault with its place."""
    size_bytes = len(text.encode())
    if size_bytes > MAX_TEXT_BYTES:
        detail = f"{size_bytes} bytes are over the limit of {MAX_TEXT_BYTES}"
        return ParsedSection(SectionBody(), (Finding(name, detail),))
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return ParsedSection(SectionBody(), (Finding(name, str(error)),))
    return _parse_document(name, document)


def _parse_document(name: str, document: dict[str, Any]) -> ParsedSection:
    findings: list[Finding] = []
    rest = {
        key: value
        for key, value in document.items()
        if key not in ("services", "teams")
    }
    services = parse_tables(document, "services", ServiceBody, name, findings)
    teams = parse_tables(document, "teams", TeamBody, name, findings)
    drains = _parse_table(rest, DrainBody, name, findings) or DrainBody()
    body = SectionBody(
        services=services,
        teams=teams,
        drained_backend_servers=drains.drained_backend_servers,
    )
    return ParsedSection(body, tuple(findings))


def parse_tables(
    document: dict[str, Any],
    key: str,
    body_type: type[Body],
    name: str,
    findings: list[Finding],
) -> dict[str, Body]:
    """Parse each table under a key and append its faults to ``findings``.

    Return the valid tables by name.
    """
    tables = document.get(key, {})
    if not isinstance(tables, dict):
        findings.append(Finding(f"{name}: {key}", "expected a table"))
        return {}
    bodies: dict[str, Body] = {}
    for table_name, table in tables.items():
        place = f"{name}: [{key}.{table_name}]"
        body = _parse_table(table, body_type, place, findings)
        if body is not None:
            bodies[table_name] = body
    return bodies


def _parse_table(
    table: object, body_type: type[Body], place: str, findings: list[Finding]
) -> Body | None:
    if not isinstance(table, dict):
        findings.append(Finding(place, "expected a table"))
        return None
    try:
        return check_settings(table, body_type, place)
    except SettingsError as error:
        findings.extend(error.findings)
        return None
