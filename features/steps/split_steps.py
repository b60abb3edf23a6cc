"""Test which services of a split get requests."""

from collections import Counter
from random import Random

from behave import then
from hypothesis import given, seed
from hypothesis import strategies as st

from comfreyhitch.routing.splitting import Splitter, choose_service
from features.steps.routing_steps import make_route

MAX_SERVICES = 4

weights_of_a_version = st.lists(
    st.sampled_from([0.0, 0.0, 0.01, 0.5, 1.0, 2.0, 10.0, 50.0, 90.0, 9000.0, 1e9]),
    min_size=1,
    max_size=MAX_SERVICES,
).filter(any)


def make_split_route(weights):
    """Return a route whose services are named by the position of their weight."""
    return make_route(services=tuple((f"s{index}", weight) for index, weight in enumerate(weights)))


def count_requests(splitter, weights, count):
    """Return how many of a number of requests each service gets."""
    route = make_split_route(weights)
    return Counter(choose_service(splitter, route) for _ in range(count))


def assert_none_without_weight(weights, counts):
    """Check that no service of weight 0 got a request."""
    for index, weight in enumerate(weights):
        assert weight or not counts[f"s{index}"], (weights, counts)


@then("no request goes to a service whose weight is 0, for any weights")
def check_never_weighted(context):
    @seed(context.seed)
    @given(weights_of_a_version, st.integers(0, 2**32))
    def check(weights, number):
        counts = count_requests(Splitter(Random(number)), weights, MAX_SERVICES)
        assert_none_without_weight(weights, counts)

    check()
