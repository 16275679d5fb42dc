"""Commands of the replicated log and their results, as the log carries them."""

from __future__ import annotations

import attrs
import msgspec

from verbenaplank.configuration.commands import ApplySection
from verbenaplank.configuration.commands import AssignOwner
from verbenaplank.configuration.commands import CommandOutcome
from verbenaplank.configuration.commands import LoadDocument
from verbenaplank.configuration.commands import Origin
from verbenaplank.configuration.commands import RemoveSection
from verbenaplank.membership.commands import Announce
from verbenaplank.membership.commands import EnterEpoch
from verbenaplank.membership.commands import Leave
from verbenaplank.membership.commands import OrderDrain
from verbenaplank.membership.commands import SetRegistrars
from verbenaplank.routing.state import ReplaceRouting
from verbenaplank.routing.state import RoutingVerdict


@attrs.frozen(kw_only=True)
class OperatorCommand:
    """A command of a person: remembered by its id and written to the audit trail.

    Exactly one of the changes is set.
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
    """Envelope of one entry of the replicated log."""

    operator: OperatorCommand | None = None
    announce: Announce | None = None
    leave: Leave | None = None
    enter: EnterEpoch | None = None
    routing: ReplaceRouting | None = None


@attrs.frozen(kw_only=True)
class ControlResult:
    """What applying an entry gave.

    Attributes
    ----------
    outcome
        Of an operator's command.
    changed
        Whether a member's command took effect.
    routing
        What became of a routing document.
    """

    outcome: CommandOutcome | None = None
    changed: bool = False
    routing: RoutingVerdict | None = None


_command_decoder = msgspec.msgpack.Decoder(ControlCommand)
_result_decoder = msgspec.msgpack.Decoder(ControlResult)


def encode(message: object) -> bytes:
    """Encode a command or a result."""
    return msgspec.msgpack.encode(message)


def decode_command(data: bytes) -> ControlCommand:
    """Decode a command."""
    return _command_decoder.decode(data)


def decode_result(data: bytes) -> ControlResult:
    """Decode a result."""
    return _result_decoder.decode(data)
