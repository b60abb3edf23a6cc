"""Anti-entropy sync between two daemons over TCP."""

import logging

from comfreyhitch.replication.facts import (
    FactStore,
    get_bucket_facts,
    get_facts,
    is_newer,
    make_digests,
    make_fact_head,
    make_fact_message,
    merge_facts,
    parse_fact_messages,
)
from comfreyhitch.wire.connections import PeerPool, call_peer
from comfreyhitch.wire.exceptions import PeerError
from comfreyhitch.wire.generated.ttypes import ExchangeAnswer, Fact, FactHead

logger = logging.getLogger(__name__)

SYNC_TIMEOUT_SECONDS = 3.0
MAX_EXCHANGE_BYTES = 4 * 1024 * 1024


def sync_with_peer(store: FactStore, pool: PeerPool, address: str) -> bool:
    """Exchange differing facts with a peer both ways, and return whether it answered every call."""
    try:
        compared = call_peer(
            pool, address, SYNC_TIMEOUT_SECONDS, lambda peer: peer.compare(make_digests(store))
        )
        buckets = compared.differing_buckets
        if not buckets:
            return True
        heads = [make_fact_head(fact) for fact in get_bucket_facts(store, buckets)]
        exchanged = call_peer(
            pool, address, SYNC_TIMEOUT_SECONDS, lambda peer: peer.exchange(buckets, heads)
        )
        merge_facts(store, parse_fact_messages(store, exchanged.newer), is_from_peer=True)
        if exchanged.wanted:
            facts = _make_messages(store, exchanged.wanted)
            call_peer(pool, address, SYNC_TIMEOUT_SECONDS, lambda peer: peer.push(facts))
    except PeerError as error:
        logger.debug("sync with a peer failed", extra={"peer": address, "error": str(error)})
        return False
    return True


def answer_exchange(store: FactStore, buckets: list[int], heads: list[FactHead]) -> ExchangeAnswer:
    """Return the facts that a peer lacks, and the heads of its facts that this daemon wants."""
    versions_by_id = {(head.kind, head.key): head.version for head in heads}
    lacking = [
        make_fact_head(fact)
        for fact in get_bucket_facts(store, buckets)
        if fact.version > versions_by_id.get(fact.fact_id, -1)
    ]
    return ExchangeAnswer(
        newer=_make_messages(store, lacking),
        wanted=[head for head in heads if is_newer(store, head)],
    )


def fetch_facts(store: FactStore, pool: PeerPool, address: str, heads: list[FactHead]) -> None:
    """Fetch facts from the peer that announced them, unless they are stored already."""
    wanted = [head for head in heads if is_newer(store, head)]
    if not wanted:
        return
    try:
        facts = call_peer(pool, address, SYNC_TIMEOUT_SECONDS, lambda peer: peer.fetch(wanted))
    except PeerError as error:
        logger.debug("fetch from a peer failed", extra={"peer": address, "error": str(error)})
        return
    merge_facts(store, parse_fact_messages(store, facts), is_from_peer=True)


def _make_messages(store: FactStore, heads: list[FactHead]) -> list[Fact]:
    now = store.clock.now()
    messages = []
    size = 0
    for fact in get_facts(store, heads):
        size += len(fact.value)
        if messages and size > MAX_EXCHANGE_BYTES:
            break
        messages.append(make_fact_message(fact, now))
    return messages
