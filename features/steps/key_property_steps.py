"""Properties of idempotency keys and of their registrars."""

from behave import then
from hypothesis import given, seed
from hypothesis import strategies as st

from comfreyhitch.idempotency.registrars import RegistrarRing, choose_registrars, get_majority
from comfreyhitch.idempotency.registry import Claim, ClaimRegistry, remove_claim, write_claim
from features.fakes import make_member


@then(
    "a key's registrars are spread over zones, and a majority stays when one member joins or leaves"
)
def check_remaining_majority(context):
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
        previous_addresses = {item.address for item in before}
        # A new registrar recovers the claims from the previous ones, so a majority of them has to
        # remain.
        retained = [item for item in after if item.address in previous_addresses]
        if len(before) == len(after) == 3:
            assert len(retained) >= get_majority(3)

    check()


def _get_registrar_set(members, key):
    return choose_registrars(RegistrarRing.from_members("payments", members), key)


@then("a registrar grants a key to one claim at a time, in whatever order claims and releases come")
def check_single_grant(context):
    @seed(context.seed)
    @given(
        operations=st.lists(
            st.tuples(
                st.sampled_from(["claim", "release"]), st.sampled_from("abc"), st.integers(0, 2)
            ),
            max_size=40,
        )
    )
    def check(operations):
        registry = ClaimRegistry.from_retention(600.0)
        holder = None
        for action, claim_id, claim_round in operations:
            if action == "release":
                remove_claim(registry, "s", claim_id, claim_round)
                if holder is not None and holder[0] == claim_id and holder[1] <= claim_round:
                    holder = None
                continue
            claim = Claim("s", "payments", claim_id, "o", "b", "f", 0.0, claim_round)
            stored = write_claim(registry, claim, None)
            if holder is None or holder[0] == claim_id:
                # A late message of an earlier round does not lower the round.
                holder = (claim_id, max(claim_round, holder[1] if holder else 0))
            assert (stored.claim_id, stored.round) == holder

    check()
