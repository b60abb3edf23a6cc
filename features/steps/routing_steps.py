"""Test how requests are matched to routes and split among services."""

from collections import Counter
from datetime import timedelta
from random import Random

from behave import then
from hypothesis import given, seed
from hypothesis import strategies as st

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.core.verdicts import Refusal, Verdict
from comfreyhitch.egress.routed_calls import RoutedRequest, classify_routed
from comfreyhitch.routing.matching import find_route
from comfreyhitch.routing.models import CallerLimits, Route, RouteTable, WeightedService
from comfreyhitch.routing.splitting import Splitter, choose_service
from features.fakes import FakeClock, make_member

LIMITS = CallerLimits(16384, 1000, timedelta(seconds=3), timedelta(seconds=15))


def make_route(name="r", prefix="/", services=(("s1", 1.0),), **changes):
    """Return a route with some values changed."""
    values = {
        "name": name,
        "host": "a.example",
        "prefix": prefix,
        "is_idempotent": True,
        "max_attempts": 2,
        "timeout": timedelta(seconds=1),
        "latency_objective": timedelta(milliseconds=500),
        "priority": 1,
        "services": tuple(WeightedService(service, weight) for service, weight in services),
    }
    return Route(**{**values, **changes})


@then("the longest prefix of the host wins, for any set of routes")
def check_longest_prefix(context):
    segment = st.sampled_from(["a", "b", "ab"])
    prefixes = st.lists(segment, max_size=3).map(
        lambda segments: "/" + "".join(f"{name}/" for name in segments)
    )

    @seed(context.seed)
    @given(st.lists(prefixes, unique=True, max_size=8), prefixes)
    def check(known_prefixes, path):
        routes = [make_route(name=prefix, prefix=prefix) for prefix in known_prefixes]
        table = RouteTable.from_routes(1, LIMITS, routes, [])
        matching = [prefix for prefix in known_prefixes if path.startswith(prefix)]
        found = find_route(table, "A.example", path)
        assert (found and found.name) == max(matching, key=len, default=None)

    check()


@then("each service of a split gets its share to within two requests, for any weights")
def check_split(context):
    weights = st.lists(st.integers(0, 100), min_size=2, max_size=4).filter(sum)

    @seed(context.seed)
    @given(weights, st.integers(1, 300), st.integers(0, 2**32))
    def check(drawn_weights, count, number):
        services = tuple((f"s{index}", float(weight)) for index, weight in enumerate(drawn_weights))
        route = make_route(services=services)
        splitter = Splitter(Random(number))
        counts = Counter(choose_service(splitter, route) for _ in range(count))
        total = sum(drawn_weights)
        for name, weight in services:
            # The error of each split in two adds to that of the splits before it.
            assert abs(counts[name] - count * weight / total) <= 2.0, (drawn_weights, count, counts)

    check()


@then(
    "a request is refused with 503 before a configuration is known, and with 404 and as not run on "
    "an unknown path; a route's timeout shortens its deadline"
)
def check_unknown_route(context):
    blackboard = Blackboard(clock=FakeClock().make_clock(), own_member=make_member())
    splitter = Splitter(Random(1))
    request = RoutedRequest("GET", "a.example", "/x/", [], b"", "id", 5.0, 0.0, "Account")
    failure = classify_routed(blackboard, splitter, request, lambda fault: None).err_value
    assert (failure.refusal, failure.status) == (Refusal.NO_CONFIGURATION, 503)
    blackboard.route_table = RouteTable.from_routes(1, LIMITS, [make_route(prefix="/y/")], [])
    failure = classify_routed(blackboard, splitter, request, lambda fault: None).err_value
    assert (failure.refusal, failure.status) == (Refusal.NO_ROUTE, 404)
    assert failure.verdict is Verdict.NOT_RUN
    blackboard.route_table = RouteTable.from_routes(2, LIMITS, [make_route(prefix="/x/")], [])
    call = classify_routed(blackboard, splitter, request, lambda fault: None).ok_value
    assert call.deadline == 1.0, "the route's timeout is shorter than the caller's"
