"""Steps that read what the log and the metrics of a daemon tell about its stop."""

import json
import re
import signal
import time
from contextlib import suppress

import gevent
import gevent.socket
from behave import then, when

from comfreyhitch.testing.fleet import ADMIN_PORT, call_service, set_faults
from comfreyhitch.testing.http_requests import HTTP_PORT, request
from comfreyhitch.testing.processes import stop_gracefully, wait_for_exit, wait_until
from features.steps.fleet_steps import get_instance, list_instances

EXIT_SECONDS = 10.0
SIGNALS_METRIC = "comfreyhitch_signals_total"


def read_log(context, instance, message):
    """Return the log lines of an instance's daemon with a message."""
    path = context.fleet.folder / f"{instance.name}-daemon.log"
    lines = [json.loads(line) for line in path.read_text().splitlines() if line.startswith("{")]
    return [line for line in lines if line["message"] == message]


def read_stopped_log(context, message):
    """Return the log lines with a message when the daemon that stops has exited."""
    wait_for_exit(context.stopping.daemon, EXIT_SECONDS)
    assert context.stopping.daemon.returncode == 0
    return read_log(context, context.stopping, message)


def read_one(context, message):
    """Return the only log line with a message when the daemon that stops has exited."""
    lines = read_stopped_log(context, message)
    assert len(lines) == 1, lines
    return lines[0]


def get_until_interrupted(instance, service):
    """Send a GET, and return the status of its response."""
    return call_service(instance, service).status


@when(
    "a GET to catalogue and the first line of another request are in progress at the daemon of shop"
)
def start_requests(context):
    context.stopping = get_instance(context, "shop")
    context.waiting = gevent.spawn(get_until_interrupted, context.stopping, "catalogue")
    address = (context.stopping.host, HTTP_PORT)
    context.incomplete = gevent.socket.create_connection(address, timeout=5.0)
    context.add_cleanup(context.incomplete.close)
    context.incomplete.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n")
    gevent.sleep(0.3)


@when("that daemon gets SIGHUP and SIGTERM")
def send_first_signals(context):
    daemon = context.stopping.daemon
    daemon.send_signal(signal.SIGHUP)
    # Signals that are pending at once may be handled in any order.
    wait_until(
        lambda: read_log(context, context.stopping, "signal received"), 5.0, "line of a signal"
    )
    context.signalled_at = time.monotonic()
    daemon.send_signal(signal.SIGTERM)


@when("requests for stock are sent through it until its listener closes")
def send_short_requests(context):
    context.statuses = []
    with suppress(OSError):
        while time.monotonic() < context.signalled_at + EXIT_SECONDS:
            context.statuses.append(call_service(context.stopping, "stock").status)
            gevent.sleep(0.05)
    print("statuses during the stop:", context.statuses)


@when("it gets SIGTERM again, its target leaves, and the daemon of catalogue is asked to stop")
def send_second_signal(context):
    context.stopping.daemon.send_signal(signal.SIGTERM)
    set_faults(context.stopping, is_draining=True)
    stop_gracefully(get_instance(context, "catalogue").daemon)
    gevent.sleep(0.2)
    text = request(context.stopping.host, "/metrics", port=ADMIN_PORT).body.decode()
    pattern = SIGNALS_METRIC + r'\{effect="(\w+)",signal="(\w+)"\} (\d+)'
    context.signal_counts = {
        (name, effect): int(count) for effect, name, count in re.findall(pattern, text)
    }


@then(
    "its metrics count SIGTERM once with effect stop and once with none, and SIGHUP once with none"
)
def check_signal_metrics(context):
    assert context.signal_counts == {
        ("SIGTERM", "stop"): 1,
        ("SIGTERM", "none"): 1,
        ("SIGHUP", "none"): 1,
    }, context.signal_counts


@then("its log tells of three signals, the second SIGTERM without effect")
def check_signal_lines(context):
    lines = read_stopped_log(context, "signal received")
    told = [(line["signal"], line["effect"], line["stop_signals"]) for line in lines]
    expected = [("SIGHUP", "none", 0), ("SIGTERM", "stop", 1), ("SIGTERM", "none", 2)]
    assert told == expected, told
    assert [line["stop_ms"] for line in lines[:2]] == [None, 0], lines
    assert 1000 <= lines[2]["stop_ms"] < 3000, lines


@then("its log tells the plan, the connections by phase and the requests at the start of the stop")
def check_start_line(context):
    line = read_one(context, "draining")
    assert line["connections"] == {"handling": 1, "reading": 1}, line
    assert (line["requests"], line["calls"], line["in_flight"]) == (1, 0, 0), line
    assert 900 <= line["serves_until_ms"] <= 1000, line
    assert 2900 <= line["answers_until_ms"] <= 3000, line
    assert 3400 <= line["ends_at_ms"] <= 3500, line


@then("its log tells when its target left")
def check_target_line(context):
    *_, line = read_stopped_log(context, "target's state")
    assert line["state"] == "draining", line
    second_signal_ms = read_stopped_log(context, "signal received")[-1]["stop_ms"]
    assert second_signal_ms - 20 <= line["stop_ms"] <= second_signal_ms + 1500, line


@then("its log tells where the GET was, for how long, and that the daemon there drains")
def check_interrupted_line(context):
    line = read_one(context, "request is interrupted by the stop")
    assert context.waiting.get(timeout=EXIT_SECONDS) == 504
    assert (line["service"], line["phase"]) == ("catalogue", "handling"), line
    assert 2900 <= line["stop_ms"] < 3500, line
    assert line["age_ms"] >= line["stop_ms"] + 250, line
    [attempt] = line["tries"]
    assert attempt["target"] == get_instance(context, "catalogue").peer_address, line
    assert line["age_ms"] - 200 <= attempt["ms"] <= line["age_ms"], line
    assert (attempt["target_status"], attempt["target_drains"]) == ("alive", True), line


@then("its log tells how many requests were answered, refused, interrupted and cut")
def check_end_line(context):
    line = read_one(context, "stopped")
    answered = context.statuses.count(200)
    refused = context.statuses.count(503)
    assert answered and refused, context.statuses
    assert answered + refused == len(context.statuses), context.statuses
    assert line["answered"] == answered, (line, context.statuses)
    assert line["refused"] == {"draining": refused}, (line, context.statuses)
    assert line["failed"] == {"interrupted": 1}, line
    assert (line["interrupted"], line["cut"]) == (1, 1), line
    assert (line["stop_signals"], line["drained"]) == (2, False), line
    assert line["stop_ms"] >= 3400, line
    cut = read_one(context, "request is cut by the stop")
    assert cut["phase"] == "reading", cut


@when("{count:d} GETs run at catalogue through shop, whose daemon is asked to stop")
def stop_with_many_requests(context, count):
    context.stopping = get_instance(context, "shop")
    senders = [
        gevent.spawn(get_until_interrupted, context.stopping, "catalogue") for _ in range(count)
    ]
    gevent.sleep(0.5)
    stop_gracefully(context.stopping.daemon)
    gevent.joinall(senders, raise_error=True)
    statuses = [sender.value for sender in senders]
    assert statuses == [504] * count, statuses


@then("its log has lines for {logged:d} of them, and a line for the other {left_out:d}")
def check_bound(context, logged, left_out):
    lines = read_stopped_log(context, "request is interrupted by the stop")
    assert len(lines) == logged, len(lines)
    assert read_one(context, "further requests")["lines_left_out"] == left_out
    assert read_one(context, "stopped")["interrupted"] == logged + left_out


@then("its log tells that the GET was at both targets, at the second one as a hedge")
def check_hedge(context):
    line = read_one(context, "request is interrupted by the stop")
    first, hedge = line["tries"]
    addresses = {item.peer_address for item in list_instances(context, "catalogue")}
    assert {first["target"], hedge["target"]} == addresses, line
    assert "is_hedge" not in first and hedge["is_hedge"], line
    assert 500 <= hedge["ms"] < first["ms"] <= line["age_ms"], line


@when("one target of catalogue takes 100 times as long, and GETs are sent until one is hedged")
def send_until_hedged(context):
    slow = get_instance(context, "catalogue")
    set_faults(slow, slow_factor=100.0, slow_seconds=60.0)
    shop = get_instance(context, "shop")

    def find_hedged():
        assert call_service(shop, "catalogue").status == 200
        lines = read_log(context, shop, "request")
        context.hedged = next((line["tries"] for line in lines if len(line["tries"]) > 1), None)
        return context.hedged is not None

    wait_until(find_hedged, 10.0, "hedged request")


@then("the log tells that the hedge ran and that the first attempt was answered elsewhere")
def check_answered_hedge(context):
    first, hedge = context.hedged
    assert first["target"] == get_instance(context, "catalogue").peer_address, context.hedged
    assert first["outcome"] == "answered elsewhere", context.hedged
    assert hedge["is_hedge"] and hedge["outcome"] == "200", context.hedged
    assert hedge["ms"] < first["ms"], context.hedged
