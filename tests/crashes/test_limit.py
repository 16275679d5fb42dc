from __future__ import annotations

from crashes.crash_reports import crash_report
from verbenaplank.crashes.history import CrashHistory
from verbenaplank.crashes.limit import StartPermission
from verbenaplank.crashes.limit import start_permission
from verbenaplank.protocol.crash import CrashEvidence


def test_task_waits_until_a_refusing_server_has_restarted_or_answers() -> None:
    """A third server would crash if the task started before the second one is back."""
    history = CrashHistory()
    history.merge(crash_report("a", incarnation="1"), 0.0)
    assert start_permission(history, "a") is StartPermission.GRANTED

    refused = crash_report("a", incarnation="2", evidence=CrashEvidence.REFUSED)
    history.merge(refused, 1.0)
    assert start_permission(history, "a") is StartPermission.WAIT

    history.merge(crash_report("a", incarnation="2", revision=2), 2.0)
    assert start_permission(history, "a") is StartPermission.GIVEN_UP


def test_task_without_a_name_may_always_start() -> None:
    history = CrashHistory()
    for incarnation in ("1", "2", "3"):
        history.merge(crash_report("", incarnation=incarnation), 0.0)
    assert start_permission(history, "") is StartPermission.GRANTED
