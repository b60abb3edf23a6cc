"""Send deposits with idempotency keys, and find the instances that run them."""

import itertools

from comfreyhitch.testing.fleet import (
    call_service,
    get_target_state,
)
from comfreyhitch.testing.processes import (
    wait_until,
)
from features.steps.fleet_steps import list_instances

DEPOSIT_NUMBERS = itertools.count()


def send_deposit(instance, key, body=None, timeout_ms=4000):
    """Send a deposit; its idempotency key is also the run id that the target counts."""
    headers = {"X-Run-Id": key, "Idempotency-Key": key}
    headers["Comfreyhitch-Timeout-Ms"] = str(timeout_ms)
    content = key.encode() if body is None else body
    return call_service(
        instance, "payments", "/deposits", method="POST", body=content, headers=headers
    )


def make_idempotency_key(context):
    """Set `context.key` to an idempotency key that no other deposit uses, and return it."""
    context.key = f"key-{context.seed}-{next(DEPOSIT_NUMBERS)}"
    return context.key


def find_busy_instance(context):
    """Wait until a target of payments runs a request, and return its instance."""
    found = []

    def is_busy():
        found[:] = [
            item
            for item in list_instances(context, "payments")
            if get_target_state(item)["in_flight"] > 0
        ]
        return bool(found)

    wait_until(is_busy, 5, "a running deposit")
    return found[0]
