"""Decode what a target says of itself."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, StrictInt, StrictStr, ValidationError
from result import Err, Ok, Result

from comfreyhitch.ingress.lifecycle import Heartbeat
from comfreyhitch.platform.durations import Duration

MAX_SLOTS = 10_000
ADDRESS_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore")


class InfoModel(_Model):
    """Validate what does not change during a target's life."""

    service: Annotated[StrictStr, Field(min_length=1, alias="Service")]
    version: Annotated[StrictStr, Field(min_length=1, alias="Version")]
    zone: StrictStr = Field(alias="Zone")
    slots: Annotated[StrictInt, Field(ge=1, le=MAX_SLOTS, alias="Slots")]


class StatusModel(_Model):
    """Validate what changes from one heartbeat to the next."""

    state: Literal["ready", "draining"] = Field(alias="State")
    # Goes up with each call of one incarnation.
    sequence: Annotated[StrictInt, Field(ge=0, alias="Seq")]
    # For how much longer the target bears only a little load.
    cold_left: Duration = Field("0ms", alias="ColdLeft", validate_default=True)


class HeartbeatModel(_Model):
    """Validate one heartbeat; the id of its sender stands in the path of the call."""

    address: Annotated[
        StrictStr, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$", alias="Address")
    ]
    info: InfoModel = Field(alias="Info")
    status: StatusModel = Field(alias="Status")
    # Unix milliseconds of the start of this incarnation.
    born: Annotated[StrictInt, Field(ge=0)] | None = None


@dataclass(frozen=True, slots=True)
class AddressedHeartbeat:
    """Hold a heartbeat and the address at which its sender serves."""

    heartbeat: Heartbeat
    host: str
    port: int


def decode_heartbeat(instance_id: str, body: bytes) -> Result[AddressedHeartbeat, str]:
    """Return the heartbeat in a body, or why it is none."""
    try:
        model = HeartbeatModel.model_validate_json(body)
    except ValidationError as error:
        places = [
            f"{'.'.join(str(part) for part in item['loc']) or 'body'}: {item['msg']}"
            for item in error.errors()
        ]
        return Err("; ".join(places))
    host, _, port = model.address.rpartition(":")
    heartbeat = Heartbeat(
        instance_id=instance_id,
        service=model.info.service,
        version=model.info.version,
        slots=model.info.slots,
        is_draining=model.status.state == "draining",
        sequence=model.status.sequence,
        born_ms=model.born,
        cold_for=model.status.cold_left,
    )
    return Ok(AddressedHeartbeat(heartbeat, host, int(port)))
