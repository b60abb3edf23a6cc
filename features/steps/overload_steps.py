"""Put real daemons and targets under more load than the targets can take."""

import time
from collections import Counter

import gevent
from behave import given, then, when

from comfreyhitch.platform.settings import METRICS_PORT
from comfreyhitch.testing.http_requests import request
from comfreyhitch.testing.operator_documents import (
    ROUTE_TIMEOUT_MS,
    make_configuration,
    write_configuration,
)
from comfreyhitch.testing.platform_fleet import (
    read_runs,
    send,
    start_platform_fleet,
    stop_platform_fleet,
)
from features.platform_helpers import NOT_RUN_STATUSES

TARGET_ARGUMENTS = ["--slots", "4", "--work-ms", "100"]
PRIORITY_BY_KIND = {"catalogue": 0, "catalogue-once": 2}
# A waiting request is refused after half of its time at the latest. The rest is for a machine that
# is busy with other work.
MAX_REFUSAL_SECONDS = 0.5 * ROUTE_TIMEOUT_MS / 1000 + 0.5
# Callers count it as a fault if a kind is served less often than a less urgent one by more.
MAX_INVERSION = 0.05
CONFIGURATION_SECONDS = 2.5


@given("a fleet on the platform with overload control, whose targets can take 80 requests a second")
def start_overload_fleet(context):
    targets = [("catalogue", zone, TARGET_ARGUMENTS) for zone in ("za", "zb")]
    fleet = start_platform_fleet(context.folder, targets, settings={"Contracts": "pool"})
    context.platform_fleet = fleet
    context.add_cleanup(stop_platform_fleet, fleet)
    content = make_configuration(2, ["catalogue"])
    for item in content["Routes"]:
        item["Priority"] = PRIORITY_BY_KIND[item["Prefix"].strip("/")]
    write_configuration(fleet, content)
    gevent.sleep(CONFIGURATION_SECONDS)


@when("requests of two priorities arrive 120 times a second for 4 seconds")
def send_overload(context):
    instances = list(context.platform_fleet.instances_by_name.values())
    context.exchanges = []

    def exchange(instance, kind):
        started_at = time.monotonic()
        request_id, response = send(instance, f"/{kind}/x", method="POST", body=b"b")
        seconds = time.monotonic() - started_at
        context.exchanges.append((kind, request_id, response.status, seconds))

    sending = []
    for number in range(480):
        kind = "catalogue" if number % 2 else "catalogue-once"
        sending.append(gevent.spawn(exchange, instances[number // 2 % 2], kind))
        gevent.sleep(1 / 120)
    gevent.joinall(sending, raise_error=True)


@then("no refused request has run, and each was refused before most of its time had passed")
def check_refusals(context):
    runs = Counter(request_id for request_id, _ in read_runs(context.platform_fleet))
    refused = [item for item in context.exchanges if item[2] in NOT_RUN_STATUSES]
    assert refused, "no request was refused"
    for kind, request_id, status, seconds in refused:
        assert runs[request_id] == 0, (kind, request_id, status)
        assert seconds <= MAX_REFUSAL_SECONDS, (kind, seconds)
    assert all(runs[item[1]] <= 1 for item in context.exchanges if item[0] == "catalogue-once")


@then("the more urgent kind was served at least as often as the other")
def check_kinds(context):
    sent = Counter(item[0] for item in context.exchanges)
    served = Counter(item[0] for item in context.exchanges if item[2] == 200)
    shares = {kind: served[kind] / sent[kind] for kind in PRIORITY_BY_KIND}
    print(shares)
    assert shares["catalogue"] >= shares["catalogue-once"] - MAX_INVERSION, shares


@then("the metrics count refusals and waits by rank")
def check_metrics(context):
    text = "".join(
        request(instance.host, "/metrics", port=METRICS_PORT).body.decode()
        for instance in context.platform_fleet.instances_by_name.values()
    )
    assert 'comfreyhitch_scheduling_refusals_total{cause="overloaded",nested="no",rank="2"}' in text
    assert 'comfreyhitch_wait_seconds_count{rank="0"}' in text
