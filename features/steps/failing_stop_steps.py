"""Test daemons that know too little of their target, or whose stop has a step that fails."""

import os
from datetime import timedelta
from unittest.mock import patch

import gevent
import gevent.socket
from behave import given, then, when

from comfreyhitch.conf.models import Settings
from comfreyhitch.core.clock import Clock
from comfreyhitch.daemon import shutdown
from comfreyhitch.daemon.announcements import handle_departure
from comfreyhitch.daemon.assembly import Daemon
from comfreyhitch.egress.caller_handler import CallerHandler
from comfreyhitch.egress.caller_server import CallerServer
from comfreyhitch.ingress.lifecycle import apply_health_response
from comfreyhitch.ingress.state import attach_target
from comfreyhitch.membership.detector import publish_own_record
from comfreyhitch.membership.models import decode_member, encode_member
from comfreyhitch.replication.facts import FactKind

SERVICE_SECONDS = 0.5
INSTANCE_ID = "i-1"


def make_daemon(context, **settings):
    """Return a daemon whose servers and controllers are not started."""
    times = {"stop_linger": timedelta(seconds=0.1), "drain_timeout": timedelta(seconds=2)}
    settings = Settings(host=f"127.{os.getpid() % 250 + 1}.7.1", **times | settings)
    daemon = Daemon.from_settings(settings, Clock.from_system())
    context.add_cleanup(daemon.detector.sock.close)
    return daemon


@given("a daemon that knows its target from the health path alone")
def make_daemon_without_heartbeat(context):
    context.daemon = make_daemon(context)
    ingress = context.daemon.ingress
    attach_target(ingress, str(context.daemon.settings.host), 9000, 10)
    publish_own_record(context.daemon.detector, service="s1")
    now = context.daemon.clock.monotonic()
    apply_health_response(ingress.lifecycle, INSTANCE_ID, True, None, now)


@when("the target's departure arrives")
def send_departure(context):
    assert handle_departure(context.daemon, INSTANCE_ID)


@then("the daemon's record is valid, says that it drains, and can be published again")
def check_record(context):
    publish_own_record(context.daemon.detector, draining=True)
    own = context.daemon.blackboard.own_member
    fact = context.daemon.store.facts_by_id[(FactKind.MEMBER, own.address)]
    stored = decode_member(fact.value).unwrap()
    assert stored == decode_member(encode_member(own)).unwrap() == own
    assert (stored.service, stored.draining) == ("s1", True), stored
    assert stored.slots >= 1, stored


@then("a request in progress is answered although the daemon's record can't be published")
def check_failing_publication(context):
    daemon = make_daemon(context)
    server = CallerServer(
        (str(daemon.settings.host), 0), respond_slowly, handler_class=CallerHandler, log=None
    )
    server.start()
    daemon.servers = [server, server]
    with gevent.socket.create_connection((str(daemon.settings.host), server.server_port)) as caller:
        caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        gevent.sleep(0.1)
        with patch.object(shutdown, "publish_own_record", side_effect=ValueError("invalid record")):
            shutdown.stop_gracefully(daemon)
        caller.settimeout(2.0)
        assert caller.recv(1000).endswith(b"ok")


def respond_slowly(environ, start_response):
    gevent.sleep(SERVICE_SECONDS)
    start_response("200 OK", [("Content-Length", "2"), ("Connection", "close")])
    return [b"ok"]
