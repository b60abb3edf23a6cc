"""Define steps for a request that crashes each target that runs it."""

from behave import then, when

from comfreyhitch.testing.fleet import (
    call_service,
)
from features.steps.fleet_steps import get_instance, list_instances

CRASHING_BODY = b"poison"


@when("an idempotent request that crashes its targets is sent 6 times through both daemons of shop")
def send_crashing_requests(context):
    entry_instances = list_instances(context, "shop")
    context.responses = []
    for number in range(6):
        entry_instance = entry_instances[number % 2]
        response = call_service(
            entry_instance, "catalogue", "/x", method="PUT", body=CRASHING_BODY, timeout_seconds=15
        )
        context.responses.append(response)


@then("{count:d} targets of catalogue have died, and the request is refused as quarantined")
def check_quarantine(context, count):
    dead_targets = [
        item.name for item in list_instances(context, "catalogue") if item.target.poll() is not None
    ]
    assert len(dead_targets) == count, (dead_targets, context.responses)
    assert context.responses[-1].refusal == "quarantined", context.responses


@then("another request to catalogue still runs")
def check_others_run(context):
    response = call_service(get_instance(context, "shop"), "catalogue", "/y")
    assert response.status == 200, response
