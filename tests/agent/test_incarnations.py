from __future__ import annotations

import attrs

from verbenaplank.agent.incarnations import MAX_REMEMBERED
from verbenaplank.agent.incarnations import Incarnations
from verbenaplank.agent.incarnations import ReportKind
from verbenaplank.agent.report import BackendServerReport
from verbenaplank.placement.task import Resources

OWN = BackendServerReport(
    server_id="own",
    incarnation="2",
    sequence=3,
    service="draw",
    address="127.0.0.1:1",
    slots=8,
    draining=False,
    size=Resources(cores=8.0),
)
EARLIER = attrs.evolve(OWN, incarnation="1", sequence=9)
FOREIGN = attrs.evolve(OWN, server_id="foreign", service="none")


def serving() -> Incarnations:
    incarnations = Incarnations()
    assert incarnations.add(OWN) is ReportKind.FIRST
    incarnations.record_served(OWN)
    return incarnations


def test_reports_of_the_served_incarnation_are_told_apart() -> None:
    incarnations = serving()
    later = attrs.evolve(OWN, sequence=4)
    draining = attrs.evolve(OWN, sequence=5, draining=True)

    assert incarnations.add(OWN) is ReportKind.IGNORED
    assert incarnations.add(later) is ReportKind.REPEATED
    assert incarnations.add(draining) is ReportKind.CHANGED
    assert incarnations.current == draining
    assert incarnations.is_leaving(OWN)


def test_other_incarnation_does_not_replace_the_served_one_by_a_report() -> None:
    """A late or a foreign report made an agent leave the server that it served."""
    for other in (EARLIER, FOREIGN):
        incarnations = serving()
        assert incarnations.add(other) is ReportKind.CHALLENGE
        assert incarnations.current == OWN
        assert incarnations.take_challenger() == other
        assert incarnations.take_challenger() is None


def test_report_that_moves_the_served_incarnation_is_ignored() -> None:
    """Another writer named the id and the start of the served backend server."""
    incarnations = serving()
    for moved in ({"address": "127.0.0.1:2"}, {"service": "none"}):
        report = attrs.evolve(OWN, sequence=9, draining=True, **moved)
        assert incarnations.add(report) is ReportKind.IGNORED
    assert incarnations.current == OWN
    assert not incarnations.is_leaving(OWN)

    incarnations.record_unserved()
    moved_report = attrs.evolve(OWN, sequence=9, address="127.0.0.1:2")
    assert incarnations.add(moved_report) is ReportKind.CHANGED


def test_newest_report_is_tried_first_while_none_is_served() -> None:
    incarnations = Incarnations()
    incarnations.add(OWN)
    assert incarnations.add(FOREIGN) is ReportKind.FIRST
    incarnations.try_next()
    assert incarnations.current == OWN
    incarnations.try_next()
    assert incarnations.current == FOREIGN


def test_incarnation_that_answers_stays_although_another_reported_meanwhile() -> None:
    """The report came while the agent took over; it had no call answered yet."""
    incarnations = Incarnations()
    incarnations.add(OWN)
    incarnations.add(FOREIGN)
    incarnations.record_served(OWN)

    assert incarnations.current == OWN
    assert incarnations.take_challenger() == FOREIGN


def test_server_that_leaves_does_not_replace_one_that_stays() -> None:
    incarnations = serving()
    incarnations.add(attrs.evolve(EARLIER, draining=True))

    assert incarnations.take_challenger() is None


def test_challenger_is_next_after_the_end_of_the_current_incarnation() -> None:
    incarnations = serving()
    successor = attrs.evolve(OWN, incarnation="3", sequence=1)
    incarnations.add(successor)
    incarnations.end(OWN)

    assert incarnations.current == successor
    assert incarnations.add(OWN) is ReportKind.IGNORED


def test_report_during_the_end_of_service_is_not_lost() -> None:
    """Its backend server would have waited for service until its next report."""
    incarnations = serving()
    incarnations.end(OWN)
    successor = attrs.evolve(OWN, incarnation="3", sequence=1)
    assert incarnations.add(successor) is ReportKind.CHALLENGE
    incarnations.record_unserved()

    assert incarnations.current == successor


def test_forgotten_incarnation_is_current_again_after_its_next_report() -> None:
    incarnations = serving()
    incarnations.forget(OWN)
    incarnations.record_unserved()

    assert incarnations.current is None
    assert incarnations.add(OWN) is ReportKind.FIRST


def test_announced_end_concerns_the_current_incarnation_only() -> None:
    incarnations = serving()

    assert incarnations.announce_end("foreign") is None
    assert incarnations.announce_end("own") == OWN
    assert incarnations.is_leaving(OWN)


def test_ended_incarnations_are_remembered_up_to_a_limit() -> None:
    """Reports of other writers may name any number of incarnations."""
    incarnations = Incarnations()
    for number in range(MAX_REMEMBERED + 1):
        incarnations.end(attrs.evolve(OWN, incarnation=str(number)))

    assert incarnations.add(attrs.evolve(OWN, incarnation="1")) is ReportKind.IGNORED
    assert incarnations.add(attrs.evolve(OWN, incarnation="0")) is ReportKind.FIRST
