from __future__ import annotations

import attrs
import pytest

from verbenaplank.configuration import audit
from verbenaplank.configuration.audit import AuditChainError
from verbenaplank.configuration.audit import AuditTrail
from verbenaplank.configuration.audit import verify_chain


def build_trail(count: int) -> AuditTrail:
    trail = AuditTrail()
    for number in range(count):
        trail.append(
            at_ms=number,
            actor="team fixtures",
            command_id=f"c{number}",
            action="apply",
            subject="fixtures",
            version=number,
            outcome="accepted",
        )
    return trail


def test_complete_and_restored_trails_pass_verification() -> None:
    trail = build_trail(5)
    restored = AuditTrail(trail.records, trail.anchor)

    verify_chain(restored.records, restored.anchor)
    assert [record.sequence for record in restored.records] == [1, 2, 3, 4, 5]


@pytest.mark.parametrize("index", range(4))
def test_changed_removed_or_swapped_record_is_detected(index: int) -> None:
    trail = build_trail(5)
    records = list(trail.records)
    changed = [*records]
    changed[index] = attrs.evolve(records[index], actor="team enrolment")
    removed = [record for record in records if record is not records[index]]
    swapped = [*records]
    swapped[index], swapped[index + 1] = swapped[index + 1], swapped[index]

    for forged in (changed, removed, swapped):
        with pytest.raises(AuditChainError):
            verify_chain(forged, trail.anchor)


def test_truncated_trail_is_verified_from_its_anchor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Removing the oldest records must not look like tampering."""
    monkeypatch.setattr(audit, "MAX_RECORDS", 3)
    trail = build_trail(10)

    assert [record.sequence for record in trail.records] == [8, 9, 10]
    verify_chain(trail.records, trail.anchor)


def test_pages_form_one_chain(monkeypatch: pytest.MonkeyPatch) -> None:
    """The last digest of each page is the anchor of the next one."""
    monkeypatch.setattr(audit, "MAX_RECORDS", 8)
    trail = build_trail(10)
    anchor = trail.anchor
    seen: list[int] = []
    while page := trail.page(seen[-1] if seen else 0, 3).records:
        verify_chain(page, anchor)
        assert trail.page(page[0].sequence - 1, 1).anchor == anchor
        anchor = page[-1].digest
        seen += [record.sequence for record in page]

    assert seen == list(range(3, 11))
    assert trail.page(99, 3).anchor == trail.records[-1].digest
