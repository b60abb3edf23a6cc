"""Test what a daemon publishes about itself while it stops and its target comes and goes."""

import os
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import gevent
from behave import then, when

from comfreyhitch.conf.models import Settings
from comfreyhitch.core.clock import Clock
from comfreyhitch.daemon.announcements import handle_announcement, handle_departure, handle_leaving
from comfreyhitch.daemon.assembly import Daemon
from comfreyhitch.daemon.shutdown import stop_gracefully
from comfreyhitch.egress.caller_handler import CallerHandler
from comfreyhitch.egress.caller_server import CallerServer
from comfreyhitch.ingress.lifecycle import Heartbeat, mark_leaving
from comfreyhitch.membership.detector import make_member_fact, publish_own_record
from comfreyhitch.membership.models import MemberStatus, decode_member
from comfreyhitch.replication.facts import FactKind, merge_facts

SERIES_COUNT = 12
EVENT_GAP_SECONDS = 0.005
LATE_EVENTS = 20
TARGET_PORT = 9000


@dataclass
class Series:
    """Hold a daemon that stops, the state of its target, and the records that it has published."""

    daemon: Daemon
    random: Random
    incarnation: int = 1
    sequence: int = 0
    records: list = field(default_factory=list)

    def send_heartbeat(self):
        """Send a heartbeat of the target, which may drain."""
        self.sequence += 1
        heartbeat = Heartbeat(
            instance_id=f"i-{self.incarnation}",
            service="s1",
            version="v1",
            slots=self.random.randint(1, 9),
            is_draining=self.random.random() < 0.2,
            sequence=self.sequence,
            start_time_ms=1000 * self.incarnation,
        )
        handle_announcement(self.daemon, heartbeat, "127.0.0.1", TARGET_PORT)

    def replace_target(self):
        """Send the first heartbeat of a new target."""
        self.incarnation += 1
        self.send_heartbeat()

    def send_departure(self):
        """Tell the daemon that the target leaves, once or twice."""
        for _ in range(self.random.randint(1, 2)):
            handle_departure(self.daemon, f"i-{self.incarnation}")

    def answer_as_leaving(self):
        """Have a response of the target say that it leaves."""
        if mark_leaving(self.daemon.ingress.lifecycle, f"i-{self.incarnation}"):
            handle_leaving(self.daemon)

    def finish_joining(self):
        """Publish the record as a daemon does that has just joined."""
        publish_own_record(self.daemon.detector)

    def suspect_daemon(self):
        """Have a peer declare the daemon suspect or unreachable by the last record it has got."""
        status = self.random.choice([MemberStatus.SUSPECT, MemberStatus.UNREACHABLE])
        known = self.random.choice(self.records)
        changed = decode_member(known.value).unwrap()
        if changed.status is not MemberStatus.LEFT:
            detector = self.daemon.detector
            record = make_member_fact(detector, replace_status(changed, status), None)
            merge_facts(self.daemon.store, [record], is_from_peer=True)


def replace_status(member, status):
    """Return a member's record with another status."""
    fields = {name: getattr(member, name) for name in member.__dataclass_fields__}
    return type(member)(**fields | {"status": status})


EVENTS = (
    Series.send_heartbeat,
    Series.replace_target,
    Series.send_departure,
    Series.answer_as_leaving,
    Series.finish_joining,
    Series.suspect_daemon,
)


def start_series(context, number):
    """Return a daemon with a target in service, and collect what it publishes about itself."""
    settings = Settings(
        host=f"127.{os.getpid() % 250 + 1}.8.{number + 1}",
        stop_linger=timedelta(seconds=0.2),
        drain_timeout=timedelta(seconds=1),
    )
    daemon = Daemon.from_settings(settings, Clock.from_system())
    context.add_cleanup(daemon.detector.sock.close)
    server = CallerServer(
        (str(settings.host), 0), lambda environ, start: [], handler_class=CallerHandler, log=None
    )
    server.start()
    daemon.servers = [server, server]
    series = Series(daemon, Random(f"{context.seed} {number}"))
    publish_own_record(daemon.detector)
    series.send_heartbeat()
    return series


def run_series(series):
    """Stop the daemon while events arrive, and let some arrive after its departure too."""
    daemon = series.daemon
    own = daemon.blackboard.own_member.address

    def collect(facts, is_from_peer):
        if not is_from_peer:
            series.records += [
                fact for fact in facts if (fact.kind, fact.key) == (FactKind.MEMBER, own)
            ]

    daemon.store.propagate = collect
    stop = gevent.spawn(stop_gracefully, daemon)
    gevent.sleep(0)
    while not stop.ready():
        series.random.choice(EVENTS)(series)
        gevent.sleep(EVENT_GAP_SECONDS)
    stop.get()
    for _ in range(LATE_EVENTS):
        series.random.choice(EVENTS)(series)


@when("targets leave, come back and leave again in any order while their daemons stop")
def stop_while_targets_change(context):
    context.series = [start_series(context, number) for number in range(SERIES_COUNT)]
    gevent.joinall(
        [gevent.spawn(run_series, series) for series in context.series], raise_error=True
    )


@then("each record that a daemon publishes says that it drains, and none follows its departure")
def check_records(context):
    for series in context.series:
        members = [decode_member(record.value).unwrap() for record in series.records]
        assert len(members) > LATE_EVENTS
        undrained = [member for member in members if not member.draining]
        assert not undrained, (len(undrained), len(members), undrained[0])
        left_at = next(
            index for index, member in enumerate(members) if member.status is MemberStatus.LEFT
        )
        assert all(member.status is MemberStatus.LEFT for member in members[left_at:])
        versions = [record.version for record in series.records]
        assert versions == sorted(set(versions))
