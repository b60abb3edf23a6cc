"""Test how facts and member records are merged, and that decoding invalid input raises nothing."""

from random import Random

from behave import then
from hypothesis import given, seed
from hypothesis import strategies as st

from comfreyhitch.membership.models import (
    MemberStatus,
    decode_member,
    encode_member,
)
from comfreyhitch.replication.facts import FactKind, FactStore, StoredFact, merge_facts
from comfreyhitch.sections.parsing import parse_section
from comfreyhitch.wire.codec import decode
from comfreyhitch.wire.generated.ttypes import Datagram
from features.fakes import FakeClock, make_member

FACTS = st.builds(
    StoredFact,
    st.sampled_from([FactKind.SECTION, FactKind.VETO, FactKind.MEMBER]),
    st.sampled_from(["a", "b", "c"]),
    st.integers(1, 4),
    st.sampled_from([b"x", b"y"]),
)


@then("daemons that received the same facts in any order store the same, and no version decreases")
def check_merge(context):
    @seed(context.seed)
    @given(facts=st.lists(FACTS, max_size=30), data=st.data())
    def check(facts, data):
        shuffled = data.draw(st.permutations(facts))
        one = FactStore.from_clock(FakeClock().make_clock())
        other = FactStore.from_clock(FakeClock().make_clock())
        versions = {}
        for fact in facts:
            merge_facts(one, [fact])
            stored_version = one.facts_by_id[fact.fact_id].version
            assert stored_version >= versions.get(fact.fact_id, 0)
            versions[fact.fact_id] = stored_version
        merge_facts(other, shuffled)
        merge_facts(other, shuffled)
        assert one.facts_by_id == other.facts_by_id
        assert one.checksums == other.checksums

    check()


@then("no datagram, record or section, however invalid, raises an exception when decoded")
def check_bad_input(context):
    @seed(context.seed)
    @given(data=st.binary(max_size=200), flip=st.integers(0, 10_000))
    def check(data, flip):
        decode(Datagram, data)
        decode_member(data)
        encoded = bytearray(encode_member(make_member()))
        encoded[flip % len(encoded)] ^= 1 + flip % 255
        decode_member(bytes(encoded))

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


@then("a member's newest incarnation wins, and the worse status within one incarnation")
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
