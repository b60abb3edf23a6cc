"""Test how large responses share an emulated link, and which requests are refused for them."""

from random import Random
from types import SimpleNamespace

from behave import then
from hypothesis import given as given_examples
from hypothesis import seed
from hypothesis import strategies as st

from comfreyhitch.core.held_bytes import HeldBytes
from comfreyhitch.core.verdicts import Refusal, Verdict
from comfreyhitch.ingress.load_reports import get_backlog_wait_seconds
from comfreyhitch.ingress.response_limits import (
    MAX_LATE_BACKLOG_SECONDS,
    find_response_refusal,
    get_useful_seconds,
)
from comfreyhitch.ingress.response_sizes import (
    MAX_ROUTES,
    ResponseSizes,
    can_send_in_time,
    expecting_response,
    get_large_bytes,
    record_size,
)
from comfreyhitch.telemetry.metrics import Metrics
from comfreyhitch.wire.pacing import (
    MIN_LARGE_SHARE,
    LinkPacer,
)
from features.link_emulation import (
    BURST_FACTOR,
    DOWNLOAD_DEADLINE_SECONDS,
    DOWNLOAD_OBJECTIVE_SECONDS,
    DOWNLOADS_PER_SECOND,
    LINK_BYTES_PER_SECOND,
    LINK_MEGABITS,
    MACHINES,
    MAX_DOWNLOAD_BYTES,
    MAX_SMALL_SECONDS,
    MEAN_DOWNLOAD_BYTES,
    NESTED_DEADLINE_SECONDS,
    NESTED_OBJECTIVE_SECONDS,
    SECONDS,
    SMALL_BYTES,
    Frame,
    draw_download_bytes,
    get_percentile,
    make_arrivals,
    make_load,
    simulate,
)


@then(
    "small responses beside downloads that fill a link of 8.5 Mbit/s arrive within tens of "
    "milliseconds"
)
def check_small_frames(context):
    # Guards against small answers that wait behind downloads: before, answers to nested calls
    # missed their deadline while the links of their targets were full.
    small, downloads = make_load(context.seed)
    simulate([*small, *downloads], is_paced=False)
    assert sum(frame.seconds > NESTED_DEADLINE_SECONDS for frame in small) > 0.1 * len(small)
    small, downloads = make_load(context.seed)
    simulate([*small, *downloads], is_paced=True)
    seconds = [frame.seconds for frame in small]
    assert get_percentile(seconds, 0.99) < MAX_SMALL_SECONDS, get_percentile(seconds, 0.99)
    assert max(seconds) < NESTED_OBJECTIVE_SECONDS, max(seconds)
    assert all(frame.sent_bytes == frame.size for frame in downloads)


@then("a large response does not wait for all of a larger one")
def check_turns(context):
    # Guards against a download that waits for the whole of one 10 times its size.
    largest = Frame(0.0, MAX_DOWNLOAD_BYTES)
    late = Frame(0.01, MAX_DOWNLOAD_BYTES // 10)
    simulate([largest, late], is_paced=True)
    alone_seconds = late.size / LINK_BYTES_PER_SECOND
    assert late.seconds < 3 * alone_seconds, (late.seconds, alone_seconds)
    assert largest.done_at > late.done_at


@then("each large response gets a piece every 3 seconds, however many there are")
def check_gaps(context):
    # Guards against receivers that give up on an answer after 5 s without a further part, while
    # older responses are sent.
    frames = [Frame(number / 100, MEAN_DOWNLOAD_BYTES) for number in range(200)]
    simulate(frames, is_paced=True)
    assert max(frame.done_at for frame in frames) > 15.0
    assert max(frame.max_gap_seconds for frame in frames) < 3.0


@then("at least 85 in 100 of the bandwidth are used while large responses wait")
def check_throughput(context):
    # Guards against a rate so low that downloads take longer than the link requires.
    frames = [Frame(0.0, MAX_DOWNLOAD_BYTES) for _ in range(10)]
    simulate(frames, is_paced=True)
    seconds = max(frame.done_at for frame in frames)
    assert sum(frame.size for frame in frames) > 0.85 * LINK_BYTES_PER_SECOND * seconds, seconds


@then("large responses go on while small ones alone fill the link")
def check_progress(context):
    # Guards against a download that never ends, and whose receiver gives up on it, because small
    # responses take all of the bandwidth.
    count = int(SECONDS * LINK_BYTES_PER_SECOND / SMALL_BYTES)
    small = [Frame(number * SECONDS / count, SMALL_BYTES) for number in range(count)]
    download = Frame(0.0, MEAN_DOWNLOAD_BYTES)
    simulate([*small, download], is_paced=True)
    alone_seconds = MEAN_DOWNLOAD_BYTES / LINK_BYTES_PER_SECOND
    assert download.seconds < 1.5 * alone_seconds / MIN_LARGE_SHARE, download.seconds


@then(
    "of downloads at 2.2 times the load, those that run are answered before their deadline, and "
    "the link stays in use"
)
def check_refused_downloads(context):
    # Guards against downloads that run although their responses come too late for their callers.
    # Rare sizes decide about it, so that one seed shows little.
    for seed_number in range(context.seed, context.seed + 20):
        check_refused_downloads_of(seed_number)


def check_refused_downloads_of(seed_number):
    """Check the downloads that are generated from a seed."""

    def simulate_downloads(may_start):
        random = Random(seed_number)
        rate = BURST_FACTOR * DOWNLOADS_PER_SECOND / MACHINES
        downloads = make_arrivals(random, rate, 1.0, lambda: draw_download_bytes(random))
        simulate(downloads, is_paced=True, may_start=may_start)
        return [frame for frame in downloads if frame.sent_bytes]

    late = [
        frame
        for frame in simulate_downloads(lambda link, frame: True)
        if frame.seconds > DOWNLOAD_DEADLINE_SECONDS
    ]
    assert len(late) > 100, len(late)
    sizes = ResponseSizes()

    def can_start(link, frame):
        if not can_send_in_time(sizes, link.pacer, "download", DOWNLOAD_DEADLINE_SECONDS):
            return False
        record_size(sizes, "download", frame.size)
        return True

    served = simulate_downloads(can_start)
    latest_seconds = max(frame.seconds for frame in served)
    assert latest_seconds < DOWNLOAD_DEADLINE_SECONDS, (seed_number, latest_seconds)
    seconds = max(frame.done_at for frame in served)
    assert sum(frame.size for frame in served) > 0.85 * LINK_BYTES_PER_SECOND * seconds


def make_busy_ingress(route_bytes):
    """Return an ingress whose link has a backlog of 3 s and that knows the sizes of a route."""
    ingress = SimpleNamespace(
        link=LinkPacer.from_bandwidth(LINK_MEGABITS, 0.0),
        response_sizes=ResponseSizes(),
        metrics=Metrics.create(),
        blackboard=SimpleNamespace(held_bytes=HeldBytes()),
    )
    ingress.link.backlog_bytes = int(3.0 * ingress.link.bucket.rate)
    if route_bytes is not None:
        record_size(ingress.response_sizes, "r", route_bytes)
    return ingress


@then(
    "nested calls and responses of small or unknown size are never refused for the backlog, and a "
    "refused one has not run"
)
def check_refusals(context):
    # Guards against refusals of requests that the backlog does not delay, and of work that is
    # partly done.
    for route_bytes, is_nested, seconds_left, is_refused in (
        (MEAN_DOWNLOAD_BYTES, False, 1.0, True),
        (MEAN_DOWNLOAD_BYTES, False, 4.6, False),
        (MEAN_DOWNLOAD_BYTES, True, 1.0, False),
        (SMALL_BYTES, False, 1.0, False),
        (None, False, 1.0, False),
    ):
        ingress = make_busy_ingress(route_bytes)
        call = SimpleNamespace(
            route="r",
            body=b"",
            is_nested=is_nested,
            deadline=5.0 + seconds_left,
            objective_at=None,
        )
        failure = find_response_refusal(ingress, call, 5.0)
        assert (failure is not None) is is_refused, (route_bytes, is_nested, seconds_left)
        if is_refused:
            assert (failure.verdict, failure.refusal) == (Verdict.NOT_RUN, Refusal.OVERLOADED)
            assert "90 KB" in failure.detail and "3000 ms" in failure.detail, failure.detail
    ingress = make_busy_ingress(10 * LINK_BYTES_PER_SECOND)
    ingress.link.backlog_bytes = 0
    call = SimpleNamespace(route="r", body=b"", is_nested=False, deadline=1.0, objective_at=None)
    # Otherwise the route would be refused forever, also after its responses became smaller.
    assert find_response_refusal(ingress, call, 0.0) is None


@then(
    "of downloads at 2.2 times the load, as many are answered within their objective as the link "
    "can send"
)
def check_timely_downloads(context):
    # Guards against a backlog that grows up to the deadline, so that almost all downloads are late.
    random = Random(context.seed)
    rate = BURST_FACTOR * DOWNLOADS_PER_SECOND / MACHINES
    downloads = make_arrivals(random, rate, 1.0, lambda: draw_download_bytes(random))
    sizes = ResponseSizes()

    def can_start(link, frame):
        call = SimpleNamespace(
            deadline=DOWNLOAD_DEADLINE_SECONDS, objective_at=DOWNLOAD_OBJECTIVE_SECONDS
        )
        if not can_send_in_time(sizes, link.pacer, "download", get_useful_seconds(call, 0.0)):
            return False
        record_size(sizes, "download", frame.size)
        return True

    simulate(downloads, is_paced=True, may_start=can_start)
    timely = [
        frame
        for frame in downloads
        if frame.sent_bytes and frame.seconds <= DOWNLOAD_OBJECTIVE_SECONDS
    ]
    duration = max(frame.done_at for frame in downloads if frame.sent_bytes)
    assert sum(frame.size for frame in timely) > 0.75 * LINK_BYTES_PER_SECOND * duration


@then("a request that misses its objective anyway runs only while the backlog is short")
def check_late_downloads(context):
    # Guards against late requests whose responses delay those of timely ones.
    call = SimpleNamespace(deadline=10.0, objective_at=2.0)
    assert get_useful_seconds(call, 1.5) == 0.5
    assert get_useful_seconds(call, 3.0) == MAX_LATE_BACKLOG_SECONDS
    assert get_useful_seconds(call, 9.9) < 0.2
    call.objective_at = None
    assert get_useful_seconds(call, 3.0) == 7.0


@then("a load report names the backlog only if responses are paced")
def check_load_report(context):
    # Guards against bytes on the wire that a deployment without overload control did not have.
    ingress = make_busy_ingress(MEAN_DOWNLOAD_BYTES)
    assert abs(get_backlog_wait_seconds(ingress) - 3.0) < 0.01
    with expecting_response(ingress.response_sizes, "r", ingress.blackboard.held_bytes):
        expected_seconds = 3.0 + MEAN_DOWNLOAD_BYTES / ingress.link.bucket.rate
        assert abs(get_backlog_wait_seconds(ingress) - expected_seconds) < 0.01
    assert abs(get_backlog_wait_seconds(ingress) - 3.0) < 0.01
    ingress.link = None
    assert get_backlog_wait_seconds(ingress) is None


@then("sizes are measured for a bounded number of routes")
def check_bounded_routes(context):
    # Guards against memory that grows with the names of routes.
    sizes = ResponseSizes()
    for number in range(3 * MAX_ROUTES):
        record_size(sizes, f"r{number}", MEAN_DOWNLOAD_BYTES)
        record_size(sizes, "often", MEAN_DOWNLOAD_BYTES)
    assert len(sizes.mean_bytes_by_route) == len(sizes.counts_by_route) == MAX_ROUTES
    assert get_large_bytes(sizes, "often") == MEAN_DOWNLOAD_BYTES
    assert get_large_bytes(sizes, "r0") == 0.0


@then("each frame is sent completely, and the backlog is that of the frames that wait")
def check_any_frames(context):
    sizes = st.integers(1, 200_000)

    @seed(context.seed)
    @given_examples(st.lists(st.tuples(st.floats(0.0, 1.0), sizes), max_size=20))
    def check(arrivals):
        frames = [Frame(arrives_at, size) for arrives_at, size in arrivals]
        link = simulate(frames, is_paced=True)
        assert all(frame.sent_bytes == frame.size for frame in frames)
        assert link.pacer.backlog_bytes == 0 and not link.pacer.frames

    check()
