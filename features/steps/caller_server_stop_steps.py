"""Test what happens to connections when a daemon stops reading requests."""

import socket

import gevent
import gevent.socket
from behave import then

from comfreyhitch.egress.caller_connections import ConnectionPhase
from comfreyhitch.egress.caller_handler import CallerHandler
from comfreyhitch.egress.caller_server import CallerServer

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
# More than the server reads at once.
FURTHER_BYTES = 64 * 1024


@then("a request that has arrived but is not read yet is served, and an idle connection is closed")
def check_stop_reading(context):
    def application(environ, start_response):
        start_response("200 OK", [("Content-Length", "2"), ("Connection", "close")])
        return [b"ok"]

    server = CallerServer(
        ("127.0.0.1", 0), application, handler_class=CallerHandler, log=None, error_log=None
    )
    server.start()
    callers = [gevent.socket.create_connection(("127.0.0.1", server.server_port)) for _ in "ab"]
    gevent.sleep(0.05)
    assert len(server.connections.list_in_phase(ConnectionPhase.WAITING)) == 2
    # The server stops reading before the handler of the connection runs again, so the request has
    # arrived but is not read yet. If the server closed that connection, the request would be lost.
    callers[0]._sock.sendall(REQUEST)
    server.close_listener()
    server.close_quiet_connections()
    responses = []
    for caller in callers:
        caller.settimeout(2.0)
        response = b""
        while chunk := caller.recv(1000):
            response += chunk
        responses.append(response)
        caller.close()
    server.stop(timeout=0)
    assert responses[0].endswith(b"ok"), responses
    assert responses[1] == b"", responses


@then("a request on a connection that is not accepted yet is served")
def check_pending_connection(context):
    server = CallerServer(
        ("127.0.0.1", 0), respond_ok, handler_class=CallerHandler, log=None, error_log=None
    )
    server.start()
    # A blocking socket never lets the server run, so the connection stays in the accept queue.
    with socket.create_connection(("127.0.0.1", server.server_port)) as caller:
        caller.sendall(REQUEST)
        server.close_listener()
        # It counts before its handler has started, or else the stop would end without it.
        assert len(server.connections.by_socket) == 1
        gevent.sleep(0.05)
        caller.settimeout(2.0)
        assert caller.recv(1000).endswith(b"ok")


@then(
    "the caller receives the whole response and the end of the stream, for a served and for a "
    "rejected request"
)
def check_close_after_response(context):
    server = CallerServer(
        ("127.0.0.1", 0), respond_ok, handler_class=CallerHandler, log=None, error_log=None
    )
    server.start()
    further_bytes = REQUEST * (FURTHER_BYTES // len(REQUEST))
    for first_request, end in ((REQUEST, b"ok"), (b"no request\r\n\r\n", b"")):
        with gevent.socket.create_connection(("127.0.0.1", server.server_port)) as caller:
            caller.settimeout(2.0)
            caller.sendall(first_request + further_bytes)
            # The response arrives, and the bytes behind the request remain unread by the server.
            gevent.sleep(0.1)
            caller.sendall(further_bytes)
            response = b""
            while chunk := caller.recv(4096):
                response += chunk
        assert response.startswith(b"HTTP/1.1 "), response
        assert response.endswith(end), response
    server.stop(timeout=0)


def respond_ok(environ, start_response):
    start_response("200 OK", [("Content-Length", "2"), ("Connection", "close")])
    return [b"ok"]
