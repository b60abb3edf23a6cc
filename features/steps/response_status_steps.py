"""Test which statuses of responses are taken at each border of a daemon."""

import gevent
from behave import then
from gevent.server import StreamServer
from geventhttpclient.response import HTTPParseError
from hypothesis import given, seed
from hypothesis import strategies as st

from comfreyhitch.core.verdicts import Refusal, Verdict
from comfreyhitch.ingress.models import parse_answer
from comfreyhitch.platform.client import PlatformClient, get_object
from comfreyhitch.wire.generated.ttypes import CallAnswer, LoadReport
from comfreyhitch.wire.responses import ResponseReader
from features.steps.response_steps import running_target, send

FINAL_STATUSES = range(200, 600)
INTERIM_STATUSES = frozenset(range(100, 200)) - {101}
NO_BODY_STATUSES = frozenset({204, 304})
SILENCE_SECONDS = 1.0
REJECTED = ["000", "001", "099", "101", "600", "700", "999", "20", "2000", "2xx", "-20"]


def make_message(status):
    """Return a response with a status as it is written on the status line."""
    head = f"HTTP/1.1 {status} Some Reason\r\nX-Comfreyhitch-Request-Id: r1\r\n"
    head += "X-Comfreyhitch-Server-Stamp: s\r\n"
    length = 0 if status in {str(code) for code in NO_BODY_STATUSES} else 2
    return f"{head}Content-Length: {length}\r\n\r\n{'ok'[:length]}".encode()


def read_status(message):
    """Return the status that a reader takes, or None if it takes none."""
    reader = ResponseReader("GET")
    try:
        reader.feed(message)
    except HTTPParseError:
        return None
    return reader.status_code if reader.is_final else "interim"


@then(
    "for any status line, a final status of 200 to 599 is taken from targets, peers and the store"
)
def check_any_status(context):
    written = st.one_of(
        st.integers(0, 999).map(lambda number: f"{number:03}"),
        st.sampled_from(REJECTED),
        # A space would end the status, and begin its reason.
        st.text("0123456789-x", min_size=1, max_size=5),
    )

    @seed(context.seed)
    @given(written)
    def check(status):
        is_number = len(status) == 3 and status.isdigit()
        number = int(status) if is_number else -1
        taken = read_status(make_message(status))
        if number in FINAL_STATUSES:
            assert taken == number, (status, taken)
        elif number in INTERIM_STATUSES:
            interim = f"HTTP/1.1 {status} Some Reason\r\n\r\n".encode()
            assert read_status(interim) == "interim", status
            assert read_status(interim + make_message("200")) == 200, status
        else:
            assert taken is None, (status, taken)
        if is_number:
            check_answer(number)

    check()
    for status in REJECTED:
        assert read_status(make_message(status)) is None, status


def check_answer(status):
    """Check that the answer of a peer has the status of a final response, or is a failure."""
    load = LoadReport(0, 0, 1, 0.0, True)
    answer = CallAnswer("id", 2, status, "OK", [], b"", load, None, "v1")
    outcome = parse_answer(answer)
    if status in FINAL_STATUSES:
        assert outcome.unwrap().status == status
    else:
        failure = outcome.unwrap_err()
        assert failure.verdict is Verdict.MAY_HAVE_RUN, failure
        assert failure.refusal is Refusal.PEER_FAILED, failure


@then("other interim statuses than 101 are passed over, and all others fail at once")
def check_failures(context):
    # The other end says nothing more and stays open, so that only the status can end the exchange.
    for status in ("000", "099", "101", "600", "999"):

        def answer_and_wait(sock, status=status):
            sock.recv(4096)
            sock.sendall(make_message(status))
            gevent.sleep(SILENCE_SECONDS)

        with running_target(answer_and_wait) as connections, gevent.Timeout(SILENCE_SECONDS / 2):
            failure = send(connections).unwrap_err()
        assert failure.refusal is Refusal.TARGET_FAILED, (status, failure)
        assert failure.verdict is Verdict.MAY_HAVE_RUN, (status, failure)
        server = StreamServer(
            ("127.0.0.1", 0), lambda sock, _, answer=answer_and_wait: answer(sock)
        )
        server.start()
        client = PlatformClient.from_url(f"http://127.0.0.1:{server.server_port}", lambda _: None)
        with gevent.Timeout(SILENCE_SECONDS / 2):
            assert get_object(client, "config", "main").is_err(), status
        server.stop(timeout=0)
