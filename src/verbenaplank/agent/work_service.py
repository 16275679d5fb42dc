"""Serves the streams on which entries send dispatches and receive results."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import TYPE_CHECKING

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
    periodic_reports
        Whether the load is also sent at intervals, so that an entry can detect a
        silent stream; otherwise it is only sent with replies.
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
        periodic_reports: bool = False,
    ) -> None:
        self._runner = runner
        self._cold = cold or ColdCountdown(runner.clock)
        self._crashes = crashes
        self._periodic_reports = periodic_reports
        self._welcome = AgentWelcome(
            agent_id=agent_id, incarnation=incarnation, slots=slots
        )
        self._streams: set[_WorkStream] = set()
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
            self._periodic_reports,
        )
        self._streams.add(work)
        try:
            await work.serve(first, self._welcome)
        finally:
            self._streams.discard(work)
            self._changed.set()


class _WorkStream:
    """The open stream of one entry.

    Attributes
    ----------
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
        periodic_reports: bool,
    ) -> None:
        self._stream = stream
        self._runner = runner
        self._key = key
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
        self._periodic_reports = periodic_reports

    @property
    def all_delivered(self) -> bool:
        """Whether all replies are sent and, if the entry does so, acknowledged."""
        awaits_acknowledgement = self._results_received > 0 and bool(self._results_sent)
        return not (self._outbox or self._sending or awaits_acknowledgement)

    async def serve(self, first: ToAgent, welcome: AgentWelcome) -> None:
        """Handle messages until the entry closes the stream."""
        self._runner.attach(self._key, self._outbox)
        sender = asyncio.create_task(self._send(welcome))
        reporter = asyncio.create_task(self._report_periodically())
        _cancel_reader_on_failure(sender)
        try:
            with self._crashes.subscribe(self._send_news):
                self._handle(first)
                async for message in self._stream:
                    self._handle(message)
        finally:
            sender.cancel()
            reporter.cancel()
            await asyncio.gather(sender, reporter, return_exceptions=True)
            self._runner.detach(self._key, self._outbox)

    def _handle(self, message: ToAgent) -> None:
        gate, clock = self._runner.gate, self._runner.clock
        self._drop_received_results(message.results_received)
        if message.renewal is not None:
            lease_s = message.renewal.lease_ms / MS_PER_S
            heard_clock_s = message.renewal.heard_clock_s
            gate.on_renewal(self._key, lease_s, clock(), heard_clock_s)
        if message.held is not None:
            self.held = message.held
        for report in message.crashes:
            self._crashes.add(report, self._send_news)
        for confinement in message.confinements:
            self._crashes.add_confinement(confinement, self._send_news)
        effects: list[Effect] = []
        for revoke in message.revokes:
            effects += gate.on_revoke(self._key, revoke, clock())
        for dispatch in message.dispatches:
            effects += gate.on_dispatch(self._key, dispatch, clock())
        for stop in message.stops:
            effects += gate.on_stop(self._key, stop)
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

    async def _report_periodically(self) -> None:
        """Report the load at intervals that let an entry detect a silent stream."""
        while self._periodic_reports:
            busy = self._runner.gate.has_work_from(self._key)
            period_s = BUSY_REPORT_PERIOD_S if busy else IDLE_REPORT_PERIOD_S
            since_report_s = self._runner.clock() - self._last_reported_s
            if since_report_s < period_s:
                await asyncio.sleep(period_s - since_report_s)
                continue
            self._outbox.put(self._load())
            await asyncio.sleep(period_s)

    def report(self, load: LoadReport) -> None:
        """Queue a load report, unless the load is unchanged or a reply is queued."""
        if not self._outbox and _differs(load, self._last_reported_load):
            self._outbox.put(load)

    async def _send_envelope(self, items: Sequence[OutboxItem]) -> None:
        results = tuple(item for item in items if isinstance(item, TaskResult))
        self._results_sent.extend(
            format_task_id(result.job_id, result.task_index, result.attempt)
            for result in results
        )
        envelope = FromAgent(
            results=results,
            refusals=tuple(item for item in items if isinstance(item, DispatchRefusal)),
            revocations=tuple(item for item in items if isinstance(item, Revocation)),
            crashes=tuple(item for item in items if isinstance(item, CrashReport)),
            confinements=tuple(item for item in items if isinstance(item, Confinement)),
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
