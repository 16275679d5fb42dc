from __future__ import annotations

from verbenaplank.consensus.transport import MAX_PEERS
from verbenaplank.consensus.transport import Transport
from verbenaplank.protocol.consensus import PeerMessage
from verbenaplank.protocol.consensus import Replica
from verbenaplank.rpc.address import Address

NOWHERE = Address("127.0.0.1", 1)


def _message(number: int) -> PeerMessage:
    recipient = Replica(instance_id=f"control-{number}")
    return PeerMessage(sender=Replica(instance_id="control"), recipient=recipient)


async def test_sender_to_an_instance_that_is_gone_makes_room_for_another() -> None:
    """Guard against an instance that has known many others and can reach no new one."""
    async with Transport(lambda _: NOWHERE, None) as transport:
        for number in range(MAX_PEERS):
            transport.send(_message(number))
        transport.send(_message(0))
        transport.send(_message(MAX_PEERS))
        kept = set(transport._senders)
        tasks = set(transport._tasks)

    assert {"control-0", f"control-{MAX_PEERS}"} <= kept
    assert "control-1" not in kept
    assert len(kept) == MAX_PEERS
    assert tasks == kept


async def test_message_sent_while_the_transport_closes_opens_no_sender() -> None:
    """Guard against a sender that outlives its transport and is never cancelled."""
    async with Transport(lambda _: NOWHERE, None) as transport:
        transport.send(_message(0))
    transport.send(_message(1))

    assert not transport._tasks
