"""Read the bodies of callers' requests within the limits on their size, time and memory."""

import gevent
from result import Err, Ok, Result

from comfreyhitch.core.held_bytes import GiveWayError, HoldingStage, record_progress
from comfreyhitch.core.verdicts import Body, Failure, Refusal, Verdict
from comfreyhitch.egress.caller_connections import CallerConnection, interruptible
from comfreyhitch.egress.memory import find_memory_refusal, hold_bytes, hold_declared_body
from comfreyhitch.egress.state import Egress
from comfreyhitch.egress.stopping import DaemonStoppingError, make_interrupted_failure
from comfreyhitch.wire.memory_waits import giving_way
from comfreyhitch.wire.request_bodies import BodyReader

# Callers that send fewer bytes a second than this may have to give way to others.
BLOCK_BYTES = 16 * 1024
CHUNKED = "chunked"


class BodyTooLateError(Exception):
    """Signal that a body has not arrived before the deadline of its request."""


class BodyRefusedError(Exception):
    """Signal that a body is not read to its end."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


def read_body(
    egress: Egress,
    connection: CallerConnection,
    environ: dict[str, object],
    limit_bytes: int,
    deadline: float,
) -> Result[Body, Failure]:
    """Return the body of a request, or why it is refused; `deadline` is in monotonic seconds.

    The bytes of the body are counted as held by the connection.
    """
    length = environ.get("CONTENT_LENGTH")
    is_chunked = environ.get("HTTP_TRANSFER_ENCODING", "").lower() == CHUNKED
    if not length and not is_chunked:
        return Ok(b"")
    failure = hold_declared_body(egress, connection, length, limit_bytes)
    if failure is not None:
        return Err(failure)
    if length and int(length) > limit_bytes:
        return Err(_make_too_large(limit_bytes))
    reader = environ["wsgi.input"].rfile
    held = egress.blackboard.held_bytes
    reader.on_read = lambda size: record_progress(held, connection, size)
    left_seconds = max(0.001, deadline - egress.blackboard.clock.monotonic())
    try:
        with (
            gevent.Timeout(left_seconds, BodyTooLateError),
            giving_way(held, connection, HoldingStage.REQUEST),
            interruptible(connection),
        ):
            if length:
                return Ok(_read_declared_body(environ, int(length)))
            return Ok(_read_chunked_body(egress, connection, environ, limit_bytes))
    except DaemonStoppingError:
        return Err(make_interrupted_failure(may_have_run=False))
    except BodyTooLateError:
        detail = "body did not arrive before the deadline"
        return _give_up(connection, reader, Refusal.DEADLINE, detail)
    except GiveWayError:
        detail = "body made no progress, and other requests need the memory that it holds"
        return _give_up(connection, reader, Refusal.OVERLOADED, detail)
    except BodyRefusedError as error:
        return Err(error.failure)
    except (OSError, ValueError) as error:
        return Err(Failure(Verdict.NOT_RUN, Refusal.BAD_REQUEST, f"body: {error}"))


def _read_declared_body(environ: dict[str, object], length: int) -> Body:
    stream = environ["wsgi.input"]
    if length <= BLOCK_BYTES:
        body = stream.read(length)
        if len(body) < length:
            raise OSError("ended early")
        return body
    body = bytearray()
    while len(body) < length:
        block = stream.read(min(BLOCK_BYTES, length - len(body)))
        if not block:
            raise OSError("ended early")
        body += block
    return body


def _read_chunked_body(
    egress: Egress, connection: CallerConnection, environ: dict[str, object], limit_bytes: int
) -> Body:
    """Return a body without a declared length, and count its bytes as they arrive."""
    stream = environ["wsgi.input"]
    body = bytearray()
    while block := stream.read(BLOCK_BYTES):
        if len(body) + len(block) > limit_bytes:
            raise BodyRefusedError(_make_too_large(limit_bytes))
        failure = find_memory_refusal(egress, len(block), connection)
        if failure is not None:
            raise BodyRefusedError(failure)
        hold_bytes(egress, connection, len(block))
        body += block
    return body if len(body) > BLOCK_BYTES else bytes(body)


def _give_up(
    connection: CallerConnection, reader: BodyReader, refusal: Refusal, detail: str
) -> Err[Failure]:
    """Return the failure of a body of which no further byte is awaited."""
    reader.failure = detail
    connection.has_unread_body = True
    return Err(Failure(Verdict.NOT_RUN, refusal, detail))


def _make_too_large(limit_bytes: int) -> Failure:
    detail = f"body exceeds {limit_bytes} bytes"
    return Failure(Verdict.NOT_RUN, Refusal.BODY_TOO_LARGE, detail)
