"""Find the instances of a fleet on the platform, and repeat actions in the background."""

import gevent
import gevent.socket

# Statuses that tell a caller that its request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


SERVICES = ["catalogue", "payments"]


def list_instances(context, service):
    """Return the instances of a service."""
    instances = context.platform_fleet.instances_by_name.values()
    return [instance for instance in instances if instance.service == service]


def repeat_in_background(context, action):
    """Repeat an action in the background until the scenario ends."""

    def repeat():
        while True:
            action()
            gevent.sleep(0.02)

    greenlet = gevent.spawn(repeat)
    context.add_cleanup(greenlet.kill)
    return greenlet
