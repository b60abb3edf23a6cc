"""Send bytes without end, as fast as they are read, and see whether greenlets still run."""

import select
import socket
import threading
import time
from contextlib import contextmanager
from pathlib import Path

import gevent

FLOOD_SECONDS = 4.0
# Other greenlets have to run at least this often.
MAX_PAUSE_SECONDS = 0.25
TICK_SECONDS = 0.005
SCHEDULER_STATISTICS = Path("/proc/thread-self/schedstat")
PROCESSOR_WAIT_COLUMN = 1
NANOSECONDS_PER_SECOND = 1e9


@contextmanager
def flooding_server(first, repeated, seconds=FLOOD_SECONDS):
    """Send bytes without end to all who connect; yield the port."""
    with socket.create_server(("127.0.0.1", 0), backlog=128) as listener:
        listener.setblocking(False)
        with _flooding([], listener, first, repeated, seconds):
            yield listener.getsockname()[1]


@contextmanager
def flooding_clients(port, first, repeated, count=1, seconds=FLOOD_SECONDS):
    """Send bytes without end to a server on some connections; yield these."""
    connections = [socket.create_connection(("127.0.0.1", port)) for _ in range(count)]
    with _flooding(connections, None, first, repeated, seconds):
        yield connections


@contextmanager
def _flooding(connections, listener, first, repeated, seconds):
    is_ended = threading.Event()
    arguments = (connections, listener, first, repeated, seconds, is_ended)
    thread = threading.Thread(target=_flood, args=arguments, daemon=True)
    thread.start()
    try:
        yield
    finally:
        is_ended.set()
        thread.join(FLOOD_SECONDS + 1.0)


def _flood(connections, listener, first, repeated, seconds, is_ended):
    """Send bytes to all connections until told to end; drop those that the other end closes."""
    deadline = time.monotonic() + seconds
    unsent_by_socket = {}
    for sock in connections:
        sock.setblocking(False)
        unsent_by_socket[sock] = memoryview(first or repeated)
    listeners = [] if listener is None else [listener]
    while time.monotonic() < deadline and not is_ended.is_set():
        readable, writable, _ = select.select(listeners, list(unsent_by_socket), [], 0.02)
        if readable:
            sock, _ = listener.accept()
            sock.setblocking(False)
            unsent_by_socket[sock] = memoryview(first or repeated)
        for sock in writable:
            unsent = unsent_by_socket[sock] or memoryview(repeated)
            try:
                unsent_by_socket[sock] = unsent[sock.send(unsent) :]
            except BlockingIOError:
                continue
            except OSError:
                del unsent_by_socket[sock]
                sock.close()
    for sock in unsent_by_socket:
        sock.close()


def measure_longest_pause(action):
    """Return the longest time in seconds for which no other greenlet ran during an action.

    Time in which this thread was ready to run and other processes had all processors is left out.
    """
    pauses = []

    def tick():
        while True:
            started_at, waited_before = time.monotonic(), read_processor_wait_seconds()
            gevent.sleep(TICK_SECONDS)
            elapsed = time.monotonic() - started_at
            pauses.append(elapsed - (read_processor_wait_seconds() - waited_before))

    ticker = gevent.spawn(tick)
    gevent.sleep(2 * TICK_SECONDS)
    action()
    gevent.sleep(2 * TICK_SECONDS)
    ticker.kill()
    return max(pauses)


def read_processor_wait_seconds():
    """Return for how long this thread has been ready to run without a processor, 0 if unknown."""
    try:
        fields = SCHEDULER_STATISTICS.read_text().split()
    except OSError:
        return 0.0
    return int(fields[PROCESSOR_WAIT_COLUMN]) / NANOSECONDS_PER_SECOND
