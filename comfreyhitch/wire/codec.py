"""Encode and decode thrift structs that travel inside datagrams and facts."""

from typing import TypeVar

from result import Err, Ok, Result
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

STRING_LIMIT_BYTES = 16 * 1024 * 1024
CONTAINER_LIMIT_ENTRIES = 65_536

Struct = TypeVar("Struct")


def make_protocol(transport: object) -> TBinaryProtocolAccelerated:
    """Return a thrift protocol that limits the sizes of strings and containers it reads."""
    return TBinaryProtocolAccelerated(
        transport,
        string_length_limit=STRING_LIMIT_BYTES,
        container_length_limit=CONTAINER_LIMIT_ENTRIES,
        fallback=False,
    )


def encode(struct: object) -> bytes:
    """Return the bytes of a thrift struct."""
    buffer = TMemoryBuffer()
    struct.write(make_protocol(buffer))
    return buffer.getvalue()


def decode(struct_type: type[Struct], data: bytes) -> Result[Struct, str]:
    """Return the struct that the bytes encode, or why they are invalid."""
    struct = struct_type()
    try:
        struct.read(make_protocol(TMemoryBuffer(data)))
        struct.validate()
    except Exception as error:  # The C decoder raises several unrelated types.
        return Err(f"not a {struct_type.__name__}: {error!r}")
    return Ok(struct)
