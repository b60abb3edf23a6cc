"""Properties of the pure decisions."""

from dataclasses import replace
from datetime import UTC, datetime, timedelta
from math import ceil, comb
from random import Random

from behave import then
from hypothesis import given, seed
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from comfreyhitch.admission.limiter import (
    INITIAL_LIMIT,
    ConcurrencyLimit,
    record_answer,
    record_start,
    reset_ramp,
)
from comfreyhitch.admission.queue import (
    AdmissionQueue,
    Decision,
    Ticket,
    release,
    request_admission,
    withdraw,
)
from comfreyhitch.core.clock import Clock
from comfreyhitch.core.verdicts import Refusal
from comfreyhitch.idempotency.registrars import RegistrarRing, choose_registrars, get_majority
from comfreyhitch.idempotency.registry import Claim, ClaimRegistry, remove_claim, write_claim
from comfreyhitch.membership.models import (
    Member,
    MemberStatus,
    decode_member,
    encode_member,
)
from comfreyhitch.replication.facts import FactKind, FactStore, StoredFact, merge_facts
from comfreyhitch.rollouts.judge import bound_tail
from comfreyhitch.rollouts.schedule import FINAL_SHARE, STAGE_CAPS, get_share
from comfreyhitch.sections.models import Freeze, RolloutPlan, TrafficClass
from comfreyhitch.sections.parsing import parse_section
from comfreyhitch.utils.token_bucket import TokenBucket, take
from comfreyhitch.wire.codec import decode
from comfreyhitch.wire.generated.ttypes import Datagram

START = datetime(2026, 12, 1, 9, 0, tzinfo=UTC)
SLOTS = 8


class FakeClock:
    """Hold a time that tests move."""

    def __init__(self):
        self.seconds = 0.0

    def make(self):
        """Return the clock that parts under test read."""
        return Clock(
            monotonic=lambda: self.seconds, now=lambda: START + timedelta(seconds=self.seconds)
        )


def make_member(address="127.0.0.1:8081", **changes):
    """Return a member record."""
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


def run_machine(context, machine):
    """Run a state machine with the seed of the run."""
    run_state_machine_as_test(seed(context.seed)(machine))


@then("a probe budget is never overdrawn, whatever the times between probes")
def check_budget(context):
    @seed(context.seed)
    @given(
        rate=st.floats(0.1, 100),
        gaps=st.lists(st.floats(0, 5), min_size=1, max_size=200),
    )
    def check(rate, gaps):
        capacity = max(1.0, rate)
        bucket = TokenBucket.from_rate(rate, capacity, 0.0)
        now = 0.0
        taken = 0
        for gap in gaps:
            now += gap
            taken += take(bucket, now)
            assert taken <= capacity + rate * now + 1e-6

    check()


class LimitMachine(RuleBasedStateMachine):
    """Drive a concurrency limit with starts, answers and resets."""

    def __init__(self):
        super().__init__()
        self.state = ConcurrencyLimit(slots=SLOTS)
        self.now = 0.0
        self.running = []
        self.answers_since_change = 0
        self.highest = INITIAL_LIMIT

    @rule(gap=st.floats(0, 0.01))
    def start(self, gap):
        """Start a request if the limit allows."""
        self.now += gap
        if len(self.running) < self.state.limit:
            self.running.append(self.now)
            record_start(self.state, len(self.running))

    @rule(seconds=st.floats(0, 1), is_failure=st.booleans())
    def answer(self, seconds, is_failure):
        """Answer the oldest request."""
        if not self.running:
            return
        self.now += seconds
        before = self.state.limit
        proven = self.state.recovery_limit
        record_answer(self.state, self.running.pop(0), self.now, is_failure=is_failure)
        self.answers_since_change += 1
        if self.state.limit > before:
            self.check_growth(before, proven)
        if self.state.limit != before:
            self.answers_since_change = 0

    def check_growth(self, before, proven):
        """Check that only what was proved before is granted faster than step by step."""
        if before < proven:
            assert self.state.limit <= min(proven, ceil(before * 1.5))
            assert self.answers_since_change >= max(3, before)
            assert proven <= self.highest * 0.7
        else:
            assert self.state.limit == before + 1
            assert self.answers_since_change >= max(6, 2 * before)
        self.highest = max(self.highest, self.state.limit)

    @rule(rounds=st.integers(1, 12))
    def serve_well(self, rounds):
        """Fill the limit and answer all again and again, as a healthy target does."""
        for _ in range(rounds):
            while len(self.running) < self.state.limit:
                self.start(0.0)
            for _ in range(len(self.running)):
                self.answer(0.01, False)

    @rule()
    def lose_target(self):
        """Reset the limit, as after a refused connection."""
        reset_ramp(self.state, self.now)
        self.highest = INITIAL_LIMIT
        self.answers_since_change = 0
        assert self.state.limit == INITIAL_LIMIT

    @invariant()
    def stays_within_slots(self):
        """Check the bounds of the limit."""
        assert INITIAL_LIMIT <= self.state.limit <= SLOTS


@then("a limit starts at 1, grows step by step beyond what was proved, and never passes the slots")
def check_limit(context):
    run_machine(context, LimitMachine)


class QueueMachine(RuleBasedStateMachine):
    """Drive an admission queue with requests of two tenants and all classes."""

    def __init__(self):
        super().__init__()
        self.queue = AdmissionQueue.from_slots(SLOTS)
        self.queue.limit.limit = 3
        self.now = 0.0
        self.tickets = []
        self.settled = {}

    @rule(
        tenant=st.sampled_from(["a", "b"]),
        traffic_class=st.sampled_from(list(TrafficClass)),
        patience=st.floats(0.01, 1),
    )
    def arrive(self, tenant, traffic_class, patience):
        """Let a request arrive."""
        number = len(self.tickets)

        def settle(refusal):
            assert number not in self.settled, "settled twice"
            self.settled[number] = refusal

        ticket = Ticket(tenant, traffic_class, self.now + patience, settle)
        self.tickets.append(ticket)
        decision, refusal = request_admission(self.queue, ticket, 0.75)
        assert (decision is Decision.REFUSE) == (refusal is not None)
        if decision is Decision.RUN:
            self.settled[number] = None

    @rule(gap=st.floats(0, 0.5))
    def finish(self, gap):
        """Let the oldest running request end."""
        self.now += gap
        running = [ticket for ticket in self.tickets if ticket.is_running]
        if running:
            release(self.queue, running[0], self.now)

    @rule()
    def cancel(self):
        """Let the caller of a waiting request leave."""
        if self.queue.waiting:
            assert withdraw(self.queue, self.queue.waiting[0], Refusal.CANCELLED)

    @invariant()
    def counts_agree(self):
        """Check that no place is lost or used twice."""
        running = sum(ticket.is_running for ticket in self.tickets)
        assert running == self.queue.running <= self.queue.limit.limit
        held = running + len(self.queue.waiting)
        assert self.queue.held_by_tenant.total() == held
        classes = [ticket.traffic_class for ticket in self.queue.waiting]
        assert classes == sorted(classes, reverse=True)


@then("admission never runs more than the limit, and settles each request once")
def check_queue(context):
    run_machine(context, QueueMachine)


FACTS = st.builds(
    StoredFact,
    st.sampled_from([FactKind.SECTION, FactKind.VETO, FactKind.MEMBER]),
    st.sampled_from(["a", "b", "c"]),
    st.integers(1, 4),
    st.sampled_from([b"x", b"y"]),
)


@then("daemons that saw the same facts in any order hold the same, and no version goes back")
def check_merge(context):
    @seed(context.seed)
    @given(facts=st.lists(FACTS, max_size=30), data=st.data())
    def check(facts, data):
        shuffled = data.draw(st.permutations(facts))
        one = FactStore.from_clock(FakeClock().make())
        other = FactStore.from_clock(FakeClock().make())
        versions = {}
        for fact in facts:
            merge_facts(one, [fact])
            held = one.facts_by_id[fact.fact_id].version
            assert held >= versions.get(fact.fact_id, 0)
            versions[fact.fact_id] = held
        merge_facts(other, shuffled)
        merge_facts(other, shuffled)
        assert one.facts_by_id == other.facts_by_id
        assert one.checksums == other.checksums

    check()


@then("any two majorities of a key's registrars meet, also after one member joined or left")
def check_registrars(context):
    @seed(context.seed)
    @given(
        count=st.integers(1, 12),
        zones=st.integers(1, 4),
        key=st.text(min_size=1, max_size=8),
        data=st.data(),
    )
    def check(count, zones, key, data):
        members = [
            make_member(f"127.0.0.{number}:8081", zone=f"z{number % zones}")
            for number in range(count)
        ]
        before = _get_registrar_set(members, key)
        assert len(before) == min(3, count)
        assert len({item.zone for item in before}) == min(3, count, zones)
        joined = make_member("127.0.1.1:8081", zone="z0")
        changed = data.draw(st.sampled_from([[*members, joined], members[1:] or members]))
        after = _get_registrar_set(changed, key)
        holders = {item.address for item in before}
        # Whoever is new among the registrars recovers the claims of the others.
        stayed = [item for item in after if item.address in holders]
        if len(before) == len(after) == 3:
            assert len(stayed) >= get_majority(3)

    check()


def _get_registrar_set(members, key):
    return choose_registrars(RegistrarRing.from_members("payments", members), key)


@then("a key is granted to one claim only, in whatever order claims and releases come")
def check_registry(context):
    @seed(context.seed)
    @given(
        steps=st.lists(
            st.tuples(
                st.sampled_from(["claim", "release"]), st.sampled_from("abc"), st.integers(0, 2)
            ),
            max_size=40,
        )
    )
    def check(steps):
        registry = ClaimRegistry.from_retention(600.0)
        holder = None
        for action, claim_id, claim_round in steps:
            if action == "release":
                remove_claim(registry, "s", claim_id, claim_round)
                if holder is not None and holder[0] == claim_id and holder[1] <= claim_round:
                    holder = None
                continue
            wanted = Claim("s", "payments", claim_id, "o", "b", "f", 0.0, claim_round)
            held = write_claim(registry, wanted, None)
            if holder is None or holder[0] == claim_id:
                # A late message of an earlier round takes nothing back.
                holder = (claim_id, max(claim_round, holder[1] if holder else 0))
            assert (held.claim_id, held.round) == holder

    check()


PLAN = RolloutPlan("id", "payments", "v1", "v2", START, START + timedelta(hours=1))


@then("the share of a new version stays within its stage, and is 0 once vetoed or frozen")
def check_share(context):
    @seed(context.seed)
    @given(
        seconds=st.integers(-600, 6000),
        stage=st.integers(0, 3),
        is_vetoed=st.booleans(),
        is_frozen=st.booleans(),
    )
    def check(seconds, stage, is_vetoed, is_frozen):
        now = START + timedelta(seconds=seconds)
        freezes = (Freeze(now.weekday(), 0, 24),) if is_frozen else ()
        share = get_share(
            PLAN, now, stage=stage, is_vetoed=is_vetoed, is_completed=False, freezes=freezes
        )
        assert 0.0 <= share <= STAGE_CAPS[stage] <= FINAL_SHARE
        if is_vetoed or is_frozen or seconds < 0:
            assert share == 0.0

    check()


@then("the bound on chance is never below the true chance")
def check_tail(context):
    @seed(context.seed)
    @given(total=st.integers(1, 60), share=st.floats(0.01, 0.5), data=st.data())
    def check(total, share, data):
        count = data.draw(st.integers(0, total))
        probability = 1.0
        exact = 0.0
        for hits in range(total + 1):
            probability = _binomial(total, hits, share)
            exact += probability if hits >= count else 0.0
        assert bound_tail(count, total, share) >= exact - 1e-9

    check()


def _binomial(total, hits, share):
    return comb(total, hits) * share**hits * (1 - share) ** (total - hits)


@then("no datagram, record or section, however broken, raises or changes a store")
def check_bad_input(context):
    @seed(context.seed)
    @given(data=st.binary(max_size=200), flip=st.integers(0, 10_000))
    def check(data, flip):
        decode(Datagram, data)
        decode_member(data)
        whole = bytearray(encode_member(make_member()))
        whole[flip % len(whole)] ^= 1 + flip % 255
        decode_member(bytes(whole))

    check()
    json_values = st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
        max_leaves=8,
    )

    @seed(context.seed)
    @given(content=json_values)
    def check_section(content):
        parsed = parse_section("web-shop", 1, content)
        assert parsed.is_ok() or all(error.startswith("web-shop") for error in parsed.err_value)

    check_section()


@then("a member's newest incarnation wins, and the worse status of the same one")
def check_member_order(context):
    random = Random(context.seed)
    for _ in range(200):
        one = make_member(incarnation=random.randrange(5), status=random.choice(list(MemberStatus)))
        other = make_member(
            incarnation=random.randrange(5), status=random.choice(list(MemberStatus))
        )
        is_newer = (one.incarnation, one.status) > (other.incarnation, other.status)
        assert (one.fact_version > other.fact_version) == is_newer
        assert decode_member(encode_member(one)).unwrap() == one
