"""Slopes of the control plane: claims, membership, leases and configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.bench.slope import Slope
from verbenaplank.bench.slope import encoded_size
from verbenaplank.bench.slope import measure_memory
from verbenaplank.bench.slope import measure_processor_time
from verbenaplank.claims.registrar import Registrar
from verbenaplank.claims.registrar import RegistrarLimits
from verbenaplank.configuration.merge import merge_sections
from verbenaplank.identifiers.job_id import job_timestamp_ms
from verbenaplank.identifiers.job_id import new_job_id
from verbenaplank.membership.commands import Announce
from verbenaplank.membership.commands import Leave
from verbenaplank.membership.leases import LeaseTable
from verbenaplank.membership.renewals import Renewal
from verbenaplank.membership.renewals import RenewalBatch
from verbenaplank.membership.renewals import RenewalReply
from verbenaplank.membership.state import MembershipState
from verbenaplank.protocol.claims import Claim
from verbenaplank.protocol.claims import ClaimReply
from verbenaplank.protocol.claims import FromRegistrar
from verbenaplank.protocol.claims import ToRegistrar
from verbenaplank.protocol.membership import ConfigurationUpdate
from verbenaplank.protocol.membership import FromControl
from verbenaplank.protocol.membership import Heartbeat
from verbenaplank.protocol.membership import LeaseGrant
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MemberRole
from verbenaplank.protocol.membership import MembersUpdate
from verbenaplank.protocol.membership import SectionState
from verbenaplank.protocol.membership import ToControl
from verbenaplank.protocol.membership import WorkerSize
from verbenaplank.rpc.codec import MessagePackCodec

if TYPE_CHECKING:
    from collections.abc import Iterator

CLAIMS = 50_000
CLAIMS_PER_MESSAGE = 32
MEMBERS = 3_800
SECTIONS = 680
SECTION_TEXT = """\
[services.{name}]
idempotent = false
run_time_ms = 200.0
max_runs = 1
"""


def measure_control_slopes() -> Iterator[Slope]:
    """Measure the costs of claims, members, lease renewals and sections."""
    yield from _measure_claims()
    yield from _measure_members()
    yield from _measure_leases()
    yield from _measure_sections()


def _measure_claims() -> Iterator[Slope]:
    codec = MessagePackCodec()
    limits = RegistrarLimits(retention_ms=300_000, max_clock_skew_ms=5_000)
    claims = [_claim(new_job_id()) for _ in range(CLAIMS)]
    now_ms = job_timestamp_ms(claims[-1].job_id)

    def grant_claims() -> Registrar:
        registrar = _registrar_in_open_epoch(limits)
        for claim in claims:
            registrar.claim(claim, now_ms)
        return registrar

    yield measure_processor_time("registrar.claim", CLAIMS, grant_claims)
    yield measure_memory("registrar.claim", CLAIMS, grant_claims)
    batch = claims[:CLAIMS_PER_MESSAGE]
    registrar = _registrar_in_open_epoch(limits)
    request = ToRegistrar(claims=tuple(batch))
    replies: tuple[ClaimReply, ...] = tuple(
        registrar.claim(claim, now_ms) for claim in batch
    )
    reply = FromRegistrar(replies=replies)
    data = codec.encode(request, ToRegistrar)

    def decode_and_encode() -> None:
        for _ in range(200):
            codec.decode(data, ToRegistrar)
            codec.encode(reply, FromRegistrar)

    yield measure_processor_time(
        "registrar.claim.codec", 200 * CLAIMS_PER_MESSAGE, decode_and_encode
    )
    yield encoded_size("claim.wire", data, CLAIMS_PER_MESSAGE)
    reply_data = codec.encode(reply, FromRegistrar)
    yield encoded_size("claim_reply.wire", reply_data, CLAIMS_PER_MESSAGE)


def _registrar_in_open_epoch(limits: RegistrarLimits) -> Registrar:
    registrar = Registrar(limits, abstain_until_ms=0)
    registrar.enter_epoch(1)
    registrar.open_epoch(1, 0, is_new_member=False)
    return registrar


def _claim(job_id: str) -> Claim:
    return Claim(
        job_id=job_id,
        entry_id="entry-norte-1",
        entry_incarnation="0193f3a2c4d57e8f",
        attempt=1,
        digest=bytes(32),
        epoch=1,
        owner_address="10.0.0.1:7000",
    )


def _measure_members() -> Iterator[Slope]:
    codec = MessagePackCodec()
    members = [_member(index) for index in range(MEMBERS)]

    def announce() -> MembershipState:
        state = MembershipState()
        for index in range(MEMBERS):
            state.announce(Announce(member=_member(index)))
        return state

    yield measure_processor_time("control.announce", MEMBERS, announce)
    yield measure_memory("control.member", MEMBERS, announce)
    update = MembersUpdate(changed=tuple(members), complete=True, revision=MEMBERS)
    data = codec.encode(FromControl(members=update), FromControl)
    yield encoded_size("member.wire", data, MEMBERS)
    yield measure_processor_time(
        "member.decode", MEMBERS, lambda: codec.decode(data, FromControl)
    )
    state = announce()

    def leave_and_announce() -> None:
        for member in members:
            leave = Leave(member_id=member.member_id, incarnation=member.incarnation)
            state.leave(leave)
            state.announce(Announce(member=member))
            state.changes_since(state.revision - 2)

    yield measure_processor_time("control.member_delta", MEMBERS, leave_and_announce)


def _member(index: int) -> Member:
    return Member(
        member_id=f"agent-rosario-norte-{index}",
        role=MemberRole.AGENT,
        incarnation=f"0193f3a2c4d57e8f{index}",
        data_centre="rosario-norte",
        address=f"10.0.{index // 250}.{index % 250}:7000",
        rack=f"rack-{index // 3}",
        services=("fixtures", "draws"),
        slots=8,
        connections=64,
        worker=WorkerSize(cores=64, memory_mb=131_072, accelerators=1),
    )


def _measure_leases() -> Iterator[Slope]:
    codec = MessagePackCodec()
    renewals = tuple(
        Renewal(
            member_id=f"agent-rosario-norte-{index}",
            incarnation="0193f3a2c4d57e8f",
            configuration_version=1_600,
            number=1_000,
        )
        for index in range(MEMBERS)
    )
    table = LeaseTable(5.0)

    def renew_leases() -> None:
        for renewal in renewals:
            table.renew(renewal, 1.0)

    yield measure_processor_time("leader.renewal", MEMBERS, renew_leases)
    batch = RenewalBatch(renewals=renewals[:128])
    reply = RenewalReply(leads=True, granted=batch.renewals)
    batch_data = codec.encode(batch, RenewalBatch)
    reply_data = codec.encode(reply, RenewalReply)

    def encode_and_decode() -> None:
        for _ in range(30):
            codec.decode(codec.encode(batch, RenewalBatch), RenewalBatch)
            codec.decode(codec.encode(reply, RenewalReply), RenewalReply)

    yield measure_processor_time("renewal.codec_both_ends", 30 * 128, encode_and_decode)
    yield encoded_size("renewal.wire", batch_data, 128)
    yield encoded_size("renewal_reply.wire", reply_data, 128)
    heartbeat = ToControl(heartbeat=Heartbeat(configuration_version=1_600))
    yield encoded_size("heartbeat.wire", codec.encode(heartbeat, ToControl))
    lease = FromControl(lease=LeaseGrant(lease_ms=5_000.0, number=1_000))
    yield encoded_size("lease.wire", codec.encode(lease, FromControl))


def _measure_sections() -> Iterator[Slope]:
    codec = MessagePackCodec()
    sections = tuple(_section(index) for index in range(SECTIONS))
    update = ConfigurationUpdate(version=1_600, sections=sections, complete=True)
    data = codec.encode(FromControl(configuration=update), FromControl)
    yield encoded_size("section.wire", data, SECTIONS)

    def merge() -> object:
        return merge_sections(1_600, sections)

    yield measure_processor_time("member.build_section", SECTIONS, merge)
    yield measure_memory("member.section", SECTIONS, merge)
    yield measure_memory(
        "member.section_text",
        SECTIONS,
        lambda: tuple(_section(index) for index in range(SECTIONS)),
    )


def _section(index: int) -> SectionState:
    name = f"team-{index}"
    text = SECTION_TEXT.format(name=f"service-{index}")
    return SectionState(name=name, owner=name, version=3, text=text)
