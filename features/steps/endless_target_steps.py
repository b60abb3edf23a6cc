"""Test callers whose targets send responses without end."""

import gevent
from behave import then, when

from comfreyhitch.testing.endless_answers import PARTS_BY_FORM
from comfreyhitch.testing.platform_fleet import send
from features.process_usage import sampling_usage

DEADLINE_MS = 6_000
TIMEOUT_SECONDS = 20.0


@when("{count:d} callers of one daemon ask for a response whose {form} does not end")
def ask_one_daemon(context, count, form):
    ask(context, context.instances[:1], [form], count)


@when("{count:d} callers of each daemon ask for a response of each form")
def ask_all_daemons(context, count):
    ask(context, context.instances, PARTS_BY_FORM, count)


def ask(context, instances, forms, count):
    """Let callers ask daemons for responses without end, and keep what each gets."""
    with sampling_usage(context.instances) as context.usage_by_name:
        callers = [
            gevent.spawn(get_status, instance, form)
            for form in forms
            for instance in instances
            for _ in range(count)
        ]
        gevent.joinall(callers, timeout=TIMEOUT_SECONDS)
    context.statuses = [caller.get(block=False) for caller in callers]


def get_status(instance, form):
    """Return the status of a whole response, or the error without one."""
    try:
        return send(instance, f"/payments/endless?{form}", deadline_ms=DEADLINE_MS)[1].status
    except OSError as error:
        return repr(error)


@then("each of the callers got a failure, or a response that does not look complete")
def check_callers(context):
    assert not any(isinstance(item, int) and item < 400 for item in context.statuses), (
        context.statuses
    )
