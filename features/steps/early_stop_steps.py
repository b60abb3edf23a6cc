"""Stop daemons in their first second, before the store and peers have answered them."""

import signal
import time

import gevent
from behave import then, when

from comfreyhitch.platform.client import DAEMONS, list_objects
from comfreyhitch.platform.models import FRESH
from comfreyhitch.testing.fleet import set_platform_faults
from comfreyhitch.testing.platform_fleet import start_daemon
from comfreyhitch.testing.processes import kill, wait_for_exit, wait_until
from features.platform_helpers import list_instances
from features.steps.signal_steps import (
    CALLER_COUNT,
    START_SECONDS,
    call_until_gone,
    is_serving,
    start_single_daemon,
)


@when(
    "the store takes {delay:g} s, and a daemon is killed, starts again and gets SIGTERM {after:g} "
    "s after its first answer"
)
def stop_early_with_requests(context, delay, after):
    instance = list_instances(context, "catalogue")[0]
    kill(instance.daemon)
    set_platform_faults(context.platform_fleet.fleet, delay_seconds=delay)
    start_daemon(context.platform_fleet, instance)
    context.process = instance.daemon
    context.answers = []
    context.failures = []
    callers = [gevent.spawn(call_until_gone, context, instance) for _ in range(CALLER_COUNT)]
    wait_until(lambda: context.answers, START_SECONDS, "first answer of the daemon")
    gevent.sleep(after)
    context.process.send_signal(signal.SIGTERM)
    started_at = time.monotonic()
    wait_for_exit(context.process, 2 * context.platform_fleet.grace_seconds)
    context.stop_seconds = time.monotonic() - started_at
    gevent.joinall(callers, timeout=5.0)


@then("it has exited with code 0 before its grace period was over")
def check_exit_in_time(context):
    assert context.process.returncode == 0, context.process.returncode
    assert context.stop_seconds < context.platform_fleet.grace_seconds, context.stop_seconds


@when("the store takes {delay:g} s, and a daemon gets SIGTERM {after:g} s after it serves")
def stop_before_store_answers(context, delay, after):
    context.process = start_single_daemon(context, "on the platform")
    set_platform_faults(context.single_fleet.fleet, delay_seconds=delay)
    wait_until(lambda: is_serving(context), START_SECONDS, "start of the daemon")
    gevent.sleep(after)
    context.process.send_signal(signal.SIGTERM)


@then(
    "it has exited with code 0 within {seconds:g} seconds, and the store holds no registration of "
    "it {later:g} seconds later"
)
def check_not_registered(context, seconds, later):
    wait_for_exit(context.process, seconds)
    assert context.process.returncode == 0, context.process.returncode
    gevent.sleep(later)
    set_platform_faults(context.single_fleet.fleet, delay_seconds=0.0)
    items = list_objects(context.single_fleet.client, DAEMONS, FRESH).unwrap().items
    assert not items, items
