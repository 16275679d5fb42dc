"""Reads the initial document, which is loaded into an empty configuration."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING
from typing import Any

import attrs
from attrs import validators

from verbenaplank.configuration.commands import InitialSection
from verbenaplank.configuration.commands import LoadDocument
from verbenaplank.configuration.commands import SectionGrant
from verbenaplank.configuration.schema import SHA256_HEX_PATTERN
from verbenaplank.configuration.schema import parse_tables
from verbenaplank.outcome.finding import Finding
from verbenaplank.settings.common import not_empty
from verbenaplank.settings.errors import SettingsError

if TYPE_CHECKING:
    from pathlib import Path

SECTIONS_KEY = "sections"
INITIAL_DOCUMENT_COMMAND_ID = "first-document"


def validate_grants(
    instance: object, attribute: attrs.Attribute[Any], value: Any
) -> None:
    """Check that each value names a grant."""
    validators.deep_iterable(validators.in_([grant.value for grant in SectionGrant]))(
        instance, attribute, value
    )


@attrs.frozen(kw_only=True)
class SectionTable:
    """A table ``[sections.NAME]`` of the initial document.

    Attributes
    ----------
    team
        The team that owns the section.
    token_sha256
        SHA-256 of the team's operator token, in hexadecimal.
    text
        The section's own TOML text.
    """

    team: str = attrs.field(validator=not_empty)
    token_sha256: str = attrs.field(
        default="", validator=validators.matches_re(f"({SHA256_HEX_PATTERN})?")
    )
    grants: tuple[str, ...] = attrs.field(default=(), validator=validate_grants)
    text: str = ""


def load_initial_document(path: Path) -> LoadDocument:
    """Read and validate the initial document.

    Raises
    ------
    SettingsError
        If the file cannot be read or has faults; the error lists all of them.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError((Finding(str(path), str(error)),)) from error
    findings = [
        Finding(f"{path}: {key}", "unknown key")
        for key in document.keys() - {SECTIONS_KEY}
    ]
    tables = parse_tables(document, SECTIONS_KEY, SectionTable, str(path), findings)
    if findings:
        raise SettingsError(tuple(findings))
    return LoadDocument(
        sections=tuple(_initial_section(name, table) for name, table in tables.items())
    )


def _initial_section(name: str, table: SectionTable) -> InitialSection:
    return InitialSection(
        section=name,
        team=table.team,
        text=table.text,
        token_sha256=table.token_sha256,
        grants=tuple(map(SectionGrant, table.grants)),
    )
