from __future__ import annotations

from crashes.crash_reports import crash_report
from entry.driver import Driver
from verbenaplank.protocol import work


def test_crash_report_reaches_every_other_agent_once() -> None:
    """What one agent saw must outlive that agent and this entry."""
    driver = Driver("a", "b", "c")
    report = crash_report("task", agent_id="a")
    driver.receive("a", work.FromAgent(crashes=(report,)))
    driver.receive("b", work.FromAgent(crashes=(report,)))
    assert driver.crash_reports == [("b", report), ("c", report)]
    assert driver.engine.crashes.counts.restarted == 1


def test_agent_that_connects_later_gets_all_crash_reports() -> None:
    driver = Driver("a")
    report = crash_report("task", agent_id="a")
    driver.receive("a", work.FromAgent(crashes=(report,)))
    driver.join("b")
    assert driver.crash_reports == [("b", report)]
