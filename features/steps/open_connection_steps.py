"""Test which connections are closed when a server has as many as it may have."""

from unittest.mock import patch

from behave import then
from hypothesis import given, seed
from hypothesis import strategies as st

from comfreyhitch.core import connection_limits
from comfreyhitch.core.connection_limits import FILE_DESCRIPTORS, ConnectionLimits
from comfreyhitch.wire import open_connections
from comfreyhitch.wire.open_connections import (
    OpenConnections,
    add_connection,
    mark_busy,
    mark_quiet,
    remove_connection,
)

LIMIT = 5


class FakeSocket:
    """Note whether it was shut down, and whether a request has arrived that is not read."""

    def __init__(self):
        self.is_shut_down = False
        self.has_request = False

    def shutdown(self, how):
        """Note the end of the connection."""
        self.is_shut_down = True


@then("for any connections the one that was quiet for longest is closed, and none with a request")
def check_order(context):
    action = st.tuples(
        st.sampled_from(["open", "open", "busy", "quiet", "arrive", "end"]),
        st.integers(0, LIMIT - 1),
    )

    @seed(context.seed)
    @given(st.lists(action, max_size=60))
    def check(actions):
        refused = []
        closed = []
        connections = OpenConnections(
            "test", LIMIT, on_close=closed.append, on_refuse=lambda: refused.append(1)
        )
        # Quiet connections in the order in which they became so, and the others.
        quiet = []
        busy = []
        for name, number in actions:
            every = quiet + busy
            sock = every[number % len(every)] if every else None
            if name == "open":
                open_one(connections, quiet, busy, closed, refused)
            elif sock is None:
                continue
            elif name == "busy":
                mark_busy(connections, sock)
                if sock in quiet:
                    quiet.remove(sock)
                    busy.append(sock)
                    sock.has_request = False
            elif name == "quiet":
                mark_quiet(connections, sock)
                (quiet if sock in quiet else busy).remove(sock)
                quiet.append(sock)
            elif name == "arrive":
                sock.has_request = sock in quiet
            else:
                remove_connection(connections, sock)
                (quiet if sock in quiet else busy).remove(sock)
            assert list(connections.quiet) == quiet and connections.busy == set(busy)
            assert len(quiet) + len(busy) <= LIMIT

    with patch.object(open_connections, "is_open_and_empty", lambda sock: not sock.has_request):
        check()


def open_one(connections, quiet, busy, closed, refused):
    """Open a connection, and check which other one is closed for it."""
    new = FakeSocket()
    closable = [sock for sock in quiet if not sock.has_request]
    is_full = len(quiet) + len(busy) >= LIMIT
    closed_before, refused_before = len(closed), len(refused)
    is_admitted = add_connection(connections, new)
    assert is_admitted == (not is_full or bool(closable))
    assert len(refused) - refused_before == (not is_admitted)
    if is_full and closable:
        assert closed[closed_before:] == closable[:1] and closable[0].is_shut_down
        quiet.remove(closable[0])
    else:
        assert len(closed) == closed_before
    if is_admitted:
        quiet.append(new)


@then("the limits leave descriptors for the connections of the daemon itself")
def check_limits(context):
    @seed(context.seed)
    @given(st.integers(600, 100_000), st.integers(50, 4_000), st.integers(600, 100_000))
    def check(descriptors, megabytes, process_limit):
        with patch.object(
            connection_limits.resource, "getrlimit", lambda _: (process_limit, process_limit)
        ):
            limits = ConnectionLimits.from_machine(descriptors, megabytes, 65_536)
        sockets = min(descriptors, process_limit) - FILE_DESCRIPTORS
        accepted = limits.callers + limits.peers + 3 * limits.control
        assert accepted <= 0.7 * sockets, (limits, sockets)
        assert limits.callers * 65_536 <= max(0.25 * megabytes * 1e6, 8 * 65_536)

    check()
