"""Test daemons whose clock is behind that of the process that ran before them."""

from dataclasses import replace
from datetime import timedelta

from behave import then, when

from comfreyhitch.membership.detector import make_member_fact, publish_own_record
from comfreyhitch.membership.models import MemberStatus, decode_member
from comfreyhitch.replication.facts import FactKind, FactStore, merge_facts
from features.steps.failing_stop_steps import make_daemon

STATUSES_BY_TEXT = {
    "has left": MemberStatus.LEFT,
    "was unreachable": MemberStatus.UNREACHABLE,
    "was suspected": MemberStatus.SUSPECT,
}


@when(
    "a daemon whose clock is {seconds:g} s behind gets the record of an earlier process that "
    "{status}"
)
def send_earlier_record(context, seconds, status):
    context.daemon = daemon = make_daemon(context)
    own = daemon.blackboard.own_member
    earlier = replace(
        own,
        boot_id="earlier",
        incarnation=own.incarnation + round(seconds * 1000),
        status=STATUSES_BY_TEXT[status],
    )
    context.earlier_record = make_member_fact(daemon.detector, earlier, timedelta(minutes=15))
    publish_own_record(daemon.detector)
    merge_facts(daemon.store, [context.earlier_record], is_from_peer=True)


@then("its own record and those that it publishes later replace that record")
def check_replaced(context):
    daemon = context.daemon
    address = daemon.blackboard.own_member.address
    peer_store = FactStore.from_clock(daemon.clock)
    merge_facts(peer_store, [context.earlier_record])
    for changes in ({}, {"draining": True}, {"status": MemberStatus.LEFT}):
        if changes:
            publish_own_record(daemon.detector, **changes)
        own = daemon.blackboard.own_member
        stored = daemon.store.facts_by_id[(FactKind.MEMBER, address)]
        assert decode_member(stored.value).unwrap() == own, (stored, own)
        assert daemon.blackboard.members_by_address[address] == own
        assert merge_facts(peer_store, [stored]) == [stored], "the peer keeps the earlier record"
