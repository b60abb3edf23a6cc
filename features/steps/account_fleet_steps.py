"""Test client accounts on the daemons and targets of a fleet on the platform."""

import time
from http.client import HTTPConnection

import gevent
from behave import then, when

from comfreyhitch.platform.names import HEADER_ACCOUNT, HEADER_DEADLINE_MS, HEADER_REQUEST_ID
from comfreyhitch.platform.settings import METRICS_PORT
from comfreyhitch.testing.fleet import set_platform_faults
from comfreyhitch.testing.http_requests import request
from comfreyhitch.testing.operator_documents import make_configuration, write_configuration
from comfreyhitch.testing.platform_fleet import read_runs, send, start_daemon
from comfreyhitch.testing.platform_models import HOST_NAME, OUTBOUND_PORT
from comfreyhitch.testing.processes import kill, wait_until

ACCOUNT = "pulo780"
KEPT_KEY = "kept-key-95fd0b"
REMOVED_KEY = "removed-key-6c1e27"
UNKNOWN_KEY = "unknown-key-40aa93"
KEYS = (KEPT_KEY, REMOVED_KEY, UNKNOWN_KEY)
PRIVATE_PATH = "/catalogue/x"
PUBLIC_PATH = "/catalogue-once/x"
# A change of the configuration must be in force this long after its acknowledgement.
IN_FORCE_SECONDS = 2.5
WATCHED_SECONDS = 1.0


def write_accounts(context, version, keys):
    """Write a configuration with one account, which holds some keys, and one public route."""
    content = make_configuration(version, ["catalogue"])
    for route in content["Routes"]:
        route["Public"] = PUBLIC_PATH.startswith(route["Prefix"])
    content["Tenants"] = [{"Name": ACCOUNT, "ApiKeys": list(keys)}, {"Name": "b", "ApiKeys": []}]
    write_configuration(context.platform_fleet, content)


def list_instances(context):
    """Return the instances of the fleet."""
    return list(context.platform_fleet.instances_by_name.values())


def make_headers(key):
    """Return the headers of a caller with a key, who also names another account."""
    headers = {HEADER_ACCOUNT: "b"}
    if key is not None:
        headers["Authorization"] = f"Bearer {key}"
    return headers


def send_with_key(instance, path, key):
    """Send a request with a key, or with none, and return its id and the response."""
    return send(instance, path, headers=make_headers(key))


def send_on(connection, key):
    """Send a request with a key on an open connection, and return the response's status."""
    headers = {"Host": HOST_NAME, HEADER_REQUEST_ID: "kept-open", HEADER_DEADLINE_MS: "5000"}
    connection.request("GET", PRIVATE_PATH, headers={**headers, **make_headers(key)})
    response = connection.getresponse()
    response.read()
    return response.status


@when("a configuration with accounts comes into force")
def write_first_accounts(context):
    write_accounts(context, 2, [KEPT_KEY, REMOVED_KEY])
    for instance in list_instances(context):
        wait_until(
            lambda instance=instance: send_with_key(instance, PRIVATE_PATH, None)[1].status == 401,
            IN_FORCE_SECONDS,
            instance.name,
        )


@then(
    "a request with a key reaches its target with the account's name, without the key and the "
    "caller's own name"
)
def check_accepted(context):
    for instance in list_instances(context):
        for key in (KEPT_KEY, REMOVED_KEY):
            _, response = send_with_key(instance, PRIVATE_PATH, key)
            assert response.status == 200, response
            headers = response.json["headers"]
            assert headers["HTTP_X_COMFREYHITCH_TENANT_ID"] == ACCOUNT
            assert "HTTP_AUTHORIZATION" not in headers
            assert key.encode() not in response.body


@then("a request without a key and one with an unknown key get 401 and never run")
def check_refused(context):
    refused_ids = set()
    for instance in list_instances(context):
        for key in (None, UNKNOWN_KEY):
            request_id, response = send_with_key(instance, PRIVATE_PATH, key)
            assert response.status == 401, response
            assert response.headers["www-authenticate"] == "Bearer"
            assert "retry-after" not in response.headers
            refused_ids.add(request_id)
    ran_ids = {request_id for request_id, _ in read_runs(context.platform_fleet)}
    assert not refused_ids & ran_ids


@then("a request on a public route runs without a name, with and without a key")
def check_public(context):
    for instance in list_instances(context):
        for key in (None, UNKNOWN_KEY, KEPT_KEY):
            _, response = send_with_key(instance, PUBLIC_PATH, key)
            assert response.status == 200, response
            headers = response.json["headers"]
            assert not {"HTTP_AUTHORIZATION", "HTTP_X_COMFREYHITCH_TENANT_ID"} & headers.keys()


@when("callers keep their connections open and a later configuration takes a key away")
def take_key_away(context):
    context.connections = []
    for instance in list_instances(context):
        connection = HTTPConnection(instance.host, OUTBOUND_PORT, timeout=5.0)
        connection.connect()
        # A connection that the daemon closes must not be opened again unnoticed.
        connection.auto_open = 0
        context.add_cleanup(connection.close)
        context.connections.append(connection)
        assert send_on(connection, REMOVED_KEY) == 200
    write_accounts(context, 3, [KEPT_KEY])


@then(
    "requests with it get 401 on these connections within {seconds:g} seconds, and with the other "
    "key still run"
)
def check_taken_away(context, seconds):
    ends_at = time.monotonic() + seconds
    for connection in context.connections:
        wait_until(
            lambda connection=connection: send_on(connection, REMOVED_KEY) == 401,
            ends_at - time.monotonic(),
            "the key is refused",
        )
        assert send_on(connection, KEPT_KEY) == 200


@when(
    "an older configuration with the key is written and a daemon restarts while the store is down"
)
def restart_without_store(context):
    write_accounts(context, 2, [KEPT_KEY, REMOVED_KEY])
    watched_until = time.monotonic() + WATCHED_SECONDS
    while time.monotonic() < watched_until:
        assert [send_on(connection, REMOVED_KEY) for connection in context.connections] == [
            401,
            401,
        ]
        gevent.sleep(0.05)
    set_platform_faults(context.platform_fleet.fleet, is_down=True)
    instance = list_instances(context)[0]
    kill(instance.daemon)
    start_daemon(context.platform_fleet, instance)


@then("that daemon never accepts the key, and serves the other one once its peers have told it")
def check_restarted(context):
    instance = list_instances(context)[0]

    def serves_kept_key():
        try:
            statuses = [
                send_with_key(instance, PRIVATE_PATH, key)[1].status
                for key in (REMOVED_KEY, None, KEPT_KEY)
            ]
        except OSError:
            return False
        assert statuses[0] in (401, 503) and statuses[1] in (401, 503), statuses
        return statuses == [401, 401, 200]

    # Peers probe an unreachable daemon only every few seconds.
    wait_until(serves_kept_key, 15.0, "the restarted daemon")


@then("the keys stand in no log, metric or status of a daemon")
def check_nothing_leaks(context):
    texts = {
        path.name: path.read_bytes() for path in context.platform_fleet.fleet.folder.glob("*.log")
    }
    assert len(texts) > len(list_instances(context)), "logs of daemons, targets and the store"
    for instance in list_instances(context):
        for path in ("/metrics", "/v1/status", "/v1/members"):
            texts[instance.name + path] = request(instance.host, path, port=METRICS_PORT).body
    for name, text in texts.items():
        for key in KEYS:
            assert key.encode() not in text, (name, key)
    metrics = texts[list_instances(context)[1].name + "/metrics"].decode()
    for line in (
        "comfreyhitch_accounts_in_force 1",
        "comfreyhitch_accounts 2",
        "comfreyhitch_account_keys 1",
    ):
        assert line in metrics, (line, metrics)
    assert 'comfreyhitch_key_faults_total{cause="unknown"}' in metrics
    assert f'tenant="{ACCOUNT}"' in metrics
