"""Read the target's own health endpoint, within the budget for it."""

from comfreyhitch.core.verdicts import Refusal
from comfreyhitch.ingress.state import Ingress
from comfreyhitch.ingress.target import TargetRequest, call_target
from comfreyhitch.utils.token_bucket import take

HEALTH_PATH = "/healthz"
HEALTH_TIMEOUT_SECONDS = 1.0
HEALTH_BODY_LIMIT_BYTES = 4096


def check_target(ingress: Ingress) -> None:
    """Read the target's health if the budget allows, as a hint that it is up."""
    clock = ingress.blackboard.clock
    started_at = clock.monotonic()
    if ingress.connections is None or not take(ingress.target_probe_budget, started_at):
        return
    request = TargetRequest(
        method="GET",
        path=HEALTH_PATH,
        headers=[("Host", "localhost")],
        body=b"",
        deadline=started_at + HEALTH_TIMEOUT_SECONDS,
        needs_new_connection=False,
        body_limit_bytes=HEALTH_BODY_LIMIT_BYTES,
    )
    outcome = call_target(ingress.connections, request, None, lambda: None)
    ingress.metrics.ingress.target_probes.inc({})
    ingress.metrics.ingress.target_probe_seconds.add({}, clock.monotonic() - started_at)
    is_down = outcome.is_err() and outcome.err_value.refusal is Refusal.TARGET_UNREACHABLE
    ingress.blackboard.is_target_healthy = not is_down
