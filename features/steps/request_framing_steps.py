"""Test requests whose bodies may be read as requests of their own."""

from behave import then

from features.steps.caller_limit_steps import send_in_parts

SMUGGLED = b"GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
LENGTH = b"Content-Length: %d\r\n" % len(SMUGGLED)
CHUNKS = b"%x\r\n%s\r\n0\r\n\r\n" % (len(SMUGGLED), SMUGGLED)
CHUNKED = b"Transfer-Encoding: chunked\r\n"
UNCLEAR = {
    LENGTH + b"Content-Length: 0\r\n": b"400",
    b"Content-Length: 0\r\n" + LENGTH: b"400",
    b"Content-Length: 0, %d\r\n" % len(SMUGGLED): b"400",
    LENGTH + CHUNKED: b"400",
    CHUNKED + b"Content-Length: 0\r\n": b"400",
    CHUNKED + CHUNKED: b"400",
    b"Content-Length: +%d\r\n" % len(SMUGGLED): b"400",
    b"Content-Length: 0_1\r\n": b"400",
    b"Content-Length:\r\n": b"400",
    b"Content-Length : %d\r\n" % len(SMUGGLED): b"400",
    b"no header\r\n" + LENGTH: b"400",
    b": x\r\n" + LENGTH: b"400",
    b"Transfer-Encoding: identity\r\n": b"501",
    b"Transfer-Encoding: gzip, chunked\r\n": b"501",
    b"Transfer-Encoding: xchunked\r\n": b"501",
    b"Transfer-Encoding:\r\n": b"501",
}
CLEAR = {
    LENGTH: SMUGGLED,
    LENGTH + LENGTH: SMUGGLED,
    CHUNKED: CHUNKS,
    b"Transfer-Encoding: Chunked\r\n": CHUNKS,
    b"Content-Type: multipart/form-data; boundary=x\r\n" + LENGTH: SMUGGLED,
    b"Content-Type: multipart/mixed\r\nContent-Transfer-Encoding: base64\r\n" + LENGTH: SMUGGLED,
}


def send(context, headers, body):
    """Send a request with a body, and return all that is received until the server closes."""
    head = b"POST /a HTTP/1.1\r\nHost: a\r\n" + headers
    return send_in_parts(context, [head + b"\r\n" + body])


@then(
    "a request with contradicting lengths or codings gets 400, and one with an unknown coding 501"
)
def check_unclear(context):
    for headers, status in UNCLEAR.items():
        received = send(context, headers, SMUGGLED)
        assert received.startswith(b"HTTP/1.1 " + status), (headers, received)
        assert received.count(b"HTTP/1.1 ") == 1, (headers, received)
        assert b"Comfreyhitch-Verdict: not-run" in received, (headers, received)


@then("no part of their bodies is served, and each connection is closed")
def check_not_served(context):
    # The connection is closed, or nothing would have been returned before.
    assert not context.served_requests, context.served_requests


@then("requests with one length, the same length twice, or chunks are served with their bodies")
def check_clear(context):
    for headers, body in CLEAR.items():
        context.served_requests.clear()
        received = send(context, headers + b"Connection: close\r\n", body)
        assert received.startswith(b"HTTP/1.1 200"), (headers, received)
        assert context.served_requests == [("/a", SMUGGLED)], (headers, context.served_requests)
