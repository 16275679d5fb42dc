"""Merges the sections of the document into the effective configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.configuration.effective import EffectiveConfiguration
from verbenaplank.configuration.effective import ServiceRules
from verbenaplank.configuration.effective import TeamRules
from verbenaplank.configuration.schema import SectionBody
from verbenaplank.configuration.schema import parse_section

if TYPE_CHECKING:
    from collections.abc import Iterable

    from verbenaplank.protocol.membership import SectionState


def merge_sections(
    version: int, sections: Iterable[SectionState]
) -> EffectiveConfiguration:
    """Merge sections into the effective configuration of a document version.

    A service belongs to the team that owns its section.  A team without a quota
    of its own has the default one.
    """
    services: dict[str, ServiceRules] = {}
    teams: dict[str, TeamRules] = {}
    drained: set[str] = set()
    for section in sections:
        body = parse_section(section.name, section.text).body
        teams.setdefault(section.owner, TeamRules(name=section.owner))
        services.update(_service_rules(section.owner, body))
        teams.update(_team_rules(body))
        drained.update(body.drained_backend_servers)
    return EffectiveConfiguration(
        version=version,
        services=services,
        teams=teams,
        drained_backend_servers=frozenset(drained),
    )


def _service_rules(team: str, body: SectionBody) -> dict[str, ServiceRules]:
    return {
        name: ServiceRules(name=name, team=team, **attrs.asdict(service, recurse=False))
        for name, service in body.services.items()
    }


def _team_rules(body: SectionBody) -> dict[str, TeamRules]:
    return {
        name: TeamRules(name=name, **attrs.asdict(team, recurse=False))
        for name, team in body.teams.items()
    }
