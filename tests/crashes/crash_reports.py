from __future__ import annotations

from verbenaplank.protocol.crash import CrashedRun
from verbenaplank.protocol.crash import CrashEvidence
from verbenaplank.protocol.crash import CrashReport


def crash_report(
    *tasks: str,
    backend_server: str = "server",
    incarnation: str = "1",
    revision: int = 1,
    evidence: CrashEvidence = CrashEvidence.RESTARTED,
    agent_id: str = "agent",
    suspect: bool = True,
    workload: str = "",
) -> CrashReport:
    runs = tuple(
        CrashedRun(task=task, number=1, workload=workload, suspect=suspect)
        for task in tasks
    )
    return CrashReport(
        agent_id=agent_id,
        backend_server=backend_server,
        incarnation=incarnation,
        observer=f"observer of {agent_id}",
        revision=revision,
        evidence=evidence,
        runs=runs,
    )
