"""Keep the record of the usage duty in the store, and send reports to the platform."""

import logging
import re
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Annotated

import gevent.socket
import msgspec
from msgspec import Meta, Struct
from result import Err, Ok, Result

from comfreyhitch.platform.client import PlatformClient, list_objects, write_object
from comfreyhitch.platform.exceptions import PlatformFailure
from comfreyhitch.platform.models import Metadata, ObjectChange, ObjectList, PlatformObject
from comfreyhitch.platform.names import (
    HEADER_DUTY_HOLDER,
    HEADER_FENCING_TOKEN,
    PATH_USAGE,
)
from comfreyhitch.usage.calls import Posted, PostResult, WriteFailure, Written
from comfreyhitch.usage.models import DutyRecord, FoundRecord, StoredReport
from comfreyhitch.wire.sockets import connect

logger = logging.getLogger(__name__)

KIND_DUTIES = "duties"
NAME_USAGE = "usage"
CONNECT_TIMEOUT_SECONDS = 0.5
# How often a waiting call checks that the report may still be sent.
CHECK_SECONDS = 0.05
MAX_HEAD_BYTES = 16 * 1024
_STATUS_PATTERN = re.compile(rb"HTTP/1\.[01] (\d{3})[ \r]")
_STATUS_OK = 200
# Has the kernel reset a connection when it is closed, and drop what was not sent.
_RESET_ON_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")


Number = Annotated[int, Meta(ge=0, le=2**53)]


class _ReportModel(Struct, frozen=True):
    """Validate a report in the record."""

    window: Number = msgspec.field(name="Window")
    body: str = msgspec.field(name="Body")


class _RecordModel(Struct, frozen=True):
    """Validate the spec of the object that holds the record."""

    holder: str = msgspec.field(name="Holder")
    writer: str = msgspec.field(name="Writer")
    write_number: Number = msgspec.field(name="Write")
    token: Number = msgspec.field(name="Token")
    window: Number = msgspec.field(name="Window")
    era: Number = msgspec.field(name="Era")
    reports: list[_ReportModel] = msgspec.field(name="Reports", default_factory=list)


def read_record(client: PlatformClient) -> Result[FoundRecord, str]:
    """Return the record as the store holds it now."""
    return list_objects(client, KIND_DUTIES).map(find_record).map_err(str)


def find_record(listed: ObjectList) -> FoundRecord:
    """Return the record in a list of duties."""
    era = listed.era or 0
    for item in listed.items:
        if item.metadata.name == NAME_USAGE:
            return FoundRecord(_parse_record(item), item.metadata.revision, era, exists=True)
    return FoundRecord(None, listed.revision, era, exists=False)


def find_changed_record(change: ObjectChange, era: int) -> FoundRecord | None:
    """Return the record that a watch shows, or None if the change is about another duty."""
    item = change.object
    if item.metadata.name != NAME_USAGE:
        return None
    if change.is_deleted:
        return FoundRecord(None, item.metadata.revision, era, exists=False)
    return FoundRecord(_parse_record(item), item.metadata.revision, era, exists=True)


def write_record(
    client: PlatformClient, record: DutyRecord, revision: int, exists: bool
) -> Result[Written, tuple[WriteFailure, str]]:
    """Write the record if the store still holds the one of a revision, or none."""
    item = PlatformObject(
        Metadata(name=NAME_USAGE, revision=revision if exists else 0), spec=_dump_record(record)
    )
    match write_object(client, KIND_DUTIES, item, is_new=not exists):
        case Ok((stored, era)):
            return Ok(Written(stored.metadata.revision, era or 0))
        case Err(error):
            is_unknown = error.failure is PlatformFailure.UNAVAILABLE
            failure = WriteFailure.UNKNOWN if is_unknown else WriteFailure.REJECTED
            return Err((failure, str(error)))


def post_report(
    address: tuple[str, int],
    holder: str,
    report: StoredReport,
    token: int,
    may_send: Callable[[], bool],
    timeout_seconds: float,
) -> Posted:
    """Send a report once, and reset the connection as soon as it may not be sent any more."""
    deadline = time.monotonic() + timeout_seconds
    try:
        sock = connect(*address, min(CONNECT_TIMEOUT_SECONDS, timeout_seconds))
    except OSError as error:
        return Posted(PostResult.FAILED, f"connect: {error}")

    def must_stop() -> bool:
        return not may_send() or time.monotonic() >= deadline

    try:
        sock.setsockopt(*_RESET_ON_CLOSE)
        sock.settimeout(CHECK_SECONDS)
        if not may_send():
            return Posted(PostResult.NOT_SENT)
        if not _send(sock, _format_post(address, holder, report, token), must_stop):
            return Posted(PostResult.RESET, "not sent whole in time")
        return _read_result(sock, must_stop)
    except OSError as error:
        return Posted(PostResult.FAILED, repr(error))
    finally:
        sock.close()


def _parse_record(item: PlatformObject) -> DutyRecord | None:
    """Return the record in an object, or None if another writer left something else."""
    try:
        model = msgspec.convert(item.spec, _RecordModel)
    except (msgspec.ValidationError, RecursionError) as error:
        logger.warning("record of the usage duty is ignored", extra={"reason": str(error)[:200]})
        return None
    return DutyRecord(
        holder=model.holder,
        writer=model.writer,
        write_number=model.write_number,
        token=model.token,
        window=model.window,
        era=model.era,
        reports=tuple(StoredReport(report.window, report.body) for report in model.reports),
    )


def _dump_record(record: DutyRecord) -> object:
    reports = [_ReportModel(report.window, report.body) for report in record.reports]
    return msgspec.to_builtins(
        _RecordModel(
            record.holder,
            record.writer,
            record.write_number,
            record.token,
            record.window,
            record.era,
            reports,
        )
    )


def _format_post(address: tuple[str, int], holder: str, report: StoredReport, token: int) -> bytes:
    body = report.body.encode()
    lines = (
        f"POST {PATH_USAGE} HTTP/1.1",
        f"Host: {address[0]}:{address[1]}",
        f"{HEADER_DUTY_HOLDER}: {holder}",
        f"{HEADER_FENCING_TOKEN}: {token}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Connection: close",
        "\r\n",
    )
    return "\r\n".join(lines).encode("latin-1") + body


def _send(sock: gevent.socket.socket, data: bytes, must_stop: Callable[[], bool]) -> bool:
    unsent = memoryview(data)
    while unsent:
        if must_stop():
            return False
        with suppress(TimeoutError):
            unsent = unsent[sock.send(unsent) :]
    return True


def _read_result(sock: gevent.socket.socket, must_stop: Callable[[], bool]) -> Posted:
    head = b""
    while b"\r\n\r\n" not in head:
        if must_stop():
            return Posted(PostResult.RESET, "no answer in time")
        with suppress(TimeoutError):
            received = sock.recv(MAX_HEAD_BYTES)
            if not received:
                return Posted(PostResult.FAILED, "connection ended without an answer")
            head += received
        if len(head) > MAX_HEAD_BYTES:
            return Posted(PostResult.FAILED, "answer has too long a head")
    match = _STATUS_PATTERN.match(head)
    if match is None:
        return Posted(PostResult.FAILED, "answer is not HTTP")
    if int(match[1]) == _STATUS_OK:
        return Posted(PostResult.ACKNOWLEDGED)
    return Posted(PostResult.REFUSED, f"status {match[1].decode()}")
