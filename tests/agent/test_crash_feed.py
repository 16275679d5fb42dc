from __future__ import annotations

import attrs
import pytest

from crashes.crash_reports import crash_report
from verbenaplank.agent.crash_feed import CrashFeed
from verbenaplank.agent.crash_watch import WatchedServer
from verbenaplank.protocol.crash import CrashEvidence
from verbenaplank.protocol.crash import CrashReport

REPORT = crash_report("task", evidence=CrashEvidence.REFUSED)
SERVED = WatchedServer(agent_id="agent", backend_server="server", incarnation="1")


def from_entry(report: CrashReport) -> None:
    """Stand for the stream of the entry that sent a report."""


@pytest.mark.parametrize(
    ("incarnation", "evidence"),
    [("1", CrashEvidence.WITHDRAWN), ("2", CrashEvidence.RESTARTED)],
)
@pytest.mark.parametrize("served_first", [True, False])
def test_report_of_a_killed_agent_is_resolved_by_its_successor(
    served_first: bool, incarnation: str, evidence: CrashEvidence
) -> None:
    """Its tasks would wait for ten minutes, as nobody else can resolve it."""
    sent: list[CrashReport] = []
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
    sent: list[CrashReport] = []
    feed = CrashFeed(lambda: 0.0)
    feed.set_served(SERVED)
    with feed.subscribe(sent.append):
        feed.add(REPORT)
    assert sent == [REPORT]


def test_report_of_another_agent_is_passed_on_but_not_resolved() -> None:
    sent: list[CrashReport] = []
    feed = CrashFeed(lambda: 0.0)
    feed.set_served(SERVED)
    other = attrs.evolve(REPORT, agent_id="other", incarnation="0")
    with feed.subscribe(sent.append):
        feed.add(other, from_entry)
    assert sent == [other]
