"""Emulate a link that the responses of one daemon share, without a network."""

from dataclasses import dataclass
from random import Random

from comfreyhitch.wire.pacing import (
    FIRST_PIECE_BYTES,
    MAX_SMALL_FRAME_BYTES,
    LinkPacer,
    add_turn,
    charge_bytes,
    end_frame,
    get_wait_seconds,
    grant_next,
    start_frame,
)

LINK_MEGABITS = 8.5
LINK_BYTES_PER_SECOND = LINK_MEGABITS * 1e6 / 8
# Bytes of packet headers on the link for each byte of a response.
HEADER_SHARE = 0.05
SECONDS = 20.0
# Downloads of the whole service a second, in the usual load and during a burst, its machines, and
# the sizes of responses.
DOWNLOADS_PER_SECOND = 59.0
BURST_FACTOR = 2.2
BURST = (5.0, 8.0)
MACHINES = 6
MEAN_DOWNLOAD_BYTES = 90_000
MAX_DOWNLOAD_BYTES = 540_000
SMALL_BYTES = 1_000
# Two nested calls for each of 89.3 requests a second at 1.3 times the usual load.
SMALL_PER_SECOND = 2 * 89.3 * 1.3 / MACHINES
DOWNLOAD_DEADLINE_SECONDS = 4.618
DOWNLOAD_OBJECTIVE_SECONDS = 1.425
NESTED_OBJECTIVE_SECONDS = 0.195
NESTED_DEADLINE_SECONDS = 0.597
MAX_SMALL_SECONDS = 0.05


@dataclass
class Frame:
    """Represent one response on the simulated link; times are in seconds."""

    arrives_at: float
    size: int
    sent_bytes: int = 0
    done_at: float = 0.0
    max_gap_seconds: float = 0.0

    @property
    def seconds(self):
        """Return the time from the start of the response to its last byte."""
        return self.done_at - self.arrives_at


class SimulatedLink:
    """Simulate a link that sends what is written to it in one queue."""

    def __init__(self, pacer=None):
        self.pacer = pacer
        self.free_at = 0.0
        self.frames_by_large = {}

    def send(self, frame, size, now):
        """Put bytes of a frame into the queue of the link."""
        seconds = size * (1 + HEADER_SHARE) / LINK_BYTES_PER_SECOND
        self.free_at = max(self.free_at, now) + seconds
        if frame.sent_bytes:
            frame.max_gap_seconds = max(frame.max_gap_seconds, self.free_at - frame.done_at)
        frame.sent_bytes += size
        frame.done_at = self.free_at

    def start(self, frame, now):
        """Start to send a frame as the daemon does."""
        if self.pacer is None:
            self.send(frame, frame.size, now)
            return
        if frame.size <= MAX_SMALL_FRAME_BYTES:
            charge_bytes(self.pacer, now, frame.size)
            self.send(frame, frame.size, now)
            return
        large = start_frame(self.pacer, frame.size, now)
        self.frames_by_large[large] = frame
        self.send(frame, FIRST_PIECE_BYTES, now)
        add_turn(self.pacer, large, now)

    def send_piece(self, now):
        """Send the next piece."""
        large = grant_next(self.pacer, now)
        frame = self.frames_by_large[large]
        self.send(frame, frame.size - large.unsent_bytes - frame.sent_bytes, now)
        if large.unsent_bytes:
            add_turn(self.pacer, large, now)
        else:
            end_frame(self.pacer, large)

    def get_piece_at(self, now):
        """Return when the next piece may be sent, infinity if no frame waits."""
        if self.pacer is None or not self.pacer.turns:
            return float("inf")
        return now + get_wait_seconds(self.pacer, now)


def simulate(frames, *, is_paced, may_start=lambda link, frame: True):
    """Send frames over a link in the order of their arrival, until all of them are sent.

    A frame is not sent if `may_start` returns False when it arrives.
    """
    link = SimulatedLink(LinkPacer.from_bandwidth(LINK_MEGABITS, 0.0) if is_paced else None)
    arriving = sorted(frames, key=lambda frame: frame.arrives_at)
    now = 0.0
    while arriving or link.get_piece_at(now) < float("inf"):
        piece_at = link.get_piece_at(now)
        if arriving and arriving[0].arrives_at <= piece_at:
            frame = arriving.pop(0)
            now = frame.arrives_at
            if may_start(link, frame):
                link.start(frame, now)
        else:
            now = piece_at
            link.send_piece(now)
    return link


def make_arrivals(random, rate, burst_factor, make_size):
    """Return frames that arrive at random, at a higher rate during the burst."""
    frames = []
    now = random.expovariate(rate)
    while now < SECONDS:
        frames.append(Frame(now, make_size()))
        is_burst = BURST[0] <= now < BURST[1]
        now += random.expovariate(rate * (burst_factor if is_burst else 1.0))
    return frames


def draw_download_bytes(random):
    """Return the size of a download."""
    return min(MAX_DOWNLOAD_BYTES, 1 + int(random.expovariate(1 / MEAN_DOWNLOAD_BYTES)))


def make_load(seed_number):
    """Return the small frames and the downloads that one machine sends."""
    random = Random(seed_number)
    downloads = make_arrivals(
        random,
        DOWNLOADS_PER_SECOND / MACHINES,
        BURST_FACTOR,
        lambda: draw_download_bytes(random),
    )
    return make_arrivals(random, SMALL_PER_SECOND, 1.0, lambda: SMALL_BYTES), downloads


def get_percentile(values, share):
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
