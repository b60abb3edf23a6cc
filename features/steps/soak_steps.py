"""Define steps that run soak tests."""

from behave import then

from comfreyhitch.testing.soak.runner import run_soak


@then("a soak of {seconds:g} seconds violates no guarantee")
def check_short_soak(context, seconds):
    check_soak(context, context.seed, seconds)


@then(
    "the soak of seed {number:d} with the first {kinds:d} fault kinds for {seconds:g} seconds "
    "violates no guarantee"
)
def check_known_soak(context, number, kinds, seconds):
    check_soak(context, number, seconds, kinds)


def check_soak(context, number, seconds, kinds=None):
    """Run a soak, and check that it found no violation among enough faults and requests."""
    result = run_soak(number, seconds, context.folder, kinds)
    assert not result.violations, (number, result.violations[:10])
    assert result.fault_counts.total() >= seconds / 4, result.fault_counts
    assert result.status_counts[200] > 10 * seconds, result.status_counts
