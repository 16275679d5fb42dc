"""Serves the entries' work streams: dispatches in, results out."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import TYPE_CHECKING

import attrs
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from verbenaplank.agent.effects import EntryKey
from verbenaplank.agent.effects import ReplyItem
from verbenaplank.agent.effects import format_task_id
from verbenaplank.agent.runner import MS_PER_S
from verbenaplank.agent.runner import ReplyOutbox
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
    from collections.abc import Iterator
    from collections.abc import Sequence

    from grpclib.server import Stream

    from verbenaplank.agent.effects import Effect
    from verbenaplank.agent.runner import TaskRunner
    from verbenaplank.rpc.method import Service

MAX_ENVELOPE_OUTPUT_BYTES = 1024 * 1024
"""Results beyond this go into another envelope."""


BUSY_REPORT_PERIOD_S = 0.2
"""How often an entry that has tasks here hears of the agent."""

IDLE_REPORT_PERIOD_S = 0.4
"""An idle entry's next lease counts from what it last heard, so it must be fresh."""

REPORT_DELAY_PER_SQUARE_S = 0.002
MAX_REPORT_DELAY_S = 0.4
"""Changes of the load are told together, the later the more entries there are: with
the square of their number, as each entry hears as many agents."""


class WorkStreams:
    """The open streams of entries.

    Parameters
    ----------
    reports
        Whether entries are told of the load without asking, so that they notice
        a silent stream; otherwise it only comes along with replies.
    """

    def __init__(
        self,
        runner: TaskRunner,
        agent_id: str,
        incarnation: str,
        slots: int,
        *,
        reports: bool = False,
    ) -> None:
        self._runner = runner
        self._reports = reports
        self._welcome = AgentWelcome(
            agent_id=agent_id, incarnation=incarnation, slots=slots
        )
        self._streams: set[_WorkStream] = set()
        self._changed = asyncio.Event()

    def service(self) -> Service:
        """Return the service that entries open their streams on."""
        return WORK.create_service(self._serve)

    async def report_changes(self) -> None:
        """Tell every entry of each change of the load, until cancelled."""
        while True:
            await self._runner.wait_for_change()
            await asyncio.sleep(report_delay_s(len(self._streams)))
            load = self._runner.load()
            for stream in self._streams:
                stream.report(load)

    async def wait_delivered(self) -> None:
        """Wait until every reply has been sent to the entries that are there."""
        while not all(stream.delivered for stream in self._streams):
            self._changed.clear()
            await self._changed.wait()

    async def _serve(self, stream: Stream[ToAgent, FromAgent]) -> None:
        first = await stream.recv_message()
        if first is None or first.hello is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "the first message needs a hello")
        key = EntryKey(first.hello.entry_id, first.hello.incarnation)
        work = _WorkStream(stream, self._runner, key, self._changed, self._reports)
        self._streams.add(work)
        try:
            await work.serve(first, self._welcome)
        finally:
            self._streams.discard(work)
            self._changed.set()


class _WorkStream:
    """One entry's stream."""

    def __init__(
        self,
        stream: Stream[ToAgent, FromAgent],
        runner: TaskRunner,
        key: EntryKey,
        changed: asyncio.Event,
        reports: bool,
    ) -> None:
        self._stream = stream
        self._runner = runner
        self._key = key
        self._changed = changed
        self._outbox: ReplyOutbox = Outbox()
        self._sending = False
        self._results_sent: deque[str] = deque()
        self._results_received = 0
        self._told: LoadReport | None = None
        self._told_s = -math.inf
        self._reports = reports

    @property
    def delivered(self) -> bool:
        """Whether nothing is left to send, or to be received by an entry that tells."""
        awaits_receipt = self._results_received > 0 and bool(self._results_sent)
        return not (self._outbox or self._sending or awaits_receipt)

    async def serve(self, first: ToAgent, welcome: AgentWelcome) -> None:
        """Handle messages until the entry ends the stream."""
        self._runner.attach(self._key, self._outbox)
        sender = asyncio.create_task(self._send(welcome))
        reporter = asyncio.create_task(self._report_forever())
        _cancel_current_when_done(sender)
        try:
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
        self._forget_received(message.results_received)
        if message.renewal is not None:
            lease_s = message.renewal.lease_ms / MS_PER_S
            heard_s = message.renewal.heard_clock_s
            gate.on_renewal(self._key, lease_s, clock(), heard_s)
        effects: list[Effect] = []
        for revoke in message.revokes:
            effects += gate.on_revoke(self._key, revoke, clock())
        for dispatch in message.dispatches:
            effects += gate.on_dispatch(self._key, dispatch, clock())
        for stop in message.stops:
            effects += gate.on_stop(self._key, stop)
        self._runner.apply_effects(effects)

    def _forget_received(self, results_received: int) -> None:
        count = results_received - self._results_received
        if count <= 0:
            return
        self._results_received = results_received
        for _ in range(min(count, len(self._results_sent))):
            self._runner.gate.on_received(self._results_sent.popleft())
        self._changed.set()

    async def _send(self, welcome: AgentWelcome) -> None:
        load = self._runner.load()
        welcome = attrs.evolve(welcome, draining=load.draining)
        await self._stream.send_message(FromAgent(welcome=welcome, load=load))
        while True:
            items = await self._outbox.take_batch()
            self._sending = True
            for part in _parts(items):
                await self._send_part(part)
            self._sending = False
            self._changed.set()

    async def _report_forever(self) -> None:
        """Report the load often enough that an entry notices a silent stream."""
        while self._reports:
            busy = self._runner.gate.has_work_from(self._key)
            period_s = BUSY_REPORT_PERIOD_S if busy else IDLE_REPORT_PERIOD_S
            silent_s = self._runner.clock() - self._told_s
            if silent_s < period_s:
                await asyncio.sleep(period_s - silent_s)
                continue
            self._outbox.put(self._runner.load())
            await asyncio.sleep(period_s)

    def report(self, load: LoadReport) -> None:
        """Report a load that differs from the one that the entry was told."""
        if not self._outbox and _differs(load, self._told):
            self._outbox.put(load)

    async def _send_part(self, items: Sequence[ReplyItem | LoadReport]) -> None:
        results = tuple(item for item in items if isinstance(item, TaskResult))
        self._results_sent.extend(
            format_task_id(result.job_id, result.task_index, result.attempt)
            for result in results
        )
        envelope = FromAgent(
            results=results,
            refusals=tuple(item for item in items if isinstance(item, DispatchRefusal)),
            revocations=tuple(item for item in items if isinstance(item, Revocation)),
            load=self._runner.load(),
        )
        self._told = envelope.load
        self._told_s = self._runner.clock()
        await self._stream.send_message(envelope)


def report_delay_s(entries: int) -> float:
    """Return how long changes of the load wait to be told together."""
    return min(MAX_REPORT_DELAY_S, REPORT_DELAY_PER_SQUARE_S * entries**2)


def _differs(load: LoadReport, told: LoadReport | None) -> bool:
    return told is None or attrs.evolve(load, clock_s=told.clock_s) != told


def _cancel_current_when_done(sender: asyncio.Task[None]) -> None:
    """End the stream if its sender fails, so that no reply is waited for in vain."""
    reader = asyncio.current_task()

    def end(_: asyncio.Task[None]) -> None:
        if reader is not None and not sender.cancelled():
            reader.cancel()

    sender.add_done_callback(end)


def _parts(
    items: Sequence[ReplyItem | LoadReport],
) -> Iterator[list[ReplyItem | LoadReport]]:
    """Divide items so that no envelope grows beyond what a message may hold."""
    part: list[ReplyItem | LoadReport] = []
    size_bytes = 0
    for item in items:
        item_bytes = len(item.output) if isinstance(item, TaskResult) else 0
        if part and size_bytes + item_bytes > MAX_ENVELOPE_OUTPUT_BYTES:
            yield part
            part, size_bytes = [], 0
        part.append(item)
        size_bytes += item_bytes
    yield part
