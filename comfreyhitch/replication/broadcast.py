"""Propagate new facts in datagrams: immediately to a few peers, then piggybacked on probes."""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil, log2
from random import Random

import gevent

from comfreyhitch.replication.facts import (
    EPHEMERAL_KINDS,
    FactId,
    FactKind,
    FactStore,
    StoredFact,
    make_fact_head,
    make_fact_message,
)
from comfreyhitch.replication.peers import Peers, choose_receivers
from comfreyhitch.wire.generated.ttypes import Fact, FactHead

# Every daemon follows documents in the platform's store, so new ones are only announced to a
# few peers: as many as are needed for nearly all to hear of them if their own watches are broken.
DOCUMENT_FANOUT = 4
# The readers of a zone announce a document once more, to all daemons of their zone. By then nearly
# all have it, so that few fetch it from a reader.
DOCUMENT_REPEAT_SECONDS = 0.7
# A datagram of this size is not fragmented on common links.
MAX_DATAGRAM_BYTES = 1200
DATAGRAM_OVERHEAD_BYTES = 120
FACT_OVERHEAD_BYTES = 48
# Facts with larger values are only announced in datagrams, and fetched over TCP.
MAX_INLINE_BYTES = 600
# How often a fact is piggybacked, per doubling of the number of peers.
TRANSMISSIONS_PER_LOG = 1
MAX_PIGGYBACKED_FACTS = 16


@dataclass(slots=True)
class Broadcaster:
    """Hold the facts to piggyback on datagrams, and how often each was sent."""

    store: FactStore
    random: Random
    send: Callable[[str, list[Fact], list[FactHead]], None]
    get_peers: Callable[[], Peers]
    # Returns whether this daemon is a reader of its zone.
    is_reader: Callable[[], bool] = lambda: False
    # Calls a function after some seconds.
    call_later: Callable[[float, Callable[[], None]], object] = gevent.spawn_later
    sent_counts_by_id: dict[FactId, int] = field(default_factory=dict)
    # Documents that are announced once more soon.
    repeated_ids: set[FactId] = field(default_factory=set)

    @classmethod
    def from_store(
        cls,
        store: FactStore,
        random: Random,
        send: Callable[[str, list[Fact], list[FactHead]], None],
        get_peers: Callable[[], Peers],
        is_reader: Callable[[], bool],
    ) -> "Broadcaster":
        """Return a broadcaster with no facts to send."""
        return cls(store, random, send, get_peers, is_reader)


def propagate_facts(
    broadcaster: Broadcaster, facts: list[StoredFact], *, is_from_peer: bool
) -> None:
    """Send new facts to peers immediately, and queue them for later datagrams.

    In a small fleet only the daemon where a fact originates sends it; in a large one each
    receiver forwards it. Anti-entropy replaces facts that were lost.
    """
    durable_facts = [fact for fact in facts if fact.kind not in EPHEMERAL_KINDS]
    documents = [fact for fact in durable_facts if fact.kind is FactKind.DOCUMENT]
    _repeat_later(broadcaster, documents)
    receivers = choose_receivers(
        broadcaster.get_peers(), broadcaster.random, is_from_peer=is_from_peer
    )
    if not receivers:
        return
    others = [fact for fact in durable_facts if fact.kind is not FactKind.DOCUMENT]
    for fact in durable_facts:
        broadcaster.sent_counts_by_id[fact.fact_id] = 0
    if others:
        for address in receivers:
            send_facts(broadcaster, address, others)
    if documents:
        heads = [make_fact_head(fact) for fact in documents]
        for address in broadcaster.random.sample(receivers, min(DOCUMENT_FANOUT, len(receivers))):
            broadcaster.send(address, [], heads)


def _repeat_later(broadcaster: Broadcaster, documents: list[StoredFact]) -> None:
    """Announce documents to all daemons of the zone after a pause, if this daemon is a reader."""
    if not documents or not broadcaster.is_reader():
        return
    if not broadcaster.repeated_ids:
        broadcaster.call_later(DOCUMENT_REPEAT_SECONDS, lambda: _repeat(broadcaster))
    broadcaster.repeated_ids.update(fact.fact_id for fact in documents)


def _repeat(broadcaster: Broadcaster) -> None:
    stored = broadcaster.store.facts_by_id
    facts = [stored[fact_id] for fact_id in broadcaster.repeated_ids if fact_id in stored]
    broadcaster.repeated_ids.clear()
    for address in broadcaster.get_peers().same_zone:
        send_facts(broadcaster, address, facts)


def send_facts(broadcaster: Broadcaster, address: str, facts: list[StoredFact]) -> None:
    """Send facts to one peer, in several datagrams if needed."""
    remaining = list(facts)
    while remaining:
        inline, heads, packed_count = _pack_datagram(broadcaster, remaining)
        remaining = remaining[packed_count:]
        broadcaster.send(address, inline, heads)


def take_piggybacked_facts(broadcaster: Broadcaster) -> tuple[list[Fact], list[FactHead]]:
    """Return the facts and heads for the next datagram, starting with those sent least often."""
    counts = broadcaster.sent_counts_by_id
    limit = TRANSMISSIONS_PER_LOG * ceil(log2(len(broadcaster.get_peers().all) + 2))
    facts = []
    for fact_id in sorted(counts, key=counts.__getitem__)[:MAX_PIGGYBACKED_FACTS]:
        fact = broadcaster.store.facts_by_id.get(fact_id)
        if fact is not None:
            facts.append(fact)
    inline, heads, packed_count = _pack_datagram(broadcaster, facts)
    for fact in facts[:packed_count]:
        counts[fact.fact_id] += 1
    for fact_id in [item for item, count in counts.items() if count >= limit]:
        del counts[fact_id]
    return inline, heads


def _pack_datagram(
    broadcaster: Broadcaster, facts: list[StoredFact]
) -> tuple[list[Fact], list[FactHead], int]:
    now = broadcaster.store.clock.now()
    inline: list[Fact] = []
    heads: list[FactHead] = []
    size = DATAGRAM_OVERHEAD_BYTES
    for index, fact in enumerate(facts):
        is_inline = fact.kind is not FactKind.DOCUMENT and len(fact.value) <= MAX_INLINE_BYTES
        size += FACT_OVERHEAD_BYTES + len(fact.key) + (len(fact.value) if is_inline else 0)
        if size > MAX_DATAGRAM_BYTES and index > 0:
            return inline, heads, index
        if is_inline:
            inline.append(make_fact_message(fact, now))
        else:
            heads.append(make_fact_head(fact))
    return inline, heads, len(facts)
