"""Stand-in for an upstream: slots, queue, health path, heartbeats, cold time and departure."""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from review.standins import http11

HEARTBEAT_SECONDS = 1.5
STAMP = "X-Comfreyhitch-Server-Stamp"
REQUEST_ID = "X-Comfreyhitch-Request-Id"
NOT_EXECUTED = "X-Comfreyhitch-Not-Executed"
# An endless head comes at 39 MB a second at most.
ENDLESS_LINE = b"X-Filler: f\r\n"
ENDLESS_LINES = 12_000
ENDLESS_PAUSE_SECONDS = 0.004
ENDLESS_SECONDS = 10.0
EXPECT_INSTANCE = "x-comfreyhitch-expect-instance"


@dataclass(frozen=True, slots=True)
class Arrival:
    """Hold one request that reached an upstream; times are monotonic seconds."""

    request_id: str
    instance_id: str
    path: str
    at: float
    is_run: bool


@dataclass(slots=True, eq=False)
class Upstream:
    """Hold one incarnation of an upstream, which serves in the process of the driver."""

    instance_id: str
    service: str
    zone: str
    host: str
    port: int
    control_port: int
    slots: int = 9
    work_seconds: float = 0.05
    version: str = "v1"
    arrivals: list[Arrival] = field(default_factory=list)
    # When the work on each request ended, in monotonic seconds by request id.
    finished: dict[str, float] = field(default_factory=dict)
    sequence: int = 0
    born: int = 0
    state: str = "ready"
    # Whether responses tell the load; the upstreams of some services do.
    tells_load: bool = True
    # Monotonic seconds until which the upstream is cold.
    cold_until: float = 0.0
    is_leaving: bool = False
    # Called with each request that is run; may end the upstream.
    on_arrival: Callable[["Upstream", Arrival], None] = lambda upstream, arrival: None
    # Returns additional bytes that follow the present answer, at the point where the next one on
    # its connection is expected.
    make_extra_bytes: Callable[[], bytes] = lambda: b""
    # Returns whether bytes that are no response come in place of the present answer, without end.
    is_endless: Callable[[], bool] = lambda: False
    running: int = 0
    waiting: int = 0
    semaphore: asyncio.Semaphore | None = None
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    tasks: set[asyncio.Task] = field(default_factory=set)
    beats: asyncio.Task | None = None
    acknowledged: list[tuple[float, str]] = field(default_factory=list)

    @property
    def cold_left_ms(self) -> int:
        """Return the milliseconds for which the upstream is still cold."""
        return max(0, int((self.cold_until - time.monotonic()) * 1000))


async def start(upstream: Upstream) -> None:
    """Listen, and send heartbeats."""
    upstream.born = int(time.time() * 1000)
    upstream.semaphore = asyncio.Semaphore(upstream.slots)
    upstream.server = await asyncio.start_server(
        lambda reader, writer: _serve(upstream, reader, writer), upstream.host, upstream.port
    )
    upstream.beats = asyncio.create_task(_send_beats(upstream))


async def stop(upstream: Upstream) -> None:
    """End the upstream as if its process ended: its connections are closed at once."""
    if upstream.beats is not None:
        upstream.beats.cancel()
    if upstream.server is not None:
        upstream.server.close()
    for task in list(upstream.tasks):
        task.cancel()
    for writer in list(upstream.writers):
        writer.transport.abort()
    await asyncio.sleep(0)


def make_beat(upstream: Upstream, state: str) -> bytes:
    """Return the body of the next heartbeat."""
    upstream.sequence += 1
    content = {
        "Address": f"{upstream.host}:{upstream.port}",
        "born": upstream.born,
        "Info": {
            "Service": upstream.service,
            "Version": upstream.version,
            "Zone": upstream.zone,
            "Slots": upstream.slots,
        },
        "Status": {
            "State": state,
            "Seq": upstream.sequence,
            "ColdLeft": f"{upstream.cold_left_ms}ms",
        },
    }
    return json.dumps(content).encode()


async def call_daemon(upstream: Upstream, method: str, body: bytes = b"") -> int:
    """Call the daemon beside the upstream; return the status, or 0 if there is no answer."""
    path = f"/v1/instances/{upstream.instance_id}"
    headers = {"Content-Type": "application/json"} if body else {}
    try:
        response = await http11.call(
            upstream.host,
            upstream.control_port,
            method,
            path,
            headers=headers,
            body=body,
            timeout_s=1.0,
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    status = http11.get_status(response)
    if 200 <= status < 300:
        upstream.acknowledged.append((time.monotonic(), method))
    return status


async def _send_beats(upstream: Upstream) -> None:
    while True:
        await call_daemon(upstream, "PUT", make_beat(upstream, upstream.state))
        await asyncio.sleep(HEARTBEAT_SECONDS)


async def _serve(
    upstream: Upstream, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    task = asyncio.current_task()
    upstream.tasks.add(task)
    upstream.writers.add(writer)
    extra_bytes = b""
    try:
        while (message := await http11.read_message(reader)) is not None:
            writer.write(extra_bytes)
            answer = await _answer(upstream, message)
            if upstream.is_endless():
                await _send_endless_head(writer)
                return
            writer.write(answer)
            extra_bytes = upstream.make_extra_bytes()
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
        pass
    finally:
        upstream.tasks.discard(task)
        upstream.writers.discard(writer)
        writer.close()


async def _send_endless_head(writer: asyncio.StreamWriter) -> None:
    """Send the head of a response that does not end, until its reader closes the connection."""
    writer.write(b"HTTP/1.1 200 OK\r\n")
    until = time.monotonic() + ENDLESS_SECONDS
    while time.monotonic() < until:
        writer.write(ENDLESS_LINE * ENDLESS_LINES)
        await writer.drain()
        await asyncio.sleep(ENDLESS_PAUSE_SECONDS)


async def _answer(upstream: Upstream, message: http11.Message) -> bytes:
    method, path, _ = message.first_line.split(" ")
    headers = {"Keep-Alive": "timeout=10"}
    if upstream.tells_load:
        load = f"{upstream.running},{upstream.waiting},{upstream.slots},100"
        headers["X-Comfreyhitch-Server-Load"] = load
    if (method, path) == ("GET", "/health"):
        headers["X-Comfreyhitch-Instance-Id"] = upstream.instance_id
        headers["X-Comfreyhitch-Cold-Ms"] = str(upstream.cold_left_ms)
        is_out = upstream.is_leaving or upstream.state == "draining"
        status = "503 Service Unavailable" if is_out else "200 OK"
        return http11.format_message(f"HTTP/1.1 {status}", headers, b"")
    request_id = message.headers.get(REQUEST_ID.lower(), "")
    headers[REQUEST_ID] = request_id
    expected = message.headers.get(EXPECT_INSTANCE, upstream.instance_id)
    if expected != upstream.instance_id:
        headers["X-Comfreyhitch-Instance-Id"] = upstream.instance_id
        return http11.format_message("HTTP/1.1 421 Misdirected Request", headers, b"")
    is_full = upstream.waiting >= 2 * upstream.slots
    arrival = Arrival(request_id, upstream.instance_id, path, time.monotonic(), not is_full)
    upstream.arrivals.append(arrival)
    upstream.on_arrival(upstream, arrival)
    if not request_id or is_full:
        headers[NOT_EXECUTED] = "1"
        return http11.format_message("HTTP/1.1 503 Service Unavailable", headers, b"")
    semaphore = upstream.semaphore
    upstream.waiting += 1
    try:
        await semaphore.acquire()
    finally:
        upstream.waiting -= 1
    upstream.running += 1
    try:
        await asyncio.sleep(upstream.work_seconds)
    finally:
        upstream.running -= 1
        semaphore.release()
    upstream.finished[request_id] = time.monotonic()
    headers[STAMP] = f"{upstream.instance_id}.{request_id}"
    return http11.format_message("HTTP/1.1 200 OK", headers, request_id.encode())
