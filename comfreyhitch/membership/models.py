"""Member records: what the fleet knows about each daemon and its target."""

from dataclasses import dataclass
from enum import IntEnum

from result import Err, Ok, Result

from comfreyhitch.wire.codec import decode, encode
from comfreyhitch.wire.generated.ttypes import MemberRecord
from comfreyhitch.wire.sockets import is_address

STATUS_COUNT = 4
MAX_SLOTS = 10_000


class MemberStatus(IntEnum):
    """Name the status of a member; within one incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    UNREACHABLE = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Member:
    """Hold what one daemon announced about itself, and the status that its peers detected."""

    address: str
    http_address: str
    boot_id: str
    incarnation: int
    status: MemberStatus
    zone: str
    region: str
    service: str
    version: str
    slots: int
    draining: bool
    started_at: float

    @property
    def fact_version(self) -> int:
        """Return the version that orders records of this address."""
        return self.incarnation * STATUS_COUNT + self.status

    @property
    def is_reachable(self) -> bool:
        """Return whether the member may be sent requests."""
        return self.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)


def encode_member(member: Member) -> bytes:
    """Encode a member as the bytes of its wire record."""
    record = MemberRecord(
        address=member.address,
        http_address=member.http_address,
        boot_id=member.boot_id,
        incarnation=member.incarnation,
        status=int(member.status),
        zone=member.zone,
        region=member.region,
        service_name=member.service,
        version=member.version,
        slots=member.slots,
        draining=member.draining,
        started_at=member.started_at,
    )
    return encode(record)


def decode_member(data: bytes) -> Result[Member, str]:
    """Decode and validate a member record, or return why it is refused."""
    match decode(MemberRecord, data):
        case Err(reason):
            return Err(reason)
        case Ok(record):
            return _validate_record(record)


def _validate_record(record: MemberRecord) -> Result[Member, str]:
    if not 0 <= record.status < STATUS_COUNT:
        return Err(f"member {record.address}: unknown status {record.status}")
    if not 1 <= record.slots <= MAX_SLOTS:
        return Err(f"member {record.address}: {record.slots} slots are out of range")
    if not is_address(record.address):
        return Err(f"member {record.address!r}: not an address")
    return Ok(
        Member(
            address=record.address,
            http_address=record.http_address,
            boot_id=record.boot_id,
            incarnation=record.incarnation,
            status=MemberStatus(record.status),
            zone=record.zone,
            region=record.region,
            service=record.service_name,
            version=record.version,
            slots=record.slots,
            draining=record.draining,
            started_at=record.started_at,
        )
    )
