"""Test how many store calls a daemon makes to join, and that it restores its registration."""

from collections import Counter
from dataclasses import replace
from datetime import timedelta
from random import Random

from behave import then

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.core.clock import Clock
from comfreyhitch.membership.queries import is_platform_reader
from comfreyhitch.membership.registration import Registration, run_registration_cycle
from comfreyhitch.platform.client import DAEMONS, delete_object, list_objects
from comfreyhitch.replication.facts import FactStore
from features.fakes import make_member

DAEMON_ADDRESSES = [f"127.0.0.{number}:7000" for number in range(1, 9)]
JOINED_INTERVAL = timedelta(seconds=60)


def make_registration(context, address, calls):
    """Return the registration of a daemon that knows all its peers, as after a sync with one."""
    clock = Clock.from_system()
    blackboard = Blackboard(clock=clock, own_member=make_member(address=address))
    for peer_address in DAEMON_ADDRESSES:
        blackboard.members_by_address[peer_address] = make_member(address=peer_address)
    return Registration(
        blackboard,
        FactStore.from_clock(clock),
        None,
        replace(context.client, count_call=lambda verb: calls.update([verb])),
        Random(context.seed),
        is_required=True,
    )


@then(
    "a daemon that has joined has registered once and listed once, and a platform reader has "
    "listed twice"
)
def check_call_counts(context):
    reader_count = 0
    for address in DAEMON_ADDRESSES:
        calls = Counter()
        registration = make_registration(context, address, calls)
        while run_registration_cycle(registration) < JOINED_INTERVAL:
            pass
        reader_count += is_platform_reader(registration.blackboard)
        expected = Counter(create=1, list=1 + is_platform_reader(registration.blackboard))
        assert calls == expected, (address, calls)
    assert reader_count == 2
    listed = list_objects(context.client, DAEMONS).unwrap()
    assert {item.spec["address"] for item in listed.items} == set(DAEMON_ADDRESSES)


@then("a daemon whose registration was removed registers again")
def check_registers_again(context):
    calls = Counter()
    registration = make_registration(context, DAEMON_ADDRESSES[0], calls)
    while run_registration_cycle(registration) < JOINED_INTERVAL:
        pass
    name = DAEMON_ADDRESSES[0].replace(".", "-").replace(":", "-")
    delete_object(context.client, DAEMONS, name).unwrap()
    for _ in range(2):
        run_registration_cycle(registration)
    listed = list_objects(context.client, DAEMONS).unwrap()
    assert DAEMON_ADDRESSES[0] in {item.spec["address"] for item in listed.items}
