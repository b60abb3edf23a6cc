"""Test which versions of a service get requests after one order has followed another."""

from dataclasses import replace
from random import Random
from types import SimpleNamespace

from behave import then

from comfreyhitch.core.blackboard import Blackboard, get_version_refusal_reason
from comfreyhitch.daemon.observers import make_blackboard_observer
from comfreyhitch.documents.models import RolloutState, make_rollout_id
from comfreyhitch.egress.candidates import choose_candidate, count_exposure
from comfreyhitch.egress.choice import make_load_aware_selector
from comfreyhitch.egress.eligibility import refresh_candidates
from comfreyhitch.replication.facts import FactStore
from comfreyhitch.rollouts.controller import RolloutController
from comfreyhitch.rollouts.evidence import EvidenceLog
from comfreyhitch.rollouts.orders import (
    RolloutOrderController,
    publish_order_completion,
    publish_order_veto,
    run_rollout_orders,
)
from features.fakes import FakeClock, make_member
from features.rollout_emulation import ORDER

REQUESTS = 200
VERSIONS = ("v1", "v2", "v3")
TARGETS_PER_VERSION = 3


class OrderedService:
    """Hold one daemon's view of a service with targets of several versions."""

    def __init__(self, random):
        self.clock = FakeClock()
        clock = self.clock.make_clock()
        own = make_member("10.0.9.9:1", service="other")
        self.blackboard = Blackboard(clock=clock, own_member=own)
        self.store = FactStore.from_clock(clock)
        self.store.observers.append(
            make_blackboard_observer(self.blackboard, self.store, None, {}, lambda: None)
        )
        rollouts = RolloutController(
            self.blackboard, self.store, EvidenceLog.from_clock(clock), lambda *_: None
        )
        self.controller = RolloutOrderController(
            rollouts, lambda: refresh_candidates(self.blackboard)
        )
        self.egress = SimpleNamespace(
            blackboard=self.blackboard,
            random=random,
            exposures_by_rollout={},
            select_target=make_load_aware_selector(
                self.blackboard.views_by_address, own.zone, random
            ),
        )
        for version in VERSIONS:
            for number in range(TARGETS_PER_VERSION):
                address = f"10.0.{version[1:]}.{number}:1"
                member = make_member(address, service=ORDER.service, version=version)
                self.blackboard.members_by_address[address] = member

    def order(self, version, revision, state=RolloutState.RUNNING):
        """Let an order replace the one that the store holds for the service."""
        order = replace(
            ORDER,
            to_version=version,
            rollout_id=make_rollout_id(ORDER.service, version, revision),
            created_revision=revision,
            state=state,
        )
        self.blackboard.rollout_orders_by_service[ORDER.service] = order
        self.pass_time()
        return order

    def pass_time(self):
        """Let a second pass, and apply the order."""
        self.clock.seconds += 1.0
        run_rollout_orders(self.controller)
        refresh_candidates(self.blackboard)

    def list_used_versions(self):
        """Return the versions that get some of many requests."""
        versions = set()
        for _ in range(REQUESTS):
            version = choose_candidate(self.egress, ORDER.service, set()).version
            count_exposure(self.egress, ORDER.service, version)
            versions.add(version)
        return versions


@then("a rolled-back version gets no request after a later order, until it is ordered itself")
def check_rolled_back_version(context):
    service = OrderedService(Random(context.seed))
    vetoed = service.order("v2", 5)
    publish_order_veto(service.store, vetoed, "it failed")
    service.pass_time()
    assert "v2" not in service.list_used_versions()

    for state in (RolloutState.NEW, RolloutState.RUNNING, RolloutState.ROLLED_BACK):
        service.order("v3", 9, state)
        assert "v2" not in service.list_used_versions(), state
        reason = get_version_refusal_reason(service.blackboard, ORDER.service, "v2")
        assert reason == "it failed", (state, reason)

    again = service.order("v2", 12)
    assert get_version_refusal_reason(service.blackboard, ORDER.service, "v2") is None
    publish_order_completion(service.store, again)
    service.order("v3", 15)
    assert get_version_refusal_reason(service.blackboard, ORDER.service, "v2") is None
    assert "v2" in service.list_used_versions()


@then("a version whose order is removed after its rollback gets no request either")
def check_removed_order(context):
    service = OrderedService(Random(context.seed))
    publish_order_veto(service.store, service.order("v2", 5), "it failed")
    service.pass_time()
    del service.blackboard.rollout_orders_by_service[ORDER.service]
    service.pass_time()
    assert service.list_used_versions() == {"v1", "v3"}
