"""Commands of the replicated log, their results and their encoding."""

from __future__ import annotations

import attrs
import msgspec

from verbenaplank.configuration.commands import ApplySection
from verbenaplank.configuration.commands import AssignOwner
from verbenaplank.configuration.commands import CommandOutcome
from verbenaplank.configuration.commands import LoadDocument
from verbenaplank.configuration.commands import Origin
from verbenaplank.configuration.commands import RemoveSection
from verbenaplank.evacuation.commands import EvacuationOutcome
from verbenaplank.evacuation.commands import OrderEvacuation
from verbenaplank.membership.commands import Announce
from verbenaplank.membership.commands import EnterEpoch
from verbenaplank.membership.commands import Leave
from verbenaplank.membership.commands import OrderDrain
from verbenaplank.membership.commands import SetRegistrars
from verbenaplank.routing.state import ReplaceRouting
from verbenaplank.routing.state import RoutingVerdict


@attrs.frozen(kw_only=True)
class OperatorCommand:
    """A command of an operator, which is audited and takes effect once.

    The state machine records the outcome under the command id and returns it when
    the command is sent again.  Exactly one of the changes is set.
    """

    origin: Origin
    apply: ApplySection | None = None
    assign: AssignOwner | None = None
    remove: RemoveSection | None = None
    load: LoadDocument | None = None
    drain: OrderDrain | None = None
    registrars: SetRegistrars | None = None


@attrs.frozen(kw_only=True)
class ControlCommand:
    """One entry of the replicated log; exactly one of the commands is set."""

    operator: OperatorCommand | None = None
    announce: Announce | None = None
    leave: Leave | None = None
    enter: EnterEpoch | None = None
    routing: ReplaceRouting | None = None
    evacuation: OrderEvacuation | None = None


@attrs.frozen(kw_only=True)
class ControlResult:
    """Result of applying one log entry.

    Attributes
    ----------
    outcome
        Outcome of an operator's command.
    changed
        Whether a member's or a registrar's command took effect.
    routing
        Verdict on a replacement of the routing document.
    evacuation
        Outcome of an order about an evacuation.
    """

    outcome: CommandOutcome | None = None
    changed: bool = False
    routing: RoutingVerdict | None = None
    evacuation: EvacuationOutcome | None = None


_command_decoder = msgspec.msgpack.Decoder(ControlCommand)
_result_decoder = msgspec.msgpack.Decoder(ControlResult)


def encode(message: object) -> bytes:
    """Encode a command, a result or a snapshot as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode_command(data: bytes) -> ControlCommand:
    """Decode a command.

    Raises
    ------
    msgspec.MsgspecError
        If the bytes are not a valid command.
    """
    return _command_decoder.decode(data)


def decode_result(data: bytes) -> ControlResult:
    """Decode the result of a command.

    Raises
    ------
    msgspec.MsgspecError
        If the bytes are not a valid result.
    """
    return _result_decoder.decode(data)
