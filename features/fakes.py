"""Fake clocks, sample members and a runner of state machines for property tests."""

from dataclasses import replace
from datetime import UTC, datetime, timedelta

from hypothesis import seed
from hypothesis.stateful import run_state_machine_as_test

from comfreyhitch.core.clock import Clock
from comfreyhitch.membership.models import (
    Member,
    MemberStatus,
)

START_TIME = datetime(2026, 12, 1, 9, 0, tzinfo=UTC)
SLOTS = 8


class FakeClock:
    """Hold a time in seconds that tests advance."""

    def __init__(self):
        self.seconds = 0.0

    def make_clock(self):
        """Return a clock that reads this time."""
        return Clock(
            monotonic=lambda: self.seconds, now=lambda: START_TIME + timedelta(seconds=self.seconds)
        )


def make_member(address="127.0.0.1:8081", **changes):
    """Return a sample member record with some fields replaced."""
    member = Member(
        address=address,
        http_address=address,
        boot_id="b",
        incarnation=1,
        status=MemberStatus.ALIVE,
        zone="za",
        region="ra",
        service="payments",
        version="v1",
        slots=10,
        draining=False,
        started_at=0.0,
    )
    return replace(member, **changes)


def run_state_machine(context, machine):
    """Test a Hypothesis state machine with the seed of the test run."""
    run_state_machine_as_test(seed(context.seed)(machine))
