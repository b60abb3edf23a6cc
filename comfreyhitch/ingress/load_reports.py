"""Report the load of the target to other daemons."""

from comfreyhitch.admission.rate_limit import has_free_request
from comfreyhitch.admission.scheduling import estimate_wait
from comfreyhitch.ingress.lifecycle import TargetState
from comfreyhitch.ingress.response_sizes import get_link_wait_seconds
from comfreyhitch.ingress.state import Ingress
from comfreyhitch.sections.models import TrafficClass
from comfreyhitch.wire.generated.ttypes import LoadReport


def make_load_report(ingress: Ingress) -> LoadReport:
    """Return the load report that is sent with every answer."""
    queue = ingress.queue
    return LoadReport(
        in_flight=queue.running,
        queued=len(queue.waiting),
        # A limit that is only tried for some requests is not reported.
        limit=queue.limit.limit if ingress.throughput is None else ingress.throughput.limit,
        latency_seconds=ingress.latency_seconds,
        accepting=is_accepting(ingress),
        slowness=None if ingress.pace is None else ingress.pace.slowness,
        wait_seconds=_estimate_wait(ingress),
    )


def _estimate_wait(ingress: Ingress) -> float | None:
    """Return the expected wait of a least urgent call, or None if it is not known."""
    queue = ingress.queue
    backlog_seconds = get_backlog_wait_seconds(ingress)
    if queue.schedule is None:
        return backlog_seconds
    now = ingress.blackboard.clock.monotonic()
    queue_seconds = estimate_wait(queue.schedule, queue.waiting, queue.limit.limit, now)
    return max(queue_seconds, backlog_seconds or 0.0)


def get_backlog_wait_seconds(ingress: Ingress) -> float | None:
    """Return the seconds for which a large response waits for the link, None if it is not paced."""
    if ingress.link is None:
        return None
    return get_link_wait_seconds(ingress.response_sizes, ingress.link)


def is_accepting(ingress: Ingress) -> bool:
    """Return whether new calls may be admitted."""
    blackboard = ingress.blackboard
    if ingress.connections is None or blackboard.is_draining or blackboard.is_stale:
        return False
    if not blackboard.is_target_healthy or blackboard.own_member.draining:
        return False
    if ingress.lifecycle.state is not TargetState.READY:
        return False
    now = blackboard.clock.monotonic()
    if not has_free_request(ingress.rate_limit, TrafficClass.BACKGROUND, now):
        return False
    return blackboard.own_member.zone not in blackboard.zones_out
