"""Decode the heartbeats of targets."""

from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field
from result import Err, Ok, Result

from comfreyhitch.ingress.lifecycle import Heartbeat
from comfreyhitch.platform.durations import Duration, decode_duration

MAX_SLOTS = 10_000
ADDRESS_PATTERN = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$"
# One heartbeat a second for thirty years.
MAX_SEQUENCE = 10**9
# The end of the year 9999, in Unix milliseconds.
MAX_UNIX_MS = 253_402_300_799_999
MAX_PORT = 65_535
NO_COLD_TIME = Duration(0)


class InfoModel(Struct, frozen=True):
    """Validate the part of a heartbeat that is constant during a target's life."""

    service: Annotated[str, Meta(min_length=1)] = field(name="Service")
    version: Annotated[str, Meta(min_length=1)] = field(name="Version")
    zone: str = field(name="Zone")
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)] = field(name="Slots")


class StatusModel(Struct, frozen=True):
    """Validate the part of a heartbeat that changes between heartbeats."""

    state: Literal["ready", "draining"] = field(name="State")
    # Increases with each heartbeat of an incarnation.
    sequence: Annotated[int, Meta(ge=0, le=MAX_SEQUENCE)] = field(name="Seq")
    # Remaining time of the cold start, during which the target can serve only little load.
    cold_left: Duration = field(default=NO_COLD_TIME, name="ColdLeft")


class HeartbeatModel(Struct, frozen=True):
    """Validate one heartbeat; the sender's id is in the request path."""

    address: Annotated[str, Meta(pattern=ADDRESS_PATTERN)] = field(name="Address")
    info: InfoModel = field(name="Info")
    status: StatusModel = field(name="Status")
    # Start of this incarnation, in Unix milliseconds.
    born: Annotated[int, Meta(ge=0, le=MAX_UNIX_MS)] | None = None


_decoder = msgspec.json.Decoder(HeartbeatModel, dec_hook=decode_duration)


@dataclass(frozen=True, slots=True)
class AddressedHeartbeat:
    """Hold a heartbeat and the address at which its sender serves."""

    heartbeat: Heartbeat
    host: str
    port: int


def decode_heartbeat(instance_id: str, body: bytes) -> Result[AddressedHeartbeat, str]:
    """Return the heartbeat in a request's body, or why the body is invalid."""
    try:
        model = _decoder.decode(body)
    except msgspec.DecodeError as error:
        return Err(str(error))
    except RecursionError:
        return Err("body is nested too deeply")
    host, _, port = model.address.rpartition(":")
    if not 0 < int(port) <= MAX_PORT:
        return Err(f"port {port} is out of range - at `$.Address`")
    heartbeat = Heartbeat(
        instance_id=instance_id,
        service=model.info.service,
        version=model.info.version,
        slots=model.info.slots,
        is_draining=model.status.state == "draining",
        sequence=model.status.sequence,
        start_time_ms=model.born,
        cold_duration=model.status.cold_left,
    )
    return Ok(AddressedHeartbeat(heartbeat, host, int(port)))
