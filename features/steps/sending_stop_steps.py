"""Test stops of a daemon while answers are received and sent."""

import time
from datetime import timedelta

import gevent
import gevent.socket
from behave import then, when

from comfreyhitch.daemon.shutdown import stop_gracefully
from comfreyhitch.egress.caller_handler import CallerHandler
from comfreyhitch.egress.caller_server import CallerServer
from comfreyhitch.testing.http_requests import HTTP_PORT, request
from comfreyhitch.testing.processes import resume, suspend
from comfreyhitch.testing.processes import stop_gracefully as ask_to_stop
from features.steps.failing_stop_steps import make_daemon
from features.steps.fleet_steps import get_instance
from features.steps.held_bytes_steps import LARGE_BODY, LARGE_COUNT, read_metric
from features.steps.slow_caller_steps import BODY, read_rest, send_request

# More than the kernel buffers of both ends.
LARGEST_BODY = 3 * BODY
# Read every 20 ms by a slow caller, 6.4 MB a second.
SLOW_PART_BYTES = 128 * 1024
READ_PAUSE_SECONDS = 0.02
DRAIN_SECONDS = 0.4


def send_large_requests(context, count, pause_seconds=0.0):
    """Start to send requests to payments through shop; return the greenlets that do so."""
    shop = get_instance(context, "shop")

    def send(method):
        response = request(
            shop.host,
            "/large",
            method=method,
            body=LARGE_BODY,
            headers={"Comfreyhitch-Service": "payments"},
        )
        context.answers.append((time.monotonic(), method, response))

    senders = []
    for number in range(count):
        # A PUT may run more than once, a POST may not.
        senders.append(gevent.spawn(send, ("POST", "PUT")[number % 2]))
        gevent.sleep(pause_seconds)
    return senders


@when("24 requests with responses of 300 KB are sent through shop while its daemon stops")
def send_while_stopping(context):
    context.answers = []
    # Daemons learn the size of the responses from the first ones.
    gevent.joinall(send_large_requests(context, 2), raise_error=True)
    context.answers.clear()
    ask_to_stop(get_instance(context, "shop").daemon)
    gevent.joinall(send_large_requests(context, 24, pause_seconds=0.03), raise_error=True)


@then("some get their whole response, and the others are refused as not run")
def check_served_or_refused(context):
    served = [item for _, _, item in context.answers if item.status == 200]
    assert 0 < len(served) < len(context.answers), [item for _, _, item in context.answers]
    assert all(item.json["body"].encode() == LARGE_BODY for item in served)
    for _, method, response in context.answers:
        if response.status != 200:
            assert (response.status, response.verdict) == (503, "not-run"), (method, response)


@when(
    "8 requests with responses of 300 KB are in flight through shop, whose daemon is asked to stop"
)
def stop_with_large_answers(context):
    shop = get_instance(context, "shop")
    context.answers = []
    senders = send_large_requests(context, LARGE_COUNT)
    gevent.sleep(0.3)
    context.stopped_at = time.monotonic()
    ask_to_stop(shop.daemon)
    gevent.joinall(senders, raise_error=True)


@then("each of them got its whole response, some after the drain timeout")
def check_large_answers(context):
    for _, method, response in context.answers:
        assert response.status == 200, (method, response.status, response.body[:200])
        assert response.json["body"].encode() == LARGE_BODY
    settings = context.fleet_settings
    drain_seconds = float(settings["drain_timeout"]) + float(settings["stop_linger"])
    last_seconds = max(at for at, _, _ in context.answers) - context.stopped_at
    assert last_seconds > drain_seconds, last_seconds


@then("a caller that reads slowly gets its whole response, and one that does not read ends in time")
def check_slow_reader(context):
    seconds, is_sent, received = stop_while_reading(context, READ_PAUSE_SECONDS, send_seconds=6)
    # What is not sent by then would be cut by the end of the process.
    assert is_sent, seconds
    assert received.endswith(LARGEST_BODY), len(received)
    assert DRAIN_SECONDS < seconds < 6.0, seconds
    seconds, is_sent, _ = stop_while_reading(context, 10.0, send_seconds=1)
    assert not is_sent
    assert DRAIN_SECONDS + 1 <= seconds < 3.0, seconds


def stop_while_reading(context, read_pause_seconds, send_seconds):
    """Stop a daemon while a caller reads.

    Return the seconds it took, whether the response was sent by then, and what was received.
    """
    daemon = make_daemon(
        context,
        drain_timeout=timedelta(seconds=DRAIN_SECONDS),
        send_timeout=timedelta(seconds=send_seconds),
    )
    context.server = CallerServer(
        (str(daemon.settings.host), 0), respond, handler_class=CallerHandler, log=None
    )
    context.server.start()
    daemon.servers = [context.server, context.server]
    with send_request(context, str(daemon.settings.host)) as sock:
        gevent.sleep(0.1)
        reading = gevent.spawn(read_rest, sock, read_pause_seconds, SLOW_PART_BYTES)
        started_at = time.monotonic()
        stop_gracefully(daemon)
        seconds = time.monotonic() - started_at
        is_sent = not context.server.connections.by_socket
        reading.join(timeout=10.0)
        received = reading.value[0] if reading.successful() else b""
        reading.kill()
    daemon.detector.sock.close()
    return seconds, is_sent, received


def respond(environ, start_response):
    """Respond with more bytes than the buffers of both sockets hold."""
    start_response("200 OK", [("Content-Length", str(len(LARGEST_BODY))), ("Connection", "close")])
    return [LARGEST_BODY]


@when("the daemon of shop is suspended while 5 requests are sent to it, whose callers leave")
def leave_unread(context):
    message = b"GET / HTTP/1.1\r\nHost: a\r\nComfreyhitch-Service: catalogue\r\n\r\n"
    shop = get_instance(context, "shop")
    context.attempts_before = read_metric(context, "shop", "attempts_total")
    suspend(shop.daemon)
    for _ in range(5):
        with gevent.socket.create_connection((shop.host, HTTP_PORT)) as sock:
            sock.sendall(message)
    gevent.sleep(0.2)
    resume(shop.daemon)


@then("shop has sent none of them to catalogue")
def check_attempts(context):
    gevent.sleep(1.0)
    attempts = read_metric(context, "shop", "attempts_total") - context.attempts_before
    assert attempts == 0, attempts
