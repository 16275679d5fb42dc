from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING

import pytest
from fake_worker import FakeBackendServer
from fake_worker import wait_until

from verbenaplank.agent.active_run import STALL_TIMEOUT_S
from verbenaplank.agent.backend import BackendServerDownError
from verbenaplank.agent.backend_lease import EXPIRY_MARGIN_S
from verbenaplank.agent.call_timeouts import CALL_TIMEOUTS_S
from verbenaplank.agent.fencing import FencingTokens
from verbenaplank.agent.lease_protocol import CallFailedError
from verbenaplank.agent.lease_protocol import EndKind
from verbenaplank.agent.lease_protocol import RunId
from verbenaplank.agent.lease_protocol import StartStatus
from verbenaplank.agent.leased_backend import LeasedBackend
from verbenaplank.agent.named_task import NamedTask
from verbenaplank.agent.named_task import encode_task
from verbenaplank.agent.poll_sender import POLL_WAIT_MS
from verbenaplank.clock.sources import monotonic_s
from verbenaplank.concurrency import restarting
from verbenaplank.protocol.work import TaskOutcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.agent.backend import RunReport
    from verbenaplank.agent.lease_protocol import PollReply
    from verbenaplank.agent.lease_protocol import PollRequest
    from verbenaplank.agent.lease_protocol import StartReply
    from verbenaplank.agent.lease_protocol import StartRequest

LEASE_S = 0.3
PAYLOAD = encode_task(NamedTask(name="task", content="do"))


def make_backend(
    server: FakeBackendServer,
    on_lost: Callable[[], None] = lambda: None,
    tokens: FencingTokens | None = None,
) -> LeasedBackend:
    return LeasedBackend(
        server, LEASE_S, monotonic_s, on_lost, tokens=tokens or FencingTokens()
    )


def start_run(backend: LeasedBackend, attempt: int = 1) -> asyncio.Task[RunReport]:
    run = backend.run(backend, f"job/0/{attempt}", "draw", PAYLOAD, 30.0)
    return asyncio.create_task(run)


async def wait_until_lost(backend: LeasedBackend) -> None:
    """Wait until the agent knows that the backend server has restarted."""
    async with asyncio.timeout(10):
        while not backend.lease.is_down:  # noqa: ASYNC110
            await asyncio.sleep(0.001)


async def wait_until_started(server: FakeBackendServer) -> RunId:
    await wait_until(server, lambda: bool(server.active))
    return next(iter(server.active))


@pytest.mark.parametrize(
    ("kind", "outcome"),
    [
        (EndKind.DONE, TaskOutcome.SUCCEEDED),
        (EndKind.FAILED, TaskOutcome.FAILED),
        (EndKind.LEASE_EXPIRED, TaskOutcome.CONNECTION_LOST),
    ],
)
async def test_end_listed_in_a_poll_reply_is_reported(
    kind: EndKind, outcome: TaskOutcome
) -> None:
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        run = start_run(backend)
        server.end(await wait_until_started(server), kind)
        assert (await run).outcome is outcome


async def test_fencing_token_is_higher_than_that_of_an_earlier_agent() -> None:
    """With a lower token, the backend server would refuse this agent's requests."""
    server = FakeBackendServer()
    server.fence = 4_000
    async with make_backend(server):
        assert server.fence == server.clock_ms


async def test_refused_fencing_token_is_raised_until_it_is_accepted() -> None:
    """Every start was refused for good if the first token was too low.

    The highest token may stem from a former life of the backend server, whose clock
    had run for longer.
    """
    server = FakeBackendServer()
    server.fence = 5_000_000_000_000
    async with make_backend(server) as backend:
        run = start_run(backend)
        server.end(await wait_until_started(server), EndKind.DONE)
        assert (await run).outcome is TaskOutcome.SUCCEEDED


async def test_late_start_of_a_former_life_is_refused_in_the_next_one() -> None:
    """An order was carried out in the next life, and fenced the agent off there.

    Its token, the clock of the former life, was above that of the later take-over.
    """
    tokens = FencingTokens()
    former = FakeBackendServer()
    former.starts_to_lose = 1
    async with make_backend(former, tokens=tokens) as backend:
        run = start_run(backend)
        await wait_until_started(former)
        former.restarted = True
        former.state_changed.set()
        await wait_until_lost(backend)
        backend.end_all_runs()
        await run
    server = FakeBackendServer()
    server.clock_ms = 100
    async with make_backend(server, tokens=tokens):
        late = former.lost_starts[0]
        assert server.execute_start(late) is StartStatus.FENCED


async def test_agent_and_server_that_both_restart_use_a_higher_fencing_token() -> None:
    """A token of the former agent must stay too low, though this one knows none."""
    former = FakeBackendServer()
    former.started_ms = 1_000_000
    async with make_backend(former):
        pass
    server = FakeBackendServer()
    server.started_ms = 1_010_000
    server.clock_ms = 100
    async with make_backend(server):
        assert server.fence > former.fence


async def test_runs_of_a_fenced_off_agent_are_reported_only_after_the_lease() -> None:
    """They were reported at once and started again elsewhere while they still ran."""
    server = FakeBackendServer()
    lost = asyncio.Event()
    async with make_backend(server, lost.set) as backend:
        run = start_run(backend)
        await wait_until_started(server)
        fenced_s = monotonic_s()
        server.fence *= 2
        server.state_changed.set()
        assert (await run).outcome is TaskOutcome.CONNECTION_LOST
        assert monotonic_s() - fenced_s >= LEASE_S
        assert lost.is_set()
        assert backend.is_taken_over


async def test_refused_start_of_a_fenced_off_agent_ends_its_service() -> None:
    """The agent went on to send starts, each of which was refused, until it ended."""
    server = FakeBackendServer()
    lost = asyncio.Event()
    async with make_backend(server, lost.set) as backend:
        server.fence *= 2
        report = await start_run(backend)
        assert (report.outcome, report.error) == (TaskOutcome.NOT_STARTED, "fenced")
        with pytest.raises(BackendServerDownError):
            await backend.connect()
        async with asyncio.timeout(10):
            await lost.wait()


async def test_runs_of_an_earlier_agent_end_before_the_first_start() -> None:
    """Runs that the agent does not know of would use resources that it assigns."""
    server = FakeBackendServer()
    orphaned_run = RunId(task="old", number=1)
    server.active[orphaned_run] = 10
    async with make_backend(server):
        assert not server.active
        assert server.ends[0].run == orphaned_run


async def test_unanswered_start_never_runs_and_is_reported_as_not_started() -> None:
    """A start request may be executed late, after the agent has given up on the run.

    The stop request raises the run number of the task, so the late start is refused.
    """
    server = FakeBackendServer()
    server.loses_starts = True
    async with make_backend(server) as backend:
        report = await start_run(backend)
        assert report.outcome is TaskOutcome.NOT_STARTED
        assert server.execute_start(server.lost_starts[0]) is StartStatus.OUTDATED
        assert not server.active


@pytest.mark.parametrize("executed", [False, True])
async def test_unanswered_start_is_repeated_under_its_run_number(
    executed: bool,
) -> None:
    """The request or its reply is lost; the run must start once and without a stop."""
    server = FakeBackendServer()
    server.starts_to_lose = 1
    server.loses_replies = executed
    async with make_backend(server) as backend:
        run = start_run(backend)
        run_id = await wait_until_started(server)
        server.end(run_id, EndKind.DONE)
        assert (await run).outcome is TaskOutcome.SUCCEEDED
        assert server.execute_start(server.lost_starts[0]) is StartStatus.OUTDATED
        assert run_id == server.lost_starts[0].run


async def test_run_that_ended_before_its_repeated_start_is_not_started_again() -> None:
    """The reply to the first request is lost, and the run ends before the second.

    The second is refused as outdated, which must not be taken for a used number.
    """
    server = FakeBackendServer()
    server.starts_to_lose = 1
    server.loses_replies = True
    execute_start = server.execute_start

    def start_and_end(request: StartRequest) -> StartStatus:
        status = execute_start(request)
        server.end(request.run, EndKind.DONE)
        return status

    server.execute_start = start_and_end  # type: ignore[method-assign]
    async with make_backend(server) as backend:
        report = await start_run(backend)
        assert report.outcome is TaskOutcome.SUCCEEDED
        assert len(server.ends) == 1


async def test_lost_poll_delays_an_end_only_briefly() -> None:
    """A poll gets no reply; the ends that it would have brought are late until then."""
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        run = start_run(backend)
        run_id = await wait_until_started(server)
        server.polls_to_lose = 1
        server.end(run_id, EndKind.DONE)
        started_s = monotonic_s()
        await run
        waited_s = monotonic_s() - started_s
        assert waited_s < 2 * POLL_WAIT_MS / 1_000 + CALL_TIMEOUTS_S[1]


async def test_poll_that_fails_unexpectedly_is_repeated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The task that polls ended, so that no end was seen and no lease renewed."""
    monkeypatch.setattr(restarting, "RESTART_PAUSE_S", 0.0)
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        run = start_run(backend)
        run_id = await wait_until_started(server)
        poll = server.poll

        async def fail_once(request: PollRequest, timeout_s: float) -> PollReply:
            monkeypatch.setattr(server, "poll", poll)
            raise TypeError("unhashable type: 'list'")

        monkeypatch.setattr(server, "poll", fail_once)
        server.end(run_id, EndKind.DONE)
        async with asyncio.timeout(10):
            assert (await run).outcome is TaskOutcome.SUCCEEDED


async def test_run_that_the_agent_did_not_start_is_stopped() -> None:
    """A start is carried out after the backend server restarted under its old id.

    The agent's polls extend the lease of all runs, so it would go on beside another run
    of its task elsewhere.
    """
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        run = start_run(backend)
        own = await wait_until_started(server)
        stray = RunId(task="elsewhere", number=1)
        server.active[stray] = 10
        server.state_changed.set()
        await wait_until(server, lambda: stray not in server.active)
        assert own in server.active
        server.end(own, EndKind.DONE)
        assert (await run).outcome is TaskOutcome.SUCCEEDED


class LateBackendServer(FakeBackendServer):
    """Leaves a share of the orders unanswered and carries them out later, or never."""

    def __init__(self, seed: int, unanswered_share: float) -> None:
        super().__init__()
        self._random = random.Random(seed)
        self._unanswered_share = unanswered_share
        self._late_starts: list[StartRequest] = []
        self.started: Counter[str] = Counter()

    async def start(self, request: StartRequest, timeout_s: float) -> StartReply:
        if self._loses():
            self._late_starts.append(request)
            raise CallFailedError("start")
        return await super().start(request, timeout_s)

    async def stop(self, run: RunId, fence: int, timeout_s: float) -> None:
        if self._loses():
            raise CallFailedError("stop")
        await super().stop(run, fence, timeout_s)

    def execute_start(self, request: StartRequest) -> StartStatus:
        was_active = request.run in self.active
        status = super().execute_start(request)
        if status is StartStatus.STARTED and not was_active:
            self.started[request.run.task] += 1
        return status

    def act(self) -> None:
        """Carry out one unanswered start, or end one run."""
        if self._late_starts and self._random.random() < 0.5:
            number = self._random.randrange(len(self._late_starts))
            self.execute_start(self._late_starts.pop(number))
        elif self.active:
            run = self._random.choice(list(self.active))
            kind = self._random.choice([EndKind.DONE, EndKind.DONE, EndKind.FAILED])
            self.end(run, kind)

    def carry_out_all(self) -> None:
        for request in self._late_starts:
            self.execute_start(request)

    def _loses(self) -> bool:
        return self._random.random() < self._unanswered_share


@pytest.mark.parametrize("seed", range(12))
async def test_reported_runs_have_ended_for_good(seed: int) -> None:
    """A third of the orders is unanswered, and starts are carried out at any time.

    The agent frees the room of a run when it reports the run, and the entry may then
    start the task elsewhere.  So the run must not be active then or later.
    """
    server = LateBackendServer(seed, 0.33)
    async with make_backend(server) as backend:

        async def run(name: str) -> RunReport:
            payload = encode_task(NamedTask(name=name, content="do"))
            report = await backend.run(backend, f"{name}/0/1", "draw", payload, 30.0)
            assert name not in {run_id.task for run_id in server.active}
            return report

        names = [f"task-{number}" for number in range(20)]
        runs = [asyncio.create_task(run(name)) for name in names]
        async with asyncio.timeout(20):
            while not all(task.done() for task in runs):
                server.act()
                await asyncio.sleep(0.001)
        server.carry_out_all()
        assert not server.active
        for name, task in zip(names, runs, strict=True):
            not_started = task.result().outcome is TaskOutcome.NOT_STARTED
            assert server.started[name] == (0 if not_started else 1)


class LossyStopsServer(FakeBackendServer):
    """Leaves the first stop requests unanswered and does not carry them out."""

    def __init__(self, stops_to_lose: int) -> None:
        super().__init__()
        self.stops_to_lose = stops_to_lose
        self.most_active = 0

    def execute_start(self, request: StartRequest) -> StartStatus:
        status = super().execute_start(request)
        self.most_active = max(self.most_active, len(self.active))
        return status

    async def stop(self, run: RunId, fence: int, timeout_s: float) -> None:
        if self.stops_to_lose:
            self.stops_to_lose -= 1
            await asyncio.sleep(timeout_s)
            raise CallFailedError("stop")
        await super().stop(run, fence, timeout_s)


async def test_run_ends_before_its_caller_returns_though_stops_are_lost() -> None:
    """Tasks of a killed entry ran on beside their next runs.

    Its callers return 1.3 s after their loss, and its lease takes 0.8 s of them.  The
    check of the lease may take 0.25 s more, which this test does not cover.
    """
    server = LossyStopsServer(6)
    async with make_backend(server) as backend:
        run = start_run(backend)
        await wait_until_started(server)
        stopped_s = monotonic_s()
        await backend.stop("job/0/1")
        assert (await run).outcome is TaskOutcome.STOPPED
        assert monotonic_s() - stopped_s < 0.5


async def test_task_that_still_runs_here_starts_again_only_after_its_run() -> None:
    """Its former entry was killed, and the stop of its run was not carried out yet."""
    server = LossyStopsServer(5)
    async with make_backend(server) as backend:
        run = start_run(backend)
        first = await wait_until_started(server)
        stop = asyncio.create_task(backend.stop("job/0/1"))
        again = asyncio.create_task(
            backend.run(backend, "job-2/0/1", "draw", PAYLOAD, 30.0)
        )
        await wait_until(server, lambda: first not in server.active)
        await wait_until(server, lambda: bool(server.active))
        assert server.most_active == 1
        server.end(next(iter(server.active)), EndKind.DONE)
        assert (await again).outcome is TaskOutcome.SUCCEEDED
        await stop
        await run


async def start_waiting_run(
    backend: LeasedBackend, server: FakeBackendServer
) -> asyncio.Task[RunReport]:
    """Start a run of a task that runs already, and wait until it waits for that end."""
    run = backend.run(backend, "job-2/0/1", "draw", PAYLOAD, 30.0)
    waiting = asyncio.create_task(run)
    await wait_until(server, lambda: len(backend._runs) == 2)
    assert len(server.active) == 1
    return waiting


async def test_run_that_waits_for_the_end_of_another_can_be_stopped() -> None:
    """Its entry may be lost meanwhile; the run must not start for nobody."""
    server = LossyStopsServer(0)
    async with make_backend(server) as backend:
        run = start_run(backend)
        first = await wait_until_started(server)
        again = await start_waiting_run(backend, server)
        await backend.stop("job-2/0/1")
        assert (await again).outcome is TaskOutcome.NOT_STARTED
        server.end(first, EndKind.DONE)
        assert (await run).outcome is TaskOutcome.SUCCEEDED
        assert server.most_active == 1


async def test_run_that_waits_is_not_started_after_the_server_has_restarted() -> None:
    """The end of the earlier run is also that of the backend server."""
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        run = start_run(backend)
        await wait_until_started(server)
        again = await start_waiting_run(backend, server)
        server.restarted = True
        server.state_changed.set()
        assert (await run).outcome is TaskOutcome.CONNECTION_LOST
        assert (await again).outcome is TaskOutcome.NOT_STARTED


async def test_later_run_of_a_task_has_a_higher_number() -> None:
    """A backend server refuses a run whose number is not above the earlier ones."""
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        numbers = []
        for _ in range(2):
            run = start_run(backend)
            run_id = await wait_until_started(server)
            numbers.append(run_id.number)
            server.end(run_id, EndKind.STOPPED)
            await run
        assert numbers[0] < numbers[1]


async def test_run_number_that_another_agent_used_is_skipped() -> None:
    """A start that is refused as outdated is tried again with a higher number."""
    server = FakeBackendServer()
    server.highest_numbers["task"] = 3
    async with make_backend(server) as backend:
        run = start_run(backend)
        server.end(await wait_until_started(server), EndKind.DONE)
        assert (await run).outcome is TaskOutcome.SUCCEEDED


async def test_refused_start_is_reported_as_not_started() -> None:
    """The refusal is the error of the report."""
    server = FakeBackendServer()
    server.status = StartStatus.UNHEALTHY
    async with make_backend(server) as backend:
        report = await start_run(backend)
        assert (report.outcome, report.error) == (TaskOutcome.NOT_STARTED, "unhealthy")


async def test_stopped_run_is_reported_once_its_end_is_listed() -> None:
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        run = start_run(backend)
        await wait_until_started(server)
        await backend.stop("job/0/1")
        assert (await run).outcome is TaskOutcome.STOPPED


async def test_runs_on_a_silent_server_end_only_after_the_lease() -> None:
    """They may be active until then, so their resources must not be assigned again."""
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        run = start_run(backend)
        await wait_until_started(server)
        silent_since_s = monotonic_s()
        server.silent = True
        server.state_changed.set()
        assert (await run).outcome is TaskOutcome.CONNECTION_LOST
        assert monotonic_s() - silent_since_s >= LEASE_S


async def test_runs_end_when_the_server_restarts() -> None:
    server = FakeBackendServer()
    lost = asyncio.Event()
    async with make_backend(server, lost.set) as backend:
        run = start_run(backend)
        await wait_until_started(server)
        server.restarted = True
        server.state_changed.set()
        assert (await run).outcome is TaskOutcome.CONNECTION_LOST
        assert lost.is_set()


async def test_run_that_a_later_life_may_begin_is_not_reported_at_a_restart() -> None:
    """Its entry was told at once that it had ended, and started the task elsewhere.

    A start request without an answer may be carried out in the next life.
    """
    server = FakeBackendServer()
    server.starts_to_lose = 1
    async with make_backend(server) as backend:
        run = start_run(backend)
        await wait_until_started(server)
        server.restarted = True
        server.state_changed.set()
        await wait_until_lost(backend)
        assert backend.has_runs_in_doubt
        await asyncio.wait([run], timeout=2 * LEASE_S)
        assert not run.done()
        backend.end_all_runs()
        assert (await run).outcome is TaskOutcome.CONNECTION_LOST


async def test_run_that_a_later_life_may_begin_is_not_reported_in_silence() -> None:
    """The silence may be that of a restart."""
    server = FakeBackendServer()
    server.starts_to_lose = 1
    async with make_backend(server) as backend:
        run = start_run(backend)
        await wait_until_started(server)
        server.silent = True
        server.state_changed.set()
        await asyncio.wait([run], timeout=3 * (LEASE_S + EXPIRY_MARGIN_S))
        assert not run.done()
        server.silent = False
        server.end(next(iter(server.active)), EndKind.DONE)
        assert (await run).outcome is TaskOutcome.SUCCEEDED


async def test_lease_is_extended_only_right_after_an_answer() -> None:
    """A request that extends it may stay unanswered and reach the next life."""
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        run = start_run(backend)
        run_id = await wait_until_started(server)
        polls: list[PollRequest] = []
        poll = server.poll

        async def note_poll(request: PollRequest, timeout_s: float) -> PollReply:
            polls.append(request)
            return await poll(request, timeout_s)

        server.poll = note_poll  # type: ignore[method-assign]
        extensions = wait_until(
            server, lambda: sum(poll.deadline_ms is not None for poll in polls) >= 2
        )
        server.active[run_id] = 10
        await extensions
        assert all(poll.deadline_ms is None or not poll.wait_ms for poll in polls)
        server.silent = True
        server.state_changed.set()
        count = len(polls)
        await asyncio.sleep(LEASE_S)
        assert len(polls) > count + 1
        assert all(poll.deadline_ms is None for poll in polls[count + 1 :])
        server.silent = False
        server.end(run_id, EndKind.DONE)
        await run


async def test_run_without_progress_is_stopped() -> None:
    """A stalled run is stopped and reported as lost."""
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        started_s = monotonic_s()
        report = await start_run(backend)
        assert report.outcome is TaskOutcome.CONNECTION_LOST
        assert monotonic_s() - started_s >= STALL_TIMEOUT_S
        assert server.ends[0].kind is EndKind.STOPPED


async def test_end_of_a_run_is_acknowledged() -> None:
    """The backend server lists an end until it is acknowledged."""
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        run = start_run(backend)
        server.end(await wait_until_started(server), EndKind.DONE)
        await run
        await wait_until(server, lambda: server.acknowledged == 1)


async def test_lease_is_renewed_while_a_task_runs() -> None:
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        run = start_run(backend)
        run_id = await wait_until_started(server)
        first_ms = server.lease_until_ms
        server.clock_ms += 200
        server.active[run_id] = 50
        server.state_changed.set()
        await wait_until(server, lambda: server.lease_until_ms > first_ms)
        server.end(run_id, EndKind.DONE)
        await run


async def test_start_that_was_not_sent_is_reported_at_once() -> None:
    """The run cannot have started, so there is no lease to wait for."""
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        server.refuses_connections = True
        started_s = monotonic_s()
        report = await start_run(backend)
        assert report.outcome is TaskOutcome.NOT_STARTED
        assert monotonic_s() - started_s < LEASE_S
        with pytest.raises(BackendServerDownError):
            await backend.connect()


async def test_renewals_that_were_not_sent_do_not_extend_the_lease() -> None:
    """Runs count as ended one lease after the last renewal that was sent."""
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        run = start_run(backend)
        await wait_until_started(server)
        await wait_until(server, lambda: server.lease_until_ms > server.clock_ms)
        server.refuses_connections = True
        server.state_changed.set()
        refused_s = monotonic_s()
        assert (await run).outcome is TaskOutcome.CONNECTION_LOST
        assert monotonic_s() - refused_s < 1.5 * LEASE_S + EXPIRY_MARGIN_S


async def test_start_that_finds_a_restart_is_reported_as_not_started() -> None:
    """It was not sent, so no life may begin its run."""
    server = FakeBackendServer()
    async with make_backend(server) as backend:
        server.restart_found = True
        assert (await start_run(backend)).outcome is TaskOutcome.NOT_STARTED
        assert not backend.has_runs_in_doubt
        assert backend.lease.unanswered is None
