"""Test the share of a new version over a rollout, and the bound on a binomial tail."""

from datetime import timedelta
from math import comb

from behave import then
from hypothesis import given, seed
from hypothesis import strategies as st

from comfreyhitch.rollouts.analysis import bound_upper_tail
from comfreyhitch.rollouts.schedule import FINAL_SHARE, MAX_SHARE_BY_STAGE, get_new_version_share
from comfreyhitch.sections.models import Freeze, RolloutPlan
from features.fakes import START_TIME

PLAN = RolloutPlan("id", "payments", "v1", "v2", START_TIME, START_TIME + timedelta(hours=1))


@then(
    "the share of a new version stays within the limit of its stage, and is 0 before its start, "
    "once vetoed and during a freeze"
)
def check_share(context):
    @seed(context.seed)
    @given(
        seconds=st.integers(-600, 6000),
        stage=st.integers(0, 3),
        is_vetoed=st.booleans(),
        is_frozen=st.booleans(),
    )
    def check(seconds, stage, is_vetoed, is_frozen):
        now = START_TIME + timedelta(seconds=seconds)
        freezes = (Freeze(now.weekday(), 0, 24),) if is_frozen else ()
        share = get_new_version_share(
            PLAN, now, stage=stage, is_vetoed=is_vetoed, is_completed=False, freezes=freezes
        )
        assert 0.0 <= share <= MAX_SHARE_BY_STAGE[stage] <= FINAL_SHARE
        if is_vetoed or is_frozen or seconds < 0:
            assert share == 0.0

    check()


@then("the bound on a tail probability is never below the exact probability")
def check_tail_bound(context):
    @seed(context.seed)
    @given(total=st.integers(1, 60), share=st.floats(0.01, 0.5), data=st.data())
    def check(total, share, data):
        count = data.draw(st.integers(0, total))
        probability = 1.0
        exact = 0.0
        for hits in range(total + 1):
            probability = _binomial(total, hits, share)
            exact += probability if hits >= count else 0.0
        assert bound_upper_tail(count, total, share) >= exact - 1e-9

    check()


def _binomial(total, hits, share):
    return comb(total, hits) * share**hits * (1 - share) ** (total - hits)
