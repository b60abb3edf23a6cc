"""Send requests as callers that use their connections in different ways."""

import time
import uuid
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

import gevent
import gevent.socket

from comfreyhitch.platform.names import HEADER_DEADLINE_MS, HEADER_REQUEST_ID
from comfreyhitch.testing.platform_models import HOST_NAME, PlatformInstance
from comfreyhitch.testing.stops.connections import (
    CallerConnection,
    is_usable,
    open_connection,
    read_answer,
)
from comfreyhitch.testing.stops.records import CallerKind, Exchange

CALLERS_BY_KIND = {
    CallerKind.KEPT: 10,
    CallerKind.NEW: 4,
    CallerKind.PIECES: 6,
    CallerKind.PIPELINED: 4,
    CallerKind.HALF_CLOSE: 1,
}
SHORT_SERVICE = "catalogue"
LONG_SERVICE = "stock"
SHORT_WORK_SECONDS = (0.005, 0.05)
# Long requests take these shares of the grace period at their target.
LONG_WORK_SHARES = (0.1, 1.0)
LONG_SHARE = 0.12
IDEMPOTENT_SHARE = 0.7
DEADLINE_SECONDS = (5.0, 9.0)
ROUTE_TIMEOUT_SECONDS = 8.0
# A caller waits this much longer than the last deadline of its requests, to see what comes.
PATIENCE_SECONDS = 2.0
PAUSE_SECONDS = (0.001, 0.05)
PIPELINED_REQUESTS = (2, 4)
PIPELINED_PAUSE_SHARE = 0.3
REFUSED_PAUSE_SECONDS = 0.05
MAX_BODY_BYTES = 2000
TICK_SECONDS = 0.01


@dataclass(slots=True)
class Load:
    """Hold what the callers of all daemons share."""

    think_seconds: float
    grace_seconds: float
    long_share: float
    exchanges: list[Exchange] = field(default_factory=list)
    # Names of the daemons that accept callers.
    up_names: set[str] = field(default_factory=set)
    refused_counts: Counter[str] = field(default_factory=Counter)
    # Start and end of each time during which this process did not run its greenlets.
    hold_ups: list[tuple[float, float]] = field(default_factory=list)
    is_ended: bool = False


def run_caller(load: Load, instance: PlatformInstance, kind: CallerKind, random: Random) -> None:
    """Send requests to one daemon until the load ends."""
    connection = None
    while not load.is_ended:
        gevent.sleep(random.expovariate(1 / load.think_seconds))
        if connection is not None and not is_usable(connection):
            connection.sock.close()
            connection = None
        if instance.name not in load.up_names and connection is None:
            continue
        try:
            connection = connection or open_connection(instance.host)
        except OSError:
            load.refused_counts[instance.name] += 1
            gevent.sleep(REFUSED_PAUSE_SECONDS)
            continue
        exchange_requests(load, instance.name, connection, kind, random)
        if kind in (CallerKind.NEW, CallerKind.HALF_CLOSE):
            connection.is_closing = True


def watch_hold_ups(load: Load) -> None:
    """Record the times during which this process is held up, until the load ends."""
    while not load.is_ended:
        before = time.time()
        gevent.sleep(TICK_SECONDS)
        if time.time() - before > 2 * TICK_SECONDS:
            load.hold_ups.append((before, time.time()))


def exchange_requests(
    load: Load, name: str, connection: CallerConnection, kind: CallerKind, random: Random
) -> None:
    """Send one request, or several at once, and record what comes back for each."""
    count = random.randint(*PIPELINED_REQUESTS) if kind is CallerKind.PIPELINED else 1
    exchanges, messages = [], []
    for _ in range(count):
        exchange = _make_exchange(load, name, connection, kind, random)
        exchanges.append(exchange)
        messages.append(_make_message(exchange, random))
    with suppress(OSError):
        for exchange, message in zip(exchanges, messages, strict=True):
            _send(connection, exchange, message, random)
        if kind is CallerKind.HALF_CLOSE:
            connection.sock.shutdown(gevent.socket.SHUT_WR)
    sent = [exchange for exchange in exchanges if exchange.first_sent_at]
    # A caller that waited for each until its own deadline alone would leave later ones too early.
    until = max((item.first_sent_at + item.limit_seconds for item in sent), default=0.0)
    for exchange in sent:
        _record_answer(connection, exchange, until + PATIENCE_SECONDS)
        load.exchanges.append(exchange)
    connection.is_new = False
    connection.last_used_at = time.time()


def _record_answer(connection: CallerConnection, exchange: Exchange, until: float) -> None:
    exchange.is_behind_close = connection.is_closing
    exchange.is_behind_unanswered = connection.ended_by is not None and not connection.is_closing
    answer = read_answer(connection, until)
    exchange.ending, exchange.status = answer.ending, answer.status
    exchange.ended_at = answer.ended_at


def _make_exchange(
    load: Load, name: str, connection: CallerConnection, kind: CallerKind, random: Random
) -> Exchange:
    work_seconds = random.uniform(*SHORT_WORK_SECONDS)
    if random.random() < load.long_share:
        work_seconds = load.grace_seconds * random.uniform(*LONG_WORK_SHARES)
    is_idempotent = kind is CallerKind.PIPELINED or random.random() < IDEMPOTENT_SHARE
    return Exchange(
        request_id=uuid.uuid4().hex,
        instance=name,
        kind=kind,
        is_idempotent=is_idempotent,
        work_seconds=round(work_seconds, 3),
        limit_seconds=min(round(random.uniform(*DEADLINE_SECONDS), 3), ROUTE_TIMEOUT_SECONDS),
        is_new_connection=connection.is_new,
        idle_seconds=time.time() - connection.last_used_at,
        connection_opened_at=connection.opened_at,
    )


def _make_message(exchange: Exchange, random: Random) -> tuple[bytes, bytes]:
    """Return the head and the body of a request."""
    service = LONG_SERVICE if exchange.work_seconds > SHORT_WORK_SECONDS[1] else SHORT_SERVICE
    suffix = "" if exchange.is_idempotent else "-once"
    has_body = exchange.kind is CallerKind.PIECES or not exchange.is_idempotent
    body = random.randbytes(random.randint(1, MAX_BODY_BYTES)) if has_body else b""
    work_ms = round(exchange.work_seconds * 1000)
    lines = [
        f"{'POST' if has_body else 'GET'} /{service}{suffix}/x?work_ms={work_ms} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"{HEADER_REQUEST_ID}: {exchange.request_id}",
        f"{HEADER_DEADLINE_MS}: {round(exchange.limit_seconds * 1000)}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode(), body


def _send(
    connection: CallerConnection,
    exchange: Exchange,
    message: tuple[bytes, bytes],
    random: Random,
) -> None:
    head, body = message
    pieces = [head + body]
    if exchange.kind is CallerKind.PIECES:
        cut = random.randrange(1, len(head))
        pieces = [piece for piece in (head[:cut], head[cut:], body) if piece]
    for number, piece in enumerate(pieces):
        if number > 0 or _is_pausing(exchange, random):
            gevent.sleep(random.uniform(*PAUSE_SECONDS))
        exchange.first_sent_at = exchange.first_sent_at or time.time()
        connection.sock.sendall(piece)
    exchange.last_sent_at = time.time()


def _is_pausing(exchange: Exchange, random: Random) -> bool:
    """Return whether a caller pauses before a request."""
    return exchange.kind is CallerKind.PIPELINED and random.random() < PIPELINED_PAUSE_SHARE
