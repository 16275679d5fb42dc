"""Serves the streams on which entries send dispatches and receive results."""

from __future__ import annotations

import asyncio
import math
from collections import defaultdict
from collections import deque
from typing import TYPE_CHECKING
from typing import Any

import attrs
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from verbenaplank.agent.cold_countdown import ColdCountdown
from verbenaplank.agent.effects import EntryKey
from verbenaplank.agent.effects import format_task_id
from verbenaplank.agent.report_pacing import ReportPacing
from verbenaplank.agent.runner import MS_PER_S
from verbenaplank.agent.runner import OutboxItem
from verbenaplank.agent.runner import ReplyOutbox
from verbenaplank.protocol.crash import Confinement
from verbenaplank.protocol.crash import CrashReport
from verbenaplank.protocol.work import AgentWelcome
from verbenaplank.protocol.work import DispatchRefusal
from verbenaplank.protocol.work import FromAgent
from verbenaplank.protocol.work import LoadReport
from verbenaplank.protocol.work import Revocation
from verbenaplank.protocol.work import TaskResult
from verbenaplank.protocol.work import ToAgent
from verbenaplank.rpc.outbox import Outbox
from verbenaplank.rpc.services import WORK

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from grpclib.server import Stream

    from verbenaplank.agent.crash_feed import CrashFeed
    from verbenaplank.agent.effects import Effect
    from verbenaplank.agent.runner import TaskRunner
    from verbenaplank.rpc.method import Service

MAX_ENVELOPE_OUTPUT_BYTES = 1024 * 1024
"""Limit of the task outputs in one message; further results go into another."""

BUSY_REPORT_PERIOD_S = 0.2
"""Interval between load reports to an entry that has tasks on this agent."""

IDLE_REPORT_PERIOD_S = 0.4
"""Interval between load reports to an idle entry.  Its next lease counts from the
clock reading in the latest report, which must therefore be recent."""

REPORT_ADVANCE_S = 0.02
"""How much earlier than its interval demands a report may be sent, together with
others."""

REPORT_DELAY_PER_SQUARE_S = 0.002
MAX_REPORT_DELAY_S = 0.4
"""Limit of the delay in which changes of the load are combined into one report.  The
delay grows with the square of the number of entries, because each change is sent to
every entry, and each entry receives reports from about as many agents as there are
entries."""


class WorkStreams:
    """Accepts and tracks the streams of entries.

    Parameters
    ----------
    slots
        Number of slots that the welcome message announces.
    crashes
        Crash reports that are exchanged with the entries.
    cold
        How much longer the backend server stays slow; by default, it is not slow.
    """

    def __init__(
        self,
        runner: TaskRunner,
        agent_id: str,
        incarnation: str,
        slots: int,
        crashes: CrashFeed,
        *,
        cold: ColdCountdown | None = None,
    ) -> None:
        self._runner = runner
        self._cold = cold or ColdCountdown(runner.clock)
        self._crashes = crashes
        self._welcome = AgentWelcome(
            agent_id=agent_id, incarnation=incarnation, slots=slots
        )
        self._streams: set[_WorkStream] = set()
        self._reports_periodically = False
        self._changed = asyncio.Event()

    def load(self) -> LoadReport:
        """Return the current load, with held tasks and the rest of the cold time."""
        held = sum(stream.held for stream in self._streams)
        load = self._runner.load()
        cold_ms = self._cold.remaining_ms()
        if cold_ms:
            span_ms = self._cold.span_ms
            load = attrs.evolve(load, cold_remaining_ms=cold_ms, cold_span_ms=span_ms)
        return attrs.evolve(load, held=held) if held else load

    def report_load(self) -> None:
        """Report the load to every entry now, unless a reply is about to."""
        load = self.load()
        for stream in self._streams:
            stream.report(load)

    def service(self) -> Service:
        """Return the RPC service on which entries open their streams."""
        return WORK.create_service(self._serve)

    async def report_changes(self) -> None:
        """Report changes that matter to every entry at once, until cancelled."""
        pacing = ReportPacing()
        while True:
            await self._runner.wait_for_load_change()
            await asyncio.sleep(report_delay_s(len(self._streams)))
            if not pacing.is_due(self._runner.gate.headroom()):
                continue
            self.report_load()

    async def report_periodically(self) -> None:
        """Report the load to each entry at intervals, until cancelled.

        The intervals let an entry detect a silent stream.  Reports that are due at
        about the same time are sent together, because each wake-up of an idle
        process costs more than a message.
        """
        self._reports_periodically = True
        while True:
            now_s = self._runner.clock()
            due_s = self._report_to_due(now_s)
            await asyncio.sleep(min(due_s - now_s, BUSY_REPORT_PERIOD_S))

    def _report_to_due(self, now_s: float) -> float:
        """Report to the entries whose report is due, and return the next due time."""
        busy = self._runner.gate.entries_with_work()
        load = self.load()
        next_due_s = math.inf
        for stream in self._streams:
            due_s = stream.report_if_due(load, now_s, busy=stream.key in busy)
            next_due_s = min(next_due_s, due_s)
        return next_due_s

    async def wait_all_delivered(self) -> None:
        """Wait until every reply is delivered to the entries with an open stream."""
        while not all(stream.all_delivered for stream in self._streams):
            self._changed.clear()
            await self._changed.wait()

    async def _serve(self, stream: Stream[ToAgent, FromAgent]) -> None:
        first = await stream.recv_message()
        if first is None or first.hello is None:
            raise GRPCError(
                Status.INVALID_ARGUMENT, "the first message must contain a hello"
            )
        key = EntryKey(first.hello.entry_id, first.hello.incarnation)
        work = _WorkStream(
            stream,
            self._runner,
            self._crashes,
            key,
            self._changed,
            self.load,
        )
        self._streams.add(work)
        if self._reports_periodically:
            work.report_now(self.load(), self._runner.clock())
        try:
            await work.serve(first, self._welcome)
        finally:
            self._streams.discard(work)
            self._changed.set()


class _WorkStream:
    """The open stream of one entry.

    Attributes
    ----------
    key
        The entry.
    held
        Number of tasks that the entry holds for the agent's rack.
    """

    def __init__(
        self,
        stream: Stream[ToAgent, FromAgent],
        runner: TaskRunner,
        crashes: CrashFeed,
        key: EntryKey,
        changed: asyncio.Event,
        load: Callable[[], LoadReport],
    ) -> None:
        self._stream = stream
        self._runner = runner
        self.key = key
        self._changed = changed
        self._load = load
        self.held = 0
        self._outbox: ReplyOutbox = Outbox()
        self._crashes = crashes
        self._send_news = self._outbox.put
        self._sending = False
        self._results_sent: deque[str] = deque()
        self._results_received = 0
        self._last_reported_load: LoadReport | None = None
        self._last_reported_s = -math.inf
        self._report_due_s = -math.inf

    @property
    def all_delivered(self) -> bool:
        """Whether all replies are sent and, if the entry does so, acknowledged."""
        awaits_acknowledgement = self._results_received > 0 and bool(self._results_sent)
        return not (self._outbox or self._sending or awaits_acknowledgement)

    async def serve(self, first: ToAgent, welcome: AgentWelcome) -> None:
        """Handle messages until the entry closes the stream."""
        self._runner.attach(self.key, self._outbox)
        sender = asyncio.create_task(self._send(welcome))
        _cancel_reader_on_failure(sender)
        try:
            with self._crashes.subscribe(self._send_news):
                self._handle(first)
                async for message in self._stream:
                    self._handle(message)
        finally:
            # Before the first await, which a second cancellation may end.
            self._runner.detach(self.key, self._outbox)
            sender.cancel()
            await asyncio.gather(sender, return_exceptions=True)

    def _handle(self, message: ToAgent) -> None:
        gate, clock = self._runner.gate, self._runner.clock
        self._drop_received_results(message.results_received)
        if message.renewal is not None:
            lease_s = message.renewal.lease_ms / MS_PER_S
            heard_clock_s = message.renewal.heard_clock_s
            gate.on_renewal(self.key, lease_s, clock(), heard_clock_s)
        if message.held is not None:
            self.held = message.held
        for report in message.crashes:
            self._crashes.add(report, self._send_news)
        for confinement in message.confinements:
            self._crashes.add_confinement(confinement, self._send_news)
        effects: list[Effect] = []
        for revoke in message.revokes:
            effects += gate.on_revoke(self.key, revoke, clock())
        for dispatch in message.dispatches:
            effects += gate.on_dispatch(self.key, dispatch, clock())
        for stop in message.stops:
            effects += gate.on_stop(self.key, stop)
        self._runner.apply_effects(effects)

    def _drop_received_results(self, results_received: int) -> None:
        count = results_received - self._results_received
        if count <= 0:
            return
        self._results_received = results_received
        for _ in range(min(count, len(self._results_sent))):
            self._runner.gate.on_received(self._results_sent.popleft())
        self._changed.set()

    async def _send(self, welcome: AgentWelcome) -> None:
        load = self._load()
        welcome = attrs.evolve(welcome, draining=load.draining)
        await self._stream.send_message(FromAgent(welcome=welcome, load=load))
        while True:
            items = await self._outbox.take_batch()
            self._sending = True
            for part in _split_into_envelopes(items):
                await self._send_envelope(part)
            self._sending = False
            self._changed.set()

    def report_if_due(self, load: LoadReport, now_s: float, *, busy: bool) -> float:
        """Report the load if its interval has passed, and return when to ask again.

        Parameters
        ----------
        busy
            Whether the entry has tasks on this agent.
        """
        if self._report_due_s > now_s + REPORT_ADVANCE_S:
            return self._report_due_s
        period_s = BUSY_REPORT_PERIOD_S if busy else IDLE_REPORT_PERIOD_S
        if self._last_reported_s + period_s <= now_s + REPORT_ADVANCE_S:
            self.report_now(load, now_s)
        self._report_due_s = self._last_reported_s + period_s
        return self._report_due_s

    def report_now(self, load: LoadReport, now_s: float) -> None:
        """Queue a periodic load report."""
        self._last_reported_s = now_s
        self._outbox.put(load)

    def report(self, load: LoadReport) -> None:
        """Queue a load report, unless the load is unchanged or a reply is queued."""
        if not self._outbox and _differs(load, self._last_reported_load):
            self._outbox.put(load)

    async def _send_envelope(self, items: Sequence[OutboxItem]) -> None:
        by_type: defaultdict[type, list[Any]] = defaultdict(list)
        for item in items:
            by_type[type(item)].append(item)
        self._results_sent.extend(
            format_task_id(result.job_id, result.task_index, result.attempt)
            for result in by_type[TaskResult]
        )
        envelope = FromAgent(
            results=tuple(by_type[TaskResult]),
            refusals=tuple(by_type[DispatchRefusal]),
            revocations=tuple(by_type[Revocation]),
            crashes=tuple(by_type[CrashReport]),
            confinements=tuple(by_type[Confinement]),
            load=self._load(),
        )
        self._last_reported_load = envelope.load
        self._last_reported_s = self._runner.clock()
        await self._stream.send_message(envelope)


def report_delay_s(entries: int) -> float:
    """Return the delay before a change of the load is reported, in seconds."""
    return min(MAX_REPORT_DELAY_S, REPORT_DELAY_PER_SQUARE_S * entries**2)


def _differs(load: LoadReport, last_reported: LoadReport | None) -> bool:
    """Return whether a load has changed, apart from what entries count themselves."""
    if last_reported is None:
        return True
    last_cold_ms = last_reported.cold_remaining_ms
    cold_ms = load.cold_remaining_ms and (last_cold_ms or load.cold_remaining_ms)
    counted = attrs.evolve(
        load, clock_s=last_reported.clock_s, cold_remaining_ms=cold_ms
    )
    return counted != last_reported


def _cancel_reader_on_failure(sender: asyncio.Task[None]) -> None:
    """Cancel the current task when the sender ends without being cancelled.

    Otherwise the stream would stay open and the entry would wait for replies that
    are never sent.
    """
    reader = asyncio.current_task()

    def end(_: asyncio.Task[None]) -> None:
        if reader is not None and not sender.cancelled():
            reader.cancel()

    sender.add_done_callback(end)


def _split_into_envelopes(
    items: Sequence[OutboxItem],
) -> Iterator[list[OutboxItem]]:
    """Split items into envelopes of limited size.

    An item that alone exceeds ``MAX_ENVELOPE_OUTPUT_BYTES`` gets its own envelope.
    """
    part: list[OutboxItem] = []
    size_bytes = 0
    for item in items:
        item_bytes = len(item.output) if isinstance(item, TaskResult) else 0
        if part and size_bytes + item_bytes > MAX_ENVELOPE_OUTPUT_BYTES:
            yield part
            part, size_bytes = [], 0
        part.append(item)
        size_bytes += item_bytes
    yield part
