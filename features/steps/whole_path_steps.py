"""Define steps for requests through the daemons of the caller and the target."""

import gevent
import gevent.socket
from behave import then, when

from comfreyhitch.conf.models import Settings
from comfreyhitch.testing.fleet import (
    call_service,
    count_runs,
)
from comfreyhitch.testing.http_requests import (
    HTTP_PORT,
    request,
)
from features.steps.fleet_steps import get_instance, list_instances

SHORT_TIMEOUT_MS = "25"


@when("the daemon beside catalogue is asked for payments with")
def send_methods(context):
    instance = get_instance(context, "catalogue")
    context.exchanges = []
    for row in context.table:
        body = b"\x00\xff body" if row["method"] in ("POST", "PUT", "PATCH") else b""
        headers = {"X-Custom": "a, b"}
        response = call_service(
            instance, "payments", row["path"], method=row["method"], body=body, headers=headers
        )
        context.exchanges.append((row["method"], row["path"], body, response))


@then("each response is the target's own, with verdict ran")
def check_methods(context):
    for method, path, body, response in context.exchanges:
        assert response.status == 200, (method, response)
        assert response.verdict == "ran"
        echo = response.json
        assert echo["service"] == "payments"
        assert echo["method"] == method
        assert echo["path"] == path.partition("?")[0]
        assert echo["query"] == path.partition("?")[2]
        assert echo["body"] == body.decode("latin-1")
        assert echo["headers"]["HTTP_X_CUSTOM"] == "a, b"


@then("statuses {codes} arrive with both X-Two headers")
def check_statuses(context, codes):
    instance = get_instance(context, "catalogue")
    for code in codes.replace(" and ", ", ").split(", "):
        headers = {"Comfreyhitch-Service": "payments", "Comfreyhitch-Attempt": "2"}
        response = _request_raw(instance, f"/status/{code}", headers)
        assert response.startswith(f"HTTP/1.1 {code} Stand-in\r\n"), response
        assert "X-Two: a\r\nX-Two: b\r\n" in response, response
        assert "Comfreyhitch-Verdict: ran" in response


@then('a chunked response arrives as "{text}"')
def check_chunked(context, text):
    response = call_service(get_instance(context, "catalogue"), "payments", "/chunked")
    assert response.body.decode() == text


@then("the response to HEAD arrives without a body")
def check_head(context):
    response = call_service(get_instance(context, "catalogue"), "payments", "/a", method="HEAD")
    assert response.status == 200
    assert response.body == b""


@then(
    "a refusal of HEAD arrives without a body, and the next request on its connection is answered"
)
def check_refused_head(context):
    # A body behind a response to HEAD would be read as the start of the next response.
    address = (get_instance(context, "catalogue").host, HTTP_PORT)
    head = b"/ HTTP/1.1\r\nHost: a\r\nComfreyhitch-Service: no-such-service\r\n\r\n"
    with gevent.socket.create_connection(address, timeout=5.0) as connection:
        connection.sendall(b"HEAD " + head)
        gevent.sleep(0.2)
        refusal = connection.recv(65536)
        assert refusal.startswith(b"HTTP/1.1 404 "), refusal
        assert refusal.endswith(b"\r\n\r\n"), refusal
        connection.sendall(b"GET " + head)
        assert connection.recv(65536).startswith(b"HTTP/1.1 404 ")


@then("a body over the limit is refused with 413 and verdict not-run")
def check_body_limit(context):
    instance = get_instance(context, "catalogue")
    body = b"x" * (Settings().body_limit_bytes + 1)
    response = call_service(instance, "catalogue", "/", method="POST", body=body)
    assert (response.status, response.verdict) == (413, "not-run"), response


@then("an unknown service is refused with 404 and verdict not-run")
def check_unknown_service(context):
    response = call_service(get_instance(context, "catalogue"), "no-such-service")
    assert (response.status, response.verdict) == (404, "not-run"), response


@then("a deadline that is not a number is refused with 400 and verdict not-run")
def check_bad_deadline(context):
    headers = {"Comfreyhitch-Timeout-Ms": "soon"}
    response = call_service(get_instance(context, "catalogue"), "catalogue", headers=headers)
    assert (response.status, response.verdict) == (400, "not-run"), response
    assert b"Comfreyhitch-Timeout-Ms" in response.body


@then("a request line that is not HTTP is refused with 400 and verdict not-run")
def check_bad_request_line(context):
    instance = get_instance(context, "catalogue")
    text = _exchange_raw(instance, b"NONSENSE\r\n\r\n")
    assert text.startswith("HTTP/1.1 400"), text
    assert "Comfreyhitch-Verdict: not-run" in text


@when(
    "{count:d} requests with bodies of their own, half of them with short deadlines, "
    "are sent by {callers:d} concurrent callers"
)
def send_racing_requests(context, count, callers):
    instances = list_instances(context, "payments")
    context.responses = {}

    def run_caller(caller):
        for number in range(caller, count, callers):
            body = f"request {number}".encode()
            headers = {"Comfreyhitch-Service": "payments"}
            if number % 2:
                headers["Comfreyhitch-Timeout-Ms"] = SHORT_TIMEOUT_MS
            instance = instances[number % len(instances)]
            context.responses[number] = request(
                instance.host, "/echo", method="PUT", body=body, headers=headers
            )

    gevent.joinall(
        [gevent.spawn(run_caller, caller) for caller in range(callers)], raise_error=True
    )


@then(
    "every response with status 200 belongs to its request, and over a quarter of the requests get "
    "one"
)
def check_answers_match(context):
    matched = 0
    for number, response in context.responses.items():
        if response.status == 200:
            assert response.json["body"] == f"request {number}", (number, response)
            matched += 1
        else:
            assert response.verdict in ("not-run", "may-have-run"), response
    assert matched > len(context.responses) / 4, matched


def _request_raw(instance, path, headers):
    lines = [f"GET {path} HTTP/1.1", "Host: a", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return _exchange_raw(instance, ("\r\n".join(lines) + "\r\n\r\n").encode())


def _exchange_raw(instance, data):
    sock = gevent.socket.create_connection((instance.host, HTTP_PORT), 5)
    sock.sendall(data)
    received = b""
    while chunk := sock.recv(65536):
        received += chunk
    sock.close()
    return received.decode("latin-1")


@when("a request occupies the only slot, and the caller of a second one disconnects")
def disconnect_while_queued(context):
    shop = get_instance(context, "shop")
    context.first_request = gevent.spawn(call_service, shop, "catalogue", "/first")
    gevent.sleep(0.2)
    sock = gevent.socket.create_connection((shop.host, HTTP_PORT), 5)
    lines = ["GET /second HTTP/1.1", "Host: a", "Comfreyhitch-Service: catalogue"]
    lines += ["X-Run-Id: second"]
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
    gevent.sleep(0.2)
    sock.close()


@then("the second one never runs")
def check_never_ran(context):
    assert context.first_request.get().status == 200
    gevent.sleep(1.0)
    assert "second" not in count_runs(context.fleet)


@when("a request occupies the only slot, and a second one has a deadline of 200 ms")
def expire_while_queued(context):
    shop = get_instance(context, "shop")
    context.first_request = gevent.spawn(call_service, shop, "catalogue", "/first")
    gevent.sleep(0.2)
    headers = {"X-Run-Id": "second", "Comfreyhitch-Timeout-Ms": "200"}
    context.response = call_service(
        shop, "catalogue", "/second", method="POST", body=b"x", headers=headers
    )


@then("the second one is refused with verdict not-run, and never runs")
def check_expired(context):
    assert context.response.verdict == "not-run", context.response
    check_never_ran(context)
