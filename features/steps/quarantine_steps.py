"""Steps for a request that crashes each target that runs it."""

from behave import then, when

from comfreyhitch.testing.fleet import (
    call_service,
)
from features.steps.fleet_steps import get_instance, list_instances

CRASHING_BODY = b"poison"


@when("an idempotent request that crashes its targets is sent 6 times through both daemons of shop")
def send_crashing_requests(context):
    entrances = list_instances(context, "shop")
    context.responses = []
    for number in range(6):
        entrance = entrances[number % 2]
        answer = call_service(
            entrance, "catalogue", "/x", method="PUT", body=CRASHING_BODY, timeout_seconds=15
        )
        context.responses.append(answer)


@then("{count:d} targets of catalogue have died, and the request is refused as quarantined")
def check_quarantine(context, count):
    died = [
        item.name for item in list_instances(context, "catalogue") if item.target.poll() is not None
    ]
    assert len(died) == count, (died, context.responses)
    assert context.responses[-1].refusal == "quarantined", context.responses


@then("other requests to catalogue still run")
def check_others_run(context):
    answer = call_service(get_instance(context, "shop"), "catalogue", "/y")
    assert answer.status == 200, answer
