"""Slopes of the work that an entry and an agent do for a task."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from verbenaplank.admission.budget import hedge_budget
from verbenaplank.admission.budget import retry_budget
from verbenaplank.admission.queue import TaskQueue
from verbenaplank.agent.deduplication import StartedTasks
from verbenaplank.agent.effects import EntryKey
from verbenaplank.agent.effects import StartRun
from verbenaplank.agent.gate import Gate
from verbenaplank.agent.gate_limits import GateLimits
from verbenaplank.bench.slope import Slope
from verbenaplank.bench.slope import encoded_size
from verbenaplank.bench.slope import measure_memory
from verbenaplank.bench.slope import measure_processor_time
from verbenaplank.entry.effects import SendToAgent
from verbenaplank.entry.engine import Engine
from verbenaplank.entry.submission import Submission
from verbenaplank.identifiers.job_id import new_job_id
from verbenaplank.placement.fleet import Fleet
from verbenaplank.placement.policy import least_expected_completion
from verbenaplank.placement.task import TaskRequest
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MemberRole
from verbenaplank.protocol.work import AgentWelcome
from verbenaplank.protocol.work import Dispatch
from verbenaplank.protocol.work import FromAgent
from verbenaplank.protocol.work import LoadReport
from verbenaplank.protocol.work import TaskOutcome
from verbenaplank.protocol.work import TaskResult
from verbenaplank.protocol.work import ToAgent
from verbenaplank.rpc.codec import MessagePackCodec

if TYPE_CHECKING:
    from collections.abc import Iterator

    from verbenaplank.entry.effects import Effect

PAYLOAD = b'{"club": 1234, "rink": 7, "from": "2026-12-04T18:00", "n": 1}   '
SERVICE = "fixtures"
TEAM = "bochas"
SLOTS = 8
QUEUED_TASKS = 20_000
TASKS_PER_JOB = 10
ITEMS_PER_MESSAGE = (1, 8, 32)
FLEET_SIZES = (11, 32, 128, 3_800)
RUN_TIME_S = 0.2


def measure_task_slopes() -> Iterator[Slope]:
    """Measure the processor time of each stage of a task and the memory of tasks."""
    for count in ITEMS_PER_MESSAGE:
        yield from _measure_messages(count)
    for count in FLEET_SIZES:
        yield _measure_agent_choice(count)
    yield _measure_queue()
    yield _measure_engine()
    yield _measure_gate()
    yield measure_memory("entry.queued_task", QUEUED_TASKS, _filled_queue)
    yield measure_memory("entry.known_agent", 3_800, lambda: _fleet(3_800))
    yield measure_memory("agent.remembered_start", 100_000, _started_tasks)


def dispatches(count: int, job_id: str = "") -> tuple[Dispatch, ...]:
    """Return ``count`` dispatches of one job, each with a payload of 64 bytes.

    A new job id is created if ``job_id`` is empty.
    """
    job_id = job_id or new_job_id()
    return tuple(
        Dispatch(
            job_id=job_id,
            task_index=index,
            dispatch_id=index + 1,
            agent_incarnation="1",
            service=SERVICE,
            payload=PAYLOAD,
            start_budget_ms=30_000.0,
            run_budget_ms=30_000.0,
        )
        for index in range(count)
    )


def _measure_messages(count: int) -> Iterator[Slope]:
    codec = MessagePackCodec()
    repeats = 6_400 // count
    items = repeats * count
    to_agent = ToAgent(dispatches=dispatches(count))
    from_agent = FromAgent(
        results=tuple(_result(dispatch) for dispatch in to_agent.dispatches),
        load=LoadReport(running=SLOTS, queued=1),
    )
    pairs = (("dispatch", to_agent, ToAgent), ("result", from_agent, FromAgent))
    for name, message, message_type in pairs:
        data = codec.encode(message, message_type)

        def encode(message: object = message, type_: type = message_type) -> None:
            for _ in range(repeats):
                codec.encode(message, type_)

        def decode(data: bytes = data, type_: type = message_type) -> None:
            for _ in range(repeats):
                codec.decode(data, type_)

        yield measure_processor_time(f"{name}.encode.{count}_in_message", items, encode)
        yield measure_processor_time(f"{name}.decode.{count}_in_message", items, decode)
        yield encoded_size(f"{name}.wire.{count}_in_message", data, count)


def _result(dispatch: Dispatch) -> TaskResult:
    return TaskResult(
        job_id=dispatch.job_id,
        task_index=dispatch.task_index,
        dispatch_id=dispatch.dispatch_id,
        outcome=TaskOutcome.SUCCEEDED,
        output=PAYLOAD,
        run_time_ms=RUN_TIME_S * 1000,
    )


def _fleet(count: int) -> Fleet:
    fleet = Fleet(least_expected_completion, random.Random(1), "norte")
    for index in range(count):
        fleet.add_or_update(_member(index), 0.0)
        fleet.mark_connected(_agent_id(index), "1", SLOTS, 0.0)
        report = LoadReport(running=index % SLOTS, queued=0)
        fleet.record_load_report(_agent_id(index), report, 0.0)
    return fleet


def _member(index: int) -> Member:
    return Member(
        member_id=_agent_id(index),
        role=MemberRole.AGENT,
        incarnation="1",
        data_centre="norte",
        address=f"10.0.{index // 250}.{index % 250}:7000",
        rack=f"rack-{index // 3}",
        services=(SERVICE,),
        slots=SLOTS,
    )


def _agent_id(index: int) -> str:
    return f"agent-{index}"


def _tasks(count: int) -> list[TaskRequest]:
    return [
        TaskRequest(
            job_id=f"job-{index // TASKS_PER_JOB}",
            task_index=index % TASKS_PER_JOB,
            service=SERVICE,
            team=f"team-{index // TASKS_PER_JOB % 680}",
        )
        for index in range(count)
    ]


def _measure_agent_choice(count: int) -> Slope:
    fleet = _fleet(count)
    tasks = _tasks(2_000)

    def choose() -> None:
        for task in tasks:
            fleet.choose_agent(task, 0.1)

    return measure_processor_time(f"entry.choice.{count}_agents", len(tasks), choose)


def _filled_queue() -> TaskQueue:
    queue = TaskQueue()
    for task in _tasks(QUEUED_TASKS):
        queue.push(task, 0.0)
    return queue


def _measure_queue() -> Slope:
    def push_and_pop() -> None:
        queue = _filled_queue()
        while queue.pop(0.0, lambda task: True) is not None:
            pass

    name = f"entry.queue.push_and_pop.{QUEUED_TASKS}_queued"
    return measure_processor_time(name, QUEUED_TASKS, push_and_pop)


def _measure_engine() -> Slope:
    jobs = 200
    count = 11

    def run() -> None:
        engine = Engine(
            fleet=Fleet(least_expected_completion, random.Random(1), "norte"),
            queue=TaskQueue(),
            retry_budget=retry_budget(),
            hedge_budget=hedge_budget(),
            lease_held_since=lambda now_s: float("-inf"),
        )
        for index in range(count):
            engine.on_member_joined(_member(index), 0.0)
            welcome = AgentWelcome(
                agent_id=_agent_id(index), incarnation="1", slots=SLOTS
            )
            engine.on_agent_connected(welcome, 0.0)
        for number in range(jobs):
            now_s = number * 0.01
            engine.submit(_submission(number, now_s), now_s)
            _finish_dispatched_tasks(engine, engine.flush(now_s), now_s)

    return measure_processor_time("entry.decisions", jobs * TASKS_PER_JOB, run)


def _submission(number: int, now_s: float) -> Submission:
    return Submission(
        job_id=f"job-{number}",
        service=SERVICE,
        team=TEAM,
        digest=b"digest",
        payloads=(PAYLOAD,) * TASKS_PER_JOB,
        received_s=now_s,
        deadline_s=now_s + 30.0,
    )


def _finish_dispatched_tasks(
    engine: Engine, effects: list[Effect], now_s: float
) -> None:
    for effect in effects:
        if isinstance(effect, SendToAgent) and isinstance(effect.item, Dispatch):
            message = FromAgent(
                results=(_result(effect.item),), load=LoadReport(running=0, queued=0)
            )
            engine.on_agent_message(effect.agent_id, message, now_s)
            engine.flush(now_s)


def _measure_gate() -> Slope:
    count = 10_000

    def run() -> None:
        limits = GateLimits(slots=SLOTS, max_queued_tasks=64, retention_s=300.0)
        gate = Gate("1", frozenset({SERVICE}), limits)
        key = EntryKey("entry-1", "1")
        gate.on_hello(key, 0.0)
        gate.on_renewal(key, 1e9, 0.0)
        for dispatch in dispatches(count):
            gate.on_dispatch(key, dispatch, 1.0)
            for effect in gate.assign_slots(1.0):
                if isinstance(effect, StartRun):
                    gate.confirm_start(effect, 1.0)
                    gate.on_finished(effect.task_id, _result(dispatch), 1.2)
                    gate.on_received(effect.task_id)

    return measure_processor_time("agent.gate", count, run)


def _started_tasks() -> StartedTasks:
    starts = StartedTasks(300.0)
    job_id = new_job_id()
    for index in range(100_000):
        starts.add(f"{job_id}/{index}/1", 1, index, 1.0)
    return starts
