"""Test callers that send further requests before the first is answered, over real sockets."""

from contextlib import suppress

import gevent
import gevent.socket
from behave import given, then
from hypothesis import given as given_values
from hypothesis import seed, settings
from hypothesis import strategies as st

from comfreyhitch.egress.caller_handler import CallerHandler
from comfreyhitch.egress.caller_server import CallerServer

MAX_EXAMPLES = 40
LONGEST_WORK_SECONDS = 0.02


@given("a server for callers whose first answers take longest")
def start_server(context):
    context.served_numbers = []

    def application(environ, start_response):
        _, number, ending = environ["PATH_INFO"].split("/")
        context.served_numbers.append(int(number))
        gevent.sleep(LONGEST_WORK_SECONDS / (1 + int(number)))
        body = number.encode()
        start_response("200 OK", [("Content-Length", str(len(body))), ("Connection", ending)])
        return [body]

    context.server = CallerServer(
        ("127.0.0.1", 0), application, handler_class=CallerHandler, log=None, error_log=None
    )
    context.server.start()
    context.add_cleanup(context.server.stop, timeout=0)


@then("requests sent together or one by one are answered in their order")
def check_order(context):
    @settings(max_examples=MAX_EXAMPLES, deadline=None)
    @seed(context.seed)
    @given_values(st.integers(1, 8), st.integers(1, 300))
    def check(count, part_bytes):
        endings = ["keep-alive"] * (count - 1) + ["close"]
        assert send_all(context, endings, part_bytes) == list(range(count))
        assert context.served_numbers == list(range(count))

    check()


@then("requests behind an answer that closes the connection are not served")
def check_closing_answer(context):
    @settings(max_examples=MAX_EXAMPLES, deadline=None)
    @seed(context.seed)
    @given_values(st.integers(0, 4), st.integers(1, 4), st.integers(1, 300))
    def check(count_before, count_behind, part_bytes):
        endings = ["keep-alive"] * count_before + ["close"] + ["keep-alive"] * count_behind
        answered = send_all(context, endings, part_bytes)
        assert answered == list(range(count_before + 1)), answered
        gevent.sleep(LONGEST_WORK_SECONDS)
        assert context.served_numbers == list(range(count_before + 1))

    check()


def send_all(context, endings, part_bytes):
    """Send one request for each ending without waiting, and return the numbers answered."""
    context.served_numbers.clear()
    requests = b"".join(
        f"GET /{number}/{ending} HTTP/1.1\r\nHost: a\r\n\r\n".encode()
        for number, ending in enumerate(endings)
    )
    connection = gevent.socket.create_connection(("127.0.0.1", context.server.server_port))
    connection.settimeout(3.0)
    reader = gevent.spawn(read_until_closed, connection)
    # The server may close the connection behind an answer while requests are being sent.
    with suppress(ConnectionError):
        for start in range(0, len(requests), part_bytes):
            connection.sendall(requests[start : start + part_bytes])
            gevent.sleep(0)
    response = reader.get()
    connection.close()
    return [int(part.partition(b"\r\n\r\n")[2]) for part in response.split(b"HTTP/1.1 200 OK")[1:]]


def read_until_closed(connection):
    """Return all that is received until the other end closes or resets."""
    response = b""
    with suppress(ConnectionError):
        while chunk := connection.recv(65536):
            response += chunk
    return response
