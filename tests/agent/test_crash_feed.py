from __future__ import annotations

import attrs
import pytest

from crashes.crash_reports import crash_report
from verbenaplank.agent.crash_feed import CrashFeed
from verbenaplank.agent.crash_watch import WatchedServer
from verbenaplank.protocol.crash import Confinement
from verbenaplank.protocol.crash import CrashEvidence
from verbenaplank.protocol.crash import CrashReport

REPORT = crash_report("task", evidence=CrashEvidence.REFUSED)
SERVED = WatchedServer(agent_id="agent", backend_server="server", incarnation="1")


def from_entry(news: CrashReport | Confinement) -> None:
    """Stand for the stream of the entry that sent something."""


@pytest.mark.parametrize(
    ("incarnation", "evidence"),
    [("1", CrashEvidence.WITHDRAWN), ("2", CrashEvidence.RESTARTED)],
)
@pytest.mark.parametrize("served_first", [True, False])
def test_report_of_a_killed_agent_is_resolved_by_its_successor(
    served_first: bool, incarnation: str, evidence: CrashEvidence
) -> None:
    """Its tasks would wait for ten minutes, as nobody else can resolve it."""
    sent: list[CrashReport | Confinement] = []
    feed = CrashFeed(lambda: 0.0)
    served = attrs.evolve(SERVED, incarnation=incarnation)
    with feed.subscribe(sent.append):
        if served_first:
            feed.set_served(served)
        feed.add(REPORT, from_entry)
        if not served_first:
            feed.set_served(served)
    assert [report.evidence for report in sent] == [CrashEvidence.REFUSED, evidence]
    assert sent[-1].revision > REPORT.revision


def test_own_report_stays_until_the_backend_server_answers_or_restarts() -> None:
    sent: list[CrashReport | Confinement] = []
    feed = CrashFeed(lambda: 0.0)
    feed.set_served(SERVED)
    with feed.subscribe(sent.append):
        feed.add(REPORT)
    assert sent == [REPORT]


def test_report_of_another_agent_is_passed_on_but_not_resolved() -> None:
    sent: list[CrashReport | Confinement] = []
    feed = CrashFeed(lambda: 0.0)
    feed.set_served(SERVED)
    other = attrs.evolve(REPORT, agent_id="other", incarnation="0")
    with feed.subscribe(sent.append):
        feed.add(other, from_entry)
    assert sent == [other]


def test_confinement_of_one_entry_reaches_the_others_and_later_ones() -> None:
    now_s = [100.0]
    feed = CrashFeed(lambda: now_s[0])
    confinement = Confinement(
        service="draw", workload="deadly", share=0.2, blamed_ms=100.0
    )
    first: list[object] = []
    later: list[object] = []
    with feed.subscribe(first.append):
        feed.add_confinement(confinement, from_entry)
        feed.add_confinement(confinement, from_entry)
        assert first == [confinement]
        now_s[0] += 1.0
        with feed.subscribe(later.append):
            (sent,) = later
    assert isinstance(sent, Confinement)
    assert round(sent.blamed_ms) == 1_100
