"""Test the choice of a target by expected completion, against the choice by utilization."""

from random import Random
from unittest.mock import patch

from behave import then
from hypothesis import example, given, seed
from hypothesis import strategies as st

from comfreyhitch.conf.models import Settings
from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.egress import completion
from comfreyhitch.egress.choice import make_load_aware_selector, make_selector
from comfreyhitch.egress.completion import (
    MAX_ZONE_WAIT_SECONDS,
    SAMPLE_SIZE,
    TargetPool,
    estimate_completion,
    get_zone_wait_seconds,
    make_completion_selector,
)
from comfreyhitch.egress.models import Candidate, TargetView
from comfreyhitch.egress.state import Egress
from comfreyhitch.egress.views import (
    FLAP_HALF_LIFE_SECONDS,
    apply_load_report,
    get_avoidance_cause,
    get_flap_score,
    record_failure,
    record_flap,
    record_sent,
    record_success,
    replace_view,
)
from comfreyhitch.telemetry.metrics import Metrics
from comfreyhitch.wire.generated.ttypes import LoadReport
from features.fakes import FakeClock, make_member
from features.simulated_fleets import (
    MEAN_WORK_SECONDS,
    OBJECTIVE_SECONDS,
    SLOTS,
    SimulatedFleet,
    SimulatedTarget,
)

TARGETS = 12
SLOW_FACTOR = 2.5
COLD_SECONDS = 3.0
# Requests that a cold target serves in that time at its rate.
COLD_REQUESTS = 24


def make_fleet(context, make, speed_factors=(), flap_seconds=()):
    """Return a fleet in 3 zones whose first targets have the given factors and periods."""
    targets = [SimulatedTarget(f"t{number}", f"z{number % 3}") for number in range(TARGETS)]
    for target, factor in zip(targets, speed_factors, strict=False):
        target.speed_factor = factor
    for target, seconds in zip(targets, flap_seconds, strict=False):
        target.flap_seconds = seconds
    return SimulatedFleet(targets, make, Random(context.seed))


def get_capacity(fleet):
    """Return the requests a second that the targets can serve."""
    return sum(SLOTS / (MEAN_WORK_SECONDS * target.speed_factor) for target in fleet.targets)


@then(
    "with a quarter of the targets slow, at 0.9 of capacity, 95 in 100 requests are answered "
    "within their objective, at fewer than 1.05 hops for each, and by utilization at over 1.1"
)
def check_speeds(context):
    hops = {}
    for make in (make_load_aware_selector, make_completion_selector):
        fleet = make_fleet(context, make, speed_factors=[SLOW_FACTOR] * (TARGETS // 4))
        fleet.serve(40.0, 0.9 * get_capacity(fleet))
        assert fleet.get_share_within(OBJECTIVE_SECONDS) >= 0.95
        hops[make] = fleet.hops / len(fleet.response_seconds)
    assert hops[make_completion_selector] < 1.05, hops
    assert hops[make_load_aware_selector] > 1.1, hops


@then(
    "the reported wait, the pace and requests sent since the report each delay the expected "
    "completion"
)
def check_expected_completion(context):
    # The simulated fleet reports neither a wait nor a pace.
    pool = TargetPool([], [], [])

    def estimate(wait_seconds=None, slowness=1.0, sent=0, age_seconds=0.0):
        view = TargetView("a")
        report = LoadReport(
            in_flight=SLOTS,
            queued=0,
            limit=SLOTS,
            latency_seconds=0.1,
            accepting=True,
            slowness=slowness,
            wait_seconds=wait_seconds,
        )
        apply_load_report(view, report, 100.0)
        for _ in range(sent):
            record_sent(view)
        return estimate_completion(view, SLOTS, pool, 100.0 + age_seconds)

    usual = estimate()
    assert abs(estimate(wait_seconds=1.0) - estimate(wait_seconds=0.5) - 0.5) < 1e-9
    assert estimate(wait_seconds=0.5) > usual
    assert estimate(wait_seconds=0.5, sent=3) > estimate(wait_seconds=0.5)
    assert estimate(sent=3) > usual
    assert estimate(slowness=5.0) > usual
    # Reports this old say nothing.
    assert estimate(wait_seconds=0.5, slowness=5.0, age_seconds=5.0) == estimate(age_seconds=5.0)


@then(
    "at 0.7 of capacity, fewer than 5 in 100 requests leave their zone, and by utilization over "
    "15 in 100"
)
def check_zone_share(context):
    shares = {}
    for make in (make_load_aware_selector, make_completion_selector):
        fleet = make_fleet(context, make)
        fleet.serve(30.0, 0.7 * get_capacity(fleet))
        shares[make] = fleet.other_zone_hops / fleet.hops
    assert shares[make_completion_selector] < 0.05, shares
    assert shares[make_load_aware_selector] > 0.15, shares


@then(
    "a zone that gets most requests uses the others, so that at least 95 in 100 requests are "
    "answered within their objective"
)
def check_full_zone(context):
    fleet = make_fleet(context, make_completion_selector)
    # Three in four requests arrive in the first zone, which has a third of the targets.
    fleet.serve(30.0, 0.85 * get_capacity(fleet), daemons=[0, 3, 0, 3, 6, 9, 1, 2])
    assert fleet.get_share_within(OBJECTIVE_SECONDS) >= 0.95
    assert fleet.other_zone_hops / fleet.hops > 0.25


@then("the time left for the objective bounds the wait in the own zone")
def check_zone_wait(context):
    @seed(context.seed)
    @given(st.floats(0, 5), st.floats(-5, 10))
    def check(best_seconds, objective_seconds):
        wait = get_zone_wait_seconds(best_seconds, objective_seconds)
        assert 0.0 <= wait <= MAX_ZONE_WAIT_SECONDS
        assert wait == 0.0 or best_seconds + wait < objective_seconds

    check()


@then(
    "a wait in the own zone never makes a request miss its objective, also beside faster targets "
    "that are avoided"
)
def check_zone_choice(context):
    addresses = [f"t{number}" for number in range(4)]
    candidates = [
        Candidate(address, "za" if number < 2 else "zb", "v1", SLOTS)
        for number, address in enumerate(addresses)
    ]

    @seed(context.seed)
    @given(
        st.lists(st.floats(0.01, 1.0), min_size=4, max_size=4),
        st.sets(st.sampled_from(addresses)),
        st.floats(0.0, 1.0),
    )
    # The first target is avoided, and only the third one answers in time.
    @example([0.1, 0.45, 0.38, 0.5], {"t0"}, 0.41)
    def check(seconds, avoided, objective_seconds):
        seconds_by_address = dict(zip(addresses, seconds, strict=True))
        views_by_address = {address: TargetView(address, avoid_until=9.0) for address in avoided}
        select = make_completion_selector(views_by_address, "za", Random(context.seed))
        with patch.object(
            completion, "estimate_completion", lambda view, *_: seconds_by_address[view.address]
        ):
            chosen = select(candidates, (), 1.0, objective_seconds).address
        usable = set(addresses) - avoided or set(addresses)
        assert chosen in usable
        best_seconds = min(seconds_by_address[address] for address in usable)
        if best_seconds <= objective_seconds:
            assert seconds_by_address[chosen] <= objective_seconds + 1e-9

    check()


@then("the time without requests grows with each flap, is not ended by one response, and decays")
def check_flap_memory(context):
    view = TargetView("a")
    now = 100.0
    last_seconds = 0.0
    for _ in range(5):
        record_success(view)
        record_failure(view, now)
        record_flap(view, now)
        # Several requests fail at once, which is one flap.
        record_flap(view, now)
        record_success(view)
        avoided = [
            number for number in range(1, 400) if get_avoidance_cause(view, now + number * 0.05)
        ]
        seconds = len(avoided) * 0.05
        assert seconds > 1.5 * last_seconds, (seconds, last_seconds)
        last_seconds = seconds
        now += seconds + 0.1
    score = get_flap_score(view, now)
    assert abs(get_flap_score(view, now + FLAP_HALF_LIFE_SECONDS) - score / 2) < 1e-6
    now += 10 * FLAP_HALF_LIFE_SECONDS
    record_flap(view, now)
    assert [get_avoidance_cause(view, now + age) for age in (0.2, 0.3)] == ["flapping", None]


@then(
    "two targets in 12 that fail every other second get fewer than 3 in 1000 requests while they "
    "fail"
)
def check_flapping(context):
    fleet = make_fleet(context, make_completion_selector, flap_seconds=[1.0, 1.0])
    fleet.serve(40.0, 0.5 * get_capacity(fleet))
    assert fleet.failures < 0.003 * fleet.hops, (fleet.failures, fleet.hops)


@then("how often the target flapped is kept, and its load report is not")
def check_replaced_view(context):
    view = TargetView("a", reported_in_flight=5, reported_at=99.0)
    views_by_address = {"a": view, "b": TargetView("b", reported_at=99.0)}
    record_success(view)
    record_flap(view, 100.0)
    for address in ("a", "b", "c"):
        replace_view(views_by_address, address)
    assert views_by_address == {"a": TargetView("a", flap_score=1.0, flapped_at=100.0)}


@then(
    "two cold targets in 12 get at least 3 in 4 requests they can serve, at fewer than 1.2 "
    "hops for each request"
)
def check_warm_up(context):
    fleet = make_fleet(context, make_completion_selector)
    rate = 0.7 * get_capacity(fleet)
    fleet.serve(5.0, rate)
    hops = fleet.hops
    cold = fleet.targets[:2]
    for target in cold:
        target.cold_until, target.started = fleet.now + COLD_SECONDS, 0
    fleet.serve(COLD_SECONDS, rate)
    assert all(target.started >= 0.75 * COLD_REQUESTS for target in cold), cold
    assert fleet.hops - hops < 1.2 * rate * COLD_SECONDS


class CountingList(list):
    """Count the elements that are read by index or iteration."""

    reads = 0

    def __getitem__(self, index):
        self.reads += 1
        return super().__getitem__(index)

    def __iter__(self):
        self.reads += len(self)
        return super().__iter__()


class CountingPool(TargetPool):
    """Count the elements of a pool that are read, and keep each pool that is made."""

    pools = []

    def __init__(self, candidates, own_zone, other_zones):
        super().__init__(candidates, CountingList(own_zone), CountingList(other_zones))
        self.pools.append(self)


@then("a choice looks at no more candidates among 1000 than among 20")
def check_cost(context):
    for count in (20, 1000):
        candidates = CountingList(
            Candidate(f"t{number}", f"z{number % 4}", "v1", SLOTS) for number in range(count)
        )
        select = make_completion_selector({}, "z0", Random(context.seed))
        with patch.object(completion, "TargetPool", CountingPool) as make_pool:
            make_pool.pools = []
            select(candidates, {"t0"}, 0.0)
            [pool] = make_pool.pools
            counted = (candidates, pool.own_zone, pool.other_zones)
            before = sum(items.reads for items in counted)
            for _ in range(100):
                assert select(candidates, {"t0"}, 0.0).address != "t0"
            assert len(make_pool.pools) == 1
        reads = sum(items.reads for items in counted) - before
        # Each choice reads the first candidate, the sample, and one more a zone if one is excluded.
        assert reads <= 100 * (SAMPLE_SIZE + 3), (count, reads)


@then("an excluded target is never chosen, and one that is not excluded always is, if there is one")
def check_excluded(context):
    addresses = [f"t{number}" for number in range(8)]

    @seed(context.seed)
    @given(st.lists(st.sampled_from(addresses), unique=True), st.sets(st.sampled_from(addresses)))
    def check(known, excluded):
        zones = ("za", "zb")
        candidates = [
            Candidate(address, zones[int(address[1:]) % 2], "v1", SLOTS) for address in known
        ]
        select = make_completion_selector({}, "za", Random(context.seed))
        chosen = select(candidates, excluded, 0.0)
        if set(known) <= excluded:
            assert chosen is None
        else:
            assert chosen.address in set(known) - excluded

    check()


@then("overload control by cost chooses by expected completion, and by class as before")
def check_settings(context):
    expected_by_settings = {
        ("class", "load-aware"): "load-aware",
        ("cost", "load-aware"): "expected-completion",
        ("cost", "random"): "random",
    }
    for (control, rule), expected in expected_by_settings.items():
        clock = FakeClock().make_clock()
        blackboard = Blackboard(clock=clock, own_member=make_member())
        settings = Settings(overload_control=control, choice_rule=rule)
        with patch("comfreyhitch.egress.state.make_selector", wraps=make_selector) as make:
            Egress.from_settings(settings, blackboard, None, Metrics.create())
        assert make.call_args.args[0] == expected
