"""Steps that stop daemons gracefully while requests are in flight."""

import time
from collections import Counter

import gevent
import gevent.socket
from behave import given, then, when

from comfreyhitch.testing.fleet import (
    start_daemon,
    wait_until_joined,
)
from comfreyhitch.testing.http_requests import (
    HTTP_PORT,
    request,
)
from comfreyhitch.testing.processes import (
    is_running,
    stop_gracefully,
    wait_for_exit,
)
from features.steps.fleet_steps import list_instances

# Pauses between the two parts of a request's head.
PIECE_GAPS_SECONDS = (0.0, 0.005, 0.05, 0.3)


@when("12 requests are in flight and the first daemon of {service} is asked to stop")
def stop_with_requests_in_flight(context, service):
    instances = list_instances(context, service)
    context.responses = []

    def send(number):
        entry_instance = instances[number % len(instances)]
        headers = {"Comfreyhitch-Service": service}
        context.responses.append(request(entry_instance.host, "/", headers=headers))

    senders = [gevent.spawn(send, number) for number in range(12)]
    gevent.sleep(0.2)
    context.stopped_at = time.monotonic()
    stop_gracefully(instances[0].daemon)
    gevent.joinall(senders, raise_error=True)


@then(
    "each of them got verdict ran or not-run, some ran, and the daemon has exited with code 0 "
    "within {seconds:g} seconds"
)
def check_all_responded(context, seconds):
    unexpected = [item for item in context.responses if item.verdict not in ("ran", "not-run")]
    ran = [item for item in context.responses if item.verdict == "ran"]
    assert len(context.responses) == 12
    assert not unexpected, unexpected
    assert ran
    daemon = list_instances(context, "catalogue")[0].daemon
    wait_for_exit(daemon, max(0.1, context.stopped_at + seconds - time.monotonic()))
    assert daemon.returncode == 0, daemon.returncode


@when("each daemon of {service} is stopped and started again in turn")
def restart_in_turn(context, service):
    for instance in list_instances(context, service):
        stop_gracefully(instance.daemon)
        wait_for_exit(instance.daemon, 15.0)
        start_daemon(context.fleet, instance)
        wait_until_joined(context.fleet)


@given("settings drain_timeout {drain:g} and stop_linger {linger:g}")
def set_stop_times(context, drain, linger):
    context.fleet_settings |= {"drain_timeout": str(drain), "stop_linger": str(linger)}


@given("setting send_timeout {seconds:g}")
def set_send_timeout(context, seconds):
    context.fleet_settings["send_timeout"] = str(seconds)


@when(
    "a GET runs at catalogue and a GET and a POST wait there, all through shop, whose daemon is "
    "asked to stop"
)
def stop_with_waiting_requests(context):
    shop = list_instances(context, "shop")[0]
    context.responses = []
    senders = []
    for method in ("GET", "GET", "POST"):
        senders.append(gevent.spawn(send_to_catalogue, context, shop, method))
        gevent.sleep(0.3)
    context.stopped_at = time.monotonic()
    stop_gracefully(shop.daemon)
    gevent.joinall(senders, raise_error=True)


def send_to_catalogue(context, instance, method):
    headers = {"Comfreyhitch-Service": "catalogue"}
    response = request(instance.host, "/", method=method, headers=headers)
    context.responses.append((method, response.status, response.verdict))


@then(
    "the GET that runs and the GET that waits get 504 with verdict may-have-run, and the POST "
    "gets 503 with verdict not-run"
)
def check_verdicts(context):
    assert sorted(context.responses) == [
        ("GET", 504, "may-have-run"),
        ("GET", 504, "may-have-run"),
        ("POST", 503, "not-run"),
    ], context.responses


@then("the daemon of {service} has exited with code 0 within {seconds:g} seconds")
def check_exit(context, service, seconds):
    daemon = list_instances(context, service)[0].daemon
    wait_for_exit(daemon, max(0.1, context.stopped_at + seconds - time.monotonic()))
    assert daemon.returncode == 0, daemon.returncode


@when("the daemon of {service} is asked to stop")
def ask_to_stop(context, service):
    context.stopping = list_instances(context, service)[0]
    context.stopped_at = time.monotonic()
    stop_gracefully(context.stopping.daemon)


@when("requests reach it in pieces, on kept and on new connections, until it is gone")
def send_in_pieces(context):
    context.exchanges = []
    address = (context.stopping.host, HTTP_PORT)
    senders = []
    while is_running(context.stopping.daemon) and time.monotonic() < context.stopped_at + 6.0:
        senders += [
            gevent.spawn(exchange_in_pieces, context, address, gap_seconds)
            for gap_seconds in PIECE_GAPS_SECONDS
        ]
        gevent.sleep(0.01)
    gevent.joinall(senders, raise_error=True)


def exchange_in_pieces(context, address, gap_seconds):
    """Send the first line of a request, and after a gap the rest; record what came back."""
    try:
        connection = gevent.socket.create_connection(address, timeout=5.0)
    except OSError:
        # The listener is closed, so the caller knows that nothing was read.
        return
    response = b""
    is_sent = False
    try:
        connection.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n")
        gevent.sleep(gap_seconds)
        connection.sendall(b"Comfreyhitch-Service: catalogue\r\n\r\n")
        is_sent = True
        while chunk := connection.recv(4096):
            response += chunk
            if b"\r\n\r\n" in response:
                break
    except OSError:
        pass
    finally:
        connection.close()
    context.exchanges.append((gap_seconds, is_sent, response))


@then("each request of which a part was read was answered ran or not-run")
def check_pieces(context):
    sent = [item for item in context.exchanges if item[1]]
    unanswered = Counter(gap for gap, _, response in sent if b"-Verdict: " not in response)
    verdicts = Counter(
        response.partition(b"-Verdict: ")[2].partition(b"\r\n")[0] for _, _, response in sent
    )
    print(f"requests: {len(sent)}, unanswered by gap: {unanswered}, verdicts: {verdicts}")
    assert len(sent) > 50
    assert not unanswered, unanswered
    assert set(verdicts) <= {b"ran", b"not-run"}, verdicts


@when("{count:d} requests are sent to it at once on one connection")
def send_at_once(context, count):
    address = (context.stopping.host, HTTP_PORT)
    request_bytes = b"GET / HTTP/1.1\r\nHost: a\r\nComfreyhitch-Service: catalogue\r\n\r\n"
    with gevent.socket.create_connection(address, timeout=5.0) as connection:
        connection.sendall(request_bytes * count)
        context.received = b""
        while chunk := connection.recv(65536):
            context.received += chunk


@then(
    "all {count:d} are answered, and the daemon of {service} has exited with code 0 within "
    "{seconds:g} seconds"
)
def check_all_answered(context, count, service, seconds):
    assert context.received.count(b"HTTP/1.1 200 OK") == count, context.received
    check_exit(context, service, seconds)
