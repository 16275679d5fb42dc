"""gRPC methods of the agents, registrars, control instances and entries."""

from __future__ import annotations

from verbenaplank.protocol.claims import FromRegistrar
from verbenaplank.protocol.claims import ToRegistrar
from verbenaplank.protocol.membership import FromControl
from verbenaplank.protocol.membership import ToControl
from verbenaplank.protocol.peer import AttachReply
from verbenaplank.protocol.peer import AttachRequest
from verbenaplank.protocol.peer import CancelReply
from verbenaplank.protocol.peer import CancelRequest
from verbenaplank.protocol.peer import RoutedCancelReply
from verbenaplank.protocol.peer import RoutedCancelRequest
from verbenaplank.protocol.work import FromAgent
from verbenaplank.protocol.work import ToAgent
from verbenaplank.rpc.method import StreamMethod
from verbenaplank.rpc.method import UnaryMethod

WORK = StreamMethod("/verbenaplank.Agent/Work", ToAgent, FromAgent)
CLAIM = StreamMethod("/verbenaplank.Registrar/Claim", ToRegistrar, FromRegistrar)
JOIN = StreamMethod("/verbenaplank.Membership/Join", ToControl, FromControl)
ATTACH = UnaryMethod("/verbenaplank.Entry/Attach", AttachRequest, AttachReply)
CANCEL = UnaryMethod("/verbenaplank.Entry/Cancel", CancelRequest, CancelReply)
CANCEL_ROUTED = UnaryMethod(
    "/verbenaplank.Entry/CancelRouted", RoutedCancelRequest, RoutedCancelReply
)
