"""Test how many store calls a daemon makes to join, and that it restores its registration."""

from collections import Counter
from contextlib import contextmanager
from dataclasses import replace
from datetime import timedelta
from random import Random
from unittest.mock import patch

from behave import then

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.core.clock import Clock
from comfreyhitch.membership.queries import is_platform_reader
from comfreyhitch.membership.registration import (
    Registration,
    run_registration_cycle,
    sync_registrations,
)
from comfreyhitch.platform.client import DAEMONS, delete_object, list_objects
from comfreyhitch.replication.facts import FactStore
from comfreyhitch.testing.platform_objects import take_stale_snapshot
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


@then("daemons that start together find each other although their first lists show none of them")
def check_concurrent_start(context):
    take_stale_snapshot(context.store_state)
    calls = Counter()
    found_by_address = {}
    registrations = [make_lone_registration(context, item, calls) for item in DAEMON_ADDRESSES]
    with replaced_sync(found_by_address):
        for _ in range(2):
            for registration in registrations:
                sync_registrations(registration)
    assert all(registration.is_registered for registration in registrations)
    assert found_by_address.keys() == set(DAEMON_ADDRESSES), found_by_address
    assert calls["create"] == len(DAEMON_ADDRESSES), calls


def make_lone_registration(context, address, calls):
    """Return the registration of a daemon that knows no peer yet."""
    registration = make_registration(context, address, calls)
    registration.blackboard.members_by_address.clear()
    registration.pool = address
    return registration


@contextmanager
def replaced_sync(found_by_address):
    """Record which peers each daemon syncs with, in place of calling them."""

    def record(store, own_address, peer_address):
        found_by_address.setdefault(own_address, set()).add(peer_address)
        return True

    with patch("comfreyhitch.membership.registration.sync_with_peer", record):
        yield
