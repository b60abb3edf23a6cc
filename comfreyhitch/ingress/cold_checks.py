"""Notice that a target in service has become cold, by reading its health path often enough.

A target may become cold at any moment, and only its health path and its heartbeats say so. How many
requests it gets until that is noticed must not depend on their rate, so the health path is read
after a number of requests instead of a time.
"""

import gevent

from comfreyhitch.ingress.health import probe_target
from comfreyhitch.ingress.lifecycle import is_cold
from comfreyhitch.ingress.state import Ingress
from comfreyhitch.utils.token_bucket import take_tokens

# A cold target tolerates 5 requests beside 1.5 times its rate. Those that are sent while the health
# path is read come on top of this number; with 4, a target at 90 requests a second gets 23 reads.
REQUESTS_PER_READING = 4


def count_request(ingress: Ingress, now: float) -> None:
    """Count a request to the target, and read the health path if enough were sent since.

    The request itself does not wait for the reading.
    """
    ingress.requests_since_reading += 1
    if is_reading_due(ingress, now) and take_tokens(ingress.target_probe_budget, now):
        ingress.cold_check = gevent.spawn(probe_target, ingress)


def is_reading_due(ingress: Ingress, now: float) -> bool:
    """Return whether the target may have become cold without this daemon's notice."""
    if ingress.requests_since_reading < REQUESTS_PER_READING:
        return False
    if not ingress.header_names.cold_ms or ingress.warm_up_limiter is None:
        return False
    has_pending_reading = ingress.cold_check is not None and not ingress.cold_check.ready()
    return not has_pending_reading and not is_cold(ingress.lifecycle, now)
