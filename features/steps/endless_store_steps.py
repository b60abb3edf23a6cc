"""Test that responses of the store without end stop nothing else."""

import json
import time
from contextlib import contextmanager, suppress

import gevent
from behave import then
from gevent.server import StreamServer

from comfreyhitch.platform import client as store_client
from comfreyhitch.platform.client import PlatformClient, create_object, list_objects
from comfreyhitch.platform.exceptions import PlatformFailure
from comfreyhitch.platform.models import Metadata, PlatformObject
from features.flooding import MAX_PAUSE_SECONDS, flooding_server, measure_longest_pause

CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
ENDLESS_STORE_RESPONSES = {
    "header lines": (HEAD, b"X-Filler: f\r\n" * 4000),
    "one header": (HEAD + b"X-Filler: ", b"f" * 65_536),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "chunks": (HEAD + CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n"),
    "chunk extensions": (HEAD + CHUNKED, (b"1;a=" + b"x" * 100 + b"\r\ny\r\n") * 600),
    "trailers": (HEAD + CHUNKED + b"1\r\nx\r\n0\r\n", b"X-Filler: f\r\n" * 4000),
    "body until close": (HEAD + b"Connection: close\r\n\r\n", b"x" * 65_536),
    "declared length": (HEAD + b"Content-Length: 100000000000\r\n\r\n", b"x" * 65_536),
}


@then("each call of the store ends as one that failed, while other greenlets run")
def check_endless_store(context):
    for name, (first, repeated) in ENDLESS_STORE_RESPONSES.items():
        with flooding_server(first, repeated) as port:
            client = PlatformClient.from_url(f"http://127.0.0.1:{port}")
            results = []
            pause = measure_longest_pause(
                lambda client=client, results=results: results.append(list_objects(client, "a"))
            )
        assert pause < MAX_PAUSE_SECONDS, (name, pause)
        assert results[0].err_value.failure is PlatformFailure.UNAVAILABLE, (name, results)


@contextmanager
def scripted_store(parts, gap_seconds, closes=True):
    """Run a store that sends parts of a response with gaps; yield its client and its requests."""
    requests = []

    def respond(sock, _):
        with suppress(OSError):
            requests.append(sock.recv(65_536))
            for part in parts:
                sock.sendall(part)
                gevent.sleep(gap_seconds)
            if not closes:
                gevent.sleep(10.0)

    server = StreamServer(("127.0.0.1", 0), respond)
    server.start()
    try:
        yield PlatformClient.from_url(f"http://127.0.0.1:{server.server_port}"), requests
    finally:
        server.stop(timeout=0)


@then("a response that arrives slowly is read to its end, and one that stops arriving is given up")
def check_slow_store(context):
    content = json.dumps({"items": [], "HasMore": False, "StoreRevision": 7}).encode()
    message = HEAD + b"Content-Length: %d\r\n\r\n" % len(content) + content
    parts = [message[start : start + 20] for start in range(0, len(message), 20)]
    # The whole response takes longer than the time within which each part has to arrive.
    with patched_timeouts(call_seconds=0.4), scripted_store(parts, 0.15) as (client, _):
        assert list_objects(client, "a").unwrap().revision == 7
    with (
        patched_timeouts(call_seconds=0.4),
        scripted_store(parts[:2], 0.0, closes=False) as (
            client,
            _,
        ),
    ):
        started_at = time.monotonic()
        result = list_objects(client, "a")
        assert result.err_value.failure is PlatformFailure.UNAVAILABLE
        assert time.monotonic() - started_at < 1.0
    # A response that goes on arriving does not go on for ever.
    with (
        patched_timeouts(call_seconds=0.4, response_seconds=0.5),
        scripted_store([message[:20], *[b"x"] * 100], 0.1) as (client, _),
    ):
        started_at = time.monotonic()
        assert list_objects(client, "a").is_err()
        assert time.monotonic() - started_at < 2.0


@contextmanager
def patched_timeouts(call_seconds, response_seconds=30.0):
    """Let calls of the store time out sooner."""
    before = store_client._read.__defaults__, store_client.MAX_RESPONSE_SECONDS
    store_client._read.__defaults__ = (call_seconds,)
    store_client.MAX_RESPONSE_SECONDS = response_seconds
    try:
        yield
    finally:
        store_client._read.__defaults__, store_client.MAX_RESPONSE_SECONDS = before


@then("a call whose connection ends unanswered is sent again only if it may be repeated")
def check_repeated_calls(context):
    with scripted_store([], 0.0) as (client, requests):
        assert list_objects(client, "a").is_err()
        assert len(requests) == store_client.MAX_ATTEMPTS, requests
        requests.clear()
        created = create_object(client, "a", PlatformObject(Metadata(name="b")))
        assert created.is_err() and len(requests) == 1, requests
    # A response that breaks off may be of a call that was made.
    with scripted_store([HEAD], 0.0) as (client, requests):
        assert list_objects(client, "a").is_err()
        assert len(requests) == 1, requests
