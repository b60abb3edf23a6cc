"""Test that a daemon which has restarted is not misled by late heartbeats."""

import json
import os
from types import SimpleNamespace

from behave import given, then, when
from gevent.pywsgi import WSGIServer
from geventhttpclient import HTTPClient

from comfreyhitch.conf.models import Settings
from comfreyhitch.core.clock import Clock
from comfreyhitch.daemon.adapter import PlatformAdapter
from comfreyhitch.daemon.announcements import handle_confirmed_heartbeat
from comfreyhitch.daemon.assembly import Daemon
from comfreyhitch.ingress.health import probe_target
from comfreyhitch.ingress.lifecycle import TargetState
from comfreyhitch.ingress.state import attach_target
from comfreyhitch.platform.callers import make_platform_interface
from comfreyhitch.platform.documents import DOCUMENT_SOURCES
from comfreyhitch.platform.names import PLATFORM_TARGET_HEADERS
from comfreyhitch.platform.servers import make_servers
from comfreyhitch.testing.target import QuietHandler
from comfreyhitch.utils.token_bucket import TokenBucket

HEARTBEAT_SECONDS = 1.5


@given("a daemon that has restarted beside a target whose health path answers {status:d} as {name}")
def make_restarted_daemon(context, status, name):
    context.health = SimpleNamespace(status=status, instance_id=name)

    def serve_health(environ, start_response):
        headers = [("X-Comfreyhitch-Instance-Id", context.health.instance_id)]
        start_response(f"{context.health.status} Health", headers)
        return [b""]

    target = start_server(
        context,
        WSGIServer(("127.0.0.1", 0), serve_health, handler_class=QuietHandler, log=None),
    )
    adapter = PlatformAdapter(
        header_names=PLATFORM_TARGET_HEADERS,
        make_caller_interface=make_platform_interface,
        documents=DOCUMENT_SOURCES,
        make_servers=lambda daemon: [],
    )
    context.now = 1000.0
    system = Clock.from_system()
    clock = Clock(monotonic=lambda: context.now, now=system.now)
    settings = Settings(
        host=f"127.{os.getpid() % 250 + 1}.8.1",
        service="payments",
        target_host="127.0.0.1",
        target_port=target.server_port,
    )
    daemon = context.daemon = Daemon.from_settings(settings, clock, adapter)
    context.add_cleanup(daemon.detector.sock.close)
    # The clock of the test stands still during a probe, which must not use up the budget.
    daemon.ingress.target_probe_budget = TokenBucket.from_rate(1000.0, 1000.0, context.now)
    daemon.ingress.on_confirmed = lambda heartbeat: handle_confirmed_heartbeat(daemon, heartbeat)
    attach_target(daemon.ingress, "127.0.0.1", target.server_port, 9)
    addresses = dict.fromkeys(("Listen.ReadinessAddr", "Listen.Control"), ("127.0.0.1", 0))
    context.control = start_server(context, make_servers(daemon, addresses)[1])
    context.sequences = {}


def start_server(context, server):
    """Start a server that ends with the scenario."""
    server.start()
    context.add_cleanup(server.stop)
    return server


@when("a heartbeat of {name}, born at {born:d}, arrives")
def send_heartbeat(context, name, born):
    context.sequences[name] = context.sequences.get(name, 0) + 1
    content = {
        "Address": f"127.0.0.1:{context.daemon.settings.target_port}",
        "born": born,
        "Info": {"Service": "payments", "Version": "v1", "Zone": "za", "Slots": 9},
        "Status": {"State": "ready", "Seq": context.sequences[name], "ColdLeft": "0ms"},
    }
    client = HTTPClient("127.0.0.1", context.control.server_port)
    response = client.request("PUT", f"/v1/instances/{name}", json.dumps(content).encode())
    assert response.status_code in (200, 409), response.status_code
    client.close()
    probe_target(context.daemon.ingress)


@when("{name}'s health path answers {status:d}")
def set_health(context, name, status):
    context.health.instance_id, context.health.status = name, status
    probe_target(context.daemon.ingress)


@when("heartbeats of {name}, born at {born:d}, go on for {seconds:g} seconds")
def send_heartbeats(context, name, born, seconds):
    ends_at = context.now + seconds
    while context.now < ends_at:
        context.now += HEARTBEAT_SECONDS
        send_heartbeat(context, name, born)


@then("the target gets no requests")
def check_not_ready(context):
    lifecycle = context.daemon.ingress.lifecycle
    assert lifecycle.state is not TargetState.READY, lifecycle


@then("{name} gets requests")
def check_ready(context, name):
    lifecycle = context.daemon.ingress.lifecycle
    assert (lifecycle.instance_id, lifecycle.state) == (name, TargetState.READY), lifecycle


@then("its version is known to other daemons")
def check_version(context):
    assert context.daemon.blackboard.own_member.version == "v1"
