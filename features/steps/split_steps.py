"""Test splits over series of weights and over many daemons."""

from collections import Counter
from math import sqrt
from random import Random

from behave import then
from hypothesis import given, seed
from hypothesis import strategies as st

from comfreyhitch.routing.splitting import Splitter, choose_service
from features.steps.routing_steps import make_route

MAX_SERVICES = 4
DAEMON_COUNTS = (11, 195)
FIRST_REQUESTS = 200
DEVIATIONS = 5.0
# Counts of a few requests are not distributed normally.
SMALL_COUNT = 5
# Weights of two to four services, in different units.
SPLITS_OF_MANY_DAEMONS = (
    (90.0, 10.0),
    (0.5, 0.5),
    (1.0, 2.0, 0.0),
    (9000.0, 900.0, 100.0),
    (3.0, 1.0, 1.0, 1.0),
)

weights_of_a_version = st.lists(
    st.sampled_from([0.0, 0.0, 0.01, 0.5, 1.0, 2.0, 10.0, 50.0, 90.0, 9000.0, 1e9]),
    min_size=1,
    max_size=MAX_SERVICES,
).filter(any)
# Each version has its weights, and the number of requests that are sent while it is in force.
versions_in_force = st.lists(
    st.tuples(weights_of_a_version, st.integers(0, 200)), min_size=1, max_size=8
)


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


@then("no request goes to a service whose weight is 0, for any series of weights")
def check_series_without_weight(context):
    @seed(context.seed)
    @given(versions_in_force, st.integers(0, 2**32))
    def check(versions, number):
        splitter = Splitter(Random(number))
        for weights, count in versions:
            counts = count_requests(splitter, weights, count)
            assert_none_without_weight(weights, counts)

    check()


@then("each version's requests are split to within two requests, for any series of weights")
def check_series_shares(context):
    @seed(context.seed)
    @given(versions_in_force, st.integers(0, 2**32))
    def check(versions, number):
        splitter = Splitter(Random(number))
        for weights, count in versions:
            counts = count_requests(splitter, weights, count)
            for index, weight in enumerate(weights):
                expected = count * weight / sum(weights)
                assert abs(counts[f"s{index}"] - expected) <= 2.0, (versions, weights, counts)

    check()


@then("the first requests of 11 and of 195 daemons together are split by the weights")
def check_many_daemons(context):
    for daemon_count in DAEMON_COUNTS:
        for weights in SPLITS_OF_MANY_DAEMONS:
            _check_first_requests(Random(context.seed), daemon_count, weights)


def _check_first_requests(random, daemon_count, weights):
    """Check the sum over all daemons after each request that all of them have sent."""
    splitters = [Splitter(Random(random.random())) for _ in range(daemon_count)]
    route = make_split_route(weights)
    counts = Counter()
    for sent in range(1, FIRST_REQUESTS + 1):
        counts.update(choose_service(splitter, route) for splitter in splitters)
        for index, weight in enumerate(weights):
            share = weight / sum(weights)
            # The deviation of independent draws; a daemon that rotates deviates less.
            deviation = sqrt(daemon_count * sent * share * (1.0 - share))
            difference = counts[f"s{index}"] - daemon_count * sent * share
            assert abs(difference) <= DEVIATIONS * deviation + SMALL_COUNT, (
                daemon_count,
                weights,
                sent,
                counts,
            )
