from __future__ import annotations

from crashes.crash_reports import crash_report
from entry.driver import Driver
from verbenaplank.crashes.containment import FORGET_AFTER_S
from verbenaplank.protocol import work
from verbenaplank.protocol.crash import Confinement

DEADLY = Confinement(service="draw", workload="deadly", share=0.2, blamed_ms=100.0)


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


def test_entry_that_has_just_started_learns_which_workloads_are_confined() -> None:
    """After the kill of one entry a confined route crashed the whole fleet again."""
    driver = Driver("a", "b")
    driver.receive("a", work.FromAgent(confinements=(DEADLY,)))
    assert driver.engine.confinement.confined == {"deadly"}

    driver.confinements.clear()
    driver.join("c")
    ((agent_id, sent),) = driver.confinements
    assert (agent_id, sent.workload, sent.share) == ("c", "deadly", 0.2)

    driver.advance(FORGET_AFTER_S)
    assert not driver.engine.confinement.confined


def test_entry_tells_all_agents_which_workload_it_confines() -> None:
    driver = Driver("a", "b")
    for number in range(9):
        driver.submit(f"usual-{number}", workload="usual", claimed=False)
    driver.submit("one", workload="deadly", claimed=False)
    for number in range(3):
        report = crash_report("x.0", incarnation=str(number), workload="deadly")
        driver.receive("a", work.FromAgent(crashes=(report,)))
        driver.advance(0.2)
    assert {(name, item.workload) for name, item in driver.confinements} == {
        ("a", "deadly"),
        ("b", "deadly"),
    }
