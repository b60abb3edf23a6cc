"""Expected sizes of responses by route, and the bytes that the link has yet to send."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from comfreyhitch.core.held_bytes import HeldBytes, holding
from comfreyhitch.wire.pacing import MAX_SMALL_FRAME_BYTES, LinkPacer, get_backlog_seconds

MAX_ROUTES = 256
# Part of the time until the deadline in which the backlog has to be sent. The rest covers responses
# larger than the mean, and the bytes of small responses.
USABLE_TIME_SHARE = 0.8
# The mean follows a change of the sizes within some tens of responses.
SIZE_WEIGHT = 0.1


@dataclass(slots=True)
class ResponseSizes:
    """Hold the mean size of responses by route, and the bytes expected from running requests.

    The first responses of a route count equally, and later ones by `SIZE_WEIGHT`. The route that
    had no response for the longest time is dropped beyond `MAX_ROUTES`.
    """

    mean_bytes_by_route: dict[str, float] = field(default_factory=dict)
    counts_by_route: dict[str, int] = field(default_factory=dict)
    # Bytes of large responses that running requests are expected to have.
    expected_bytes: int = 0


def record_size(sizes: ResponseSizes, route: str, size: int) -> None:
    """Record the size of a response in bytes."""
    mean = sizes.mean_bytes_by_route.pop(route, 0.0)
    count = sizes.counts_by_route.pop(route, 0) + 1
    weight = max(SIZE_WEIGHT, 1.0 / count)
    sizes.mean_bytes_by_route[route] = mean + weight * (size - mean)
    sizes.counts_by_route[route] = count
    if len(sizes.mean_bytes_by_route) > MAX_ROUTES:
        oldest = next(iter(sizes.mean_bytes_by_route))
        del sizes.mean_bytes_by_route[oldest], sizes.counts_by_route[oldest]


def get_large_bytes(sizes: ResponseSizes, route: str) -> int:
    """Return the expected size of a route's responses, 0 if they are small or not known."""
    mean = sizes.mean_bytes_by_route.get(route, 0.0)
    return round(mean) if mean > MAX_SMALL_FRAME_BYTES else 0


@contextmanager
def expecting_response(sizes: ResponseSizes, route: str, held: HeldBytes) -> Iterator[None]:
    """Count the expected response of a request while it runs."""
    large_bytes = get_large_bytes(sizes, route)
    sizes.expected_bytes += large_bytes
    try:
        with holding(held, large_bytes):
            yield
    finally:
        sizes.expected_bytes -= large_bytes


def get_link_wait_seconds(sizes: ResponseSizes, link: LinkPacer) -> float:
    """Return the seconds that the link takes to send the backlog and what running requests add."""
    return get_backlog_seconds(link, sizes.expected_bytes)


def can_send_in_time(
    sizes: ResponseSizes, link: LinkPacer, route: str, seconds_left: float
) -> bool:
    """Return whether a response can be sent after all others within the time left.

    Handles bursts of downloads beyond the bandwidth of the link: those that would come too late
    are refused before they run. Responses of unknown or small size always can, and so can one
    response on an idle link, so that its size is measured again.
    """
    large_bytes = get_large_bytes(sizes, route)
    other_bytes = link.backlog_bytes + sizes.expected_bytes
    if large_bytes == 0 or other_bytes < MAX_SMALL_FRAME_BYTES:
        return True
    seconds = get_backlog_seconds(link, sizes.expected_bytes + large_bytes)
    return seconds <= USABLE_TIME_SHARE * seconds_left
