"""SWIM failure detector over UDP.

A daemon pings one member per round. If the member does not acknowledge, the daemon asks a
few peers to ping it as well. A member that acknowledges none of these pings is suspected,
and is declared unreachable unless it refutes the suspicion in time.
"""

import itertools
import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from datetime import timedelta
from math import log2
from random import Random

import gevent
import gevent.socket
from gevent.event import Event
from result import Err, Ok

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.membership.models import (
    STATUS_COUNT,
    Member,
    MemberStatus,
    decode_member,
    encode_member,
)
from comfreyhitch.membership.queries import group_reachable_peers, list_reachable_peers
from comfreyhitch.replication.broadcast import Broadcaster, send_facts, take_piggybacked_facts
from comfreyhitch.replication.facts import (
    FactKind,
    FactStore,
    StoredFact,
    merge_facts,
    parse_fact_messages,
)
from comfreyhitch.replication.peers import choose_probe_order
from comfreyhitch.telemetry.metrics import ControlMetrics
from comfreyhitch.wire.codec import decode, encode
from comfreyhitch.wire.generated.ttypes import Datagram, DatagramKind, Fact, FactHead
from comfreyhitch.wire.sockets import is_address, split_address

logger = logging.getLogger(__name__)

INDIRECT_PROBE_PEERS = 3
DIRECT_PROBE_SHARE = 0.4
SUSPICION_TIMEOUT_INTERVALS = 3
UNREACHABLE_RECORD_LIFETIME = timedelta(hours=6)
LEFT_RECORD_LIFETIME = timedelta(minutes=15)
UNREACHABLE_PROBE_INTERVALS = 5
MAX_DATAGRAM_BYTES = 65_535
DOCUMENT_FETCH_DELAY_SECONDS = 0.1


@dataclass(slots=True)
class FailureDetector:
    """Hold the pending probes and the suspected members."""

    blackboard: Blackboard
    store: FactStore
    sock: gevent.socket.socket
    interval: timedelta
    random: Random
    metrics: ControlMetrics
    fetch: Callable[[str, list[FactHead]], None]
    broadcaster: Broadcaster | None = None
    sequences: Iterator[int] = field(default_factory=itertools.count)
    acks_by_sequence: dict[int, Event] = field(default_factory=dict)
    suspected_at_by_address: dict[str, float] = field(default_factory=dict)
    probe_order: list[str] = field(default_factory=list)
    rounds: int = 0
    # Direct probes in a row that got no answer.
    unanswered_probes: int = 0


def receive_datagrams(detector: FailureDetector) -> None:
    """Handle datagrams until the socket is closed."""
    while True:
        data, _ = detector.sock.recvfrom(MAX_DATAGRAM_BYTES)
        try:
            _process_datagram(detector, data)
        except Exception:
            # Continue with the next datagram: peers would declare a daemon unreachable that stops
            # acknowledging probes.
            logger.exception("datagram could not be handled")


def _process_datagram(detector: FailureDetector, data: bytes) -> None:
    match decode(Datagram, data):
        case Ok(datagram) if is_address(datagram.sender):
            _handle_datagram(detector, datagram)
        case Ok(datagram):
            logger.warning("refused a datagram", extra={"reason": "bad sender"})
        case Err(reason):
            logger.warning("refused a datagram", extra={"reason": reason})


def send_facts_datagram(
    detector: FailureDetector, address: str, facts: list[Fact], heads: list[FactHead]
) -> None:
    """Send facts to a peer in a datagram that needs no acknowledgement."""
    _send(detector, address, DatagramKind.ACK, -1, None, facts, heads)


def run_probe_round(detector: FailureDetector) -> None:
    """Probe the next member, and declare suspects unreachable after the suspicion timeout."""
    detector.rounds += 1
    _expire_suspicions(detector)
    address = _get_next_address(detector)
    if address is not None:
        gevent.spawn(_probe, detector, address)
    if detector.rounds % UNREACHABLE_PROBE_INTERVALS == 0:
        _probe_unreachable(detector)


def publish_own_record(detector: FailureDetector, **changes: object) -> None:
    """Apply changes to the daemon's own record, and publish it at a higher incarnation."""
    own = detector.blackboard.own_member
    # The stored record may be that of an earlier process, whose clock was ahead.
    stored = detector.store.facts_by_id.get((FactKind.MEMBER, own.address))
    incarnation = own.incarnation
    if stored is not None:
        incarnation = max(incarnation, stored.version // STATUS_COUNT)
    now_ms = int(detector.blackboard.clock.now().timestamp() * 1000)
    changed = replace(own, incarnation=max(incarnation + 1, now_ms), **changes)
    lifetime = LEFT_RECORD_LIFETIME if changed.status is MemberStatus.LEFT else None
    fact = make_member_fact(detector, changed, lifetime)
    # An invalid record must not become this daemon's own: no later one could be published.
    decode_member(fact.value).unwrap()
    detector.blackboard.own_member = changed
    merge_facts(detector.store, [fact])


def make_member_fact(
    detector: FailureDetector, member: Member, lifetime: timedelta | None
) -> StoredFact:
    """Return the fact that carries a member record."""
    expires_at = None if lifetime is None else detector.blackboard.clock.now() + lifetime
    return StoredFact(
        FactKind.MEMBER, member.address, member.fact_version, encode_member(member), expires_at
    )


def refute_if_needed(detector: FailureDetector, member: Member) -> None:
    """Publish this daemon's record at a higher incarnation if a peer holds a later version.

    The later version comes from a peer that suspects this daemon or declared it unreachable,
    or from an earlier process at the same address.
    """
    own = detector.blackboard.own_member
    if member.address != own.address or own.status is MemberStatus.LEFT:
        return
    if member.fact_version > own.fact_version:
        publish_own_record(detector)


def update_suspicion(detector: FailureDetector, member: Member) -> None:
    """Start or end the suspicion of a member according to its newest record."""
    if member.status is MemberStatus.SUSPECT:
        now = detector.blackboard.clock.monotonic()
        detector.suspected_at_by_address.setdefault(member.address, now)
    else:
        detector.suspected_at_by_address.pop(member.address, None)


def _handle_datagram(detector: FailureDetector, datagram: Datagram) -> None:
    merge_facts(
        detector.store, parse_fact_messages(detector.store, datagram.facts), is_from_peer=True
    )
    if datagram.heads:
        delay = _get_fetch_delay(datagram.heads)
        gevent.spawn_later(delay, detector.fetch, datagram.sender, datagram.heads)
    if datagram.kind == DatagramKind.PING:
        _send_own_record_if_unknown(detector, datagram.sender)
        _send_piggybacked(detector, datagram.sender, DatagramKind.ACK, datagram.sequence)
    elif datagram.kind == DatagramKind.ACK:
        acknowledged = detector.acks_by_sequence.get(datagram.sequence)
        if acknowledged is not None:
            acknowledged.set()
    elif datagram.kind == DatagramKind.PING_REQUEST and is_address(datagram.subject or ""):
        gevent.spawn(_answer_ping_request, detector, datagram)


def _get_fetch_delay(heads: list[FactHead]) -> float:
    # Each daemon follows documents in the store, so that most have arrived from there by the
    # end of the delay and need not be fetched from the peer.
    contains_only_documents = all(head.kind == FactKind.DOCUMENT for head in heads)
    return DOCUMENT_FETCH_DELAY_SECONDS if contains_only_documents else 0.0


def _send_own_record_if_unknown(detector: FailureDetector, address: str) -> None:
    """Send this daemon's record to a peer that is missing from its member list.

    Such a peer may not know this daemon either.
    """
    if address in detector.blackboard.members_by_address or detector.broadcaster is None:
        return
    own = detector.store.facts_by_id.get((FactKind.MEMBER, detector.blackboard.own_member.address))
    if own is not None:
        send_facts(detector.broadcaster, address, [own])


def _get_next_address(detector: FailureDetector) -> str | None:
    while True:
        if not detector.probe_order:
            peers = group_reachable_peers(detector.blackboard)
            detector.probe_order = choose_probe_order(peers, detector.random)
            if not detector.probe_order:
                return None
        address = detector.probe_order.pop()
        member = detector.blackboard.members_by_address.get(address)
        if member is not None and member.is_reachable:
            return address


def _probe(detector: FailureDetector, address: str) -> None:
    started_at = detector.blackboard.clock.monotonic()
    interval_seconds = detector.interval.total_seconds()
    if _ping(detector, address, interval_seconds * DIRECT_PROBE_SHARE):
        detector.unanswered_probes = 0
        return
    detector.unanswered_probes += 1
    peers = [item for item in list_reachable_peers(detector.blackboard) if item != address]
    relays = detector.random.sample(peers, min(INDIRECT_PROBE_PEERS, len(peers)))
    sequence, acknowledged = _expect_ack(detector)
    for relay in relays:
        _send(detector, relay, DatagramKind.PING_REQUEST, sequence, address, [], [])
    # Repeats the direct probe, since a single datagram may have been lost.
    _send_piggybacked(detector, address, DatagramKind.PING, sequence)
    is_alive = acknowledged.wait(interval_seconds)
    detector.acks_by_sequence.pop(sequence, None)
    if not is_alive and not _has_answered_since(detector, address, started_at):
        _suspect(detector, address)


def _answer_ping_request(detector: FailureDetector, request: Datagram) -> None:
    if _ping(detector, request.subject, detector.interval.total_seconds() * DIRECT_PROBE_SHARE):
        _send_piggybacked(detector, request.sender, DatagramKind.ACK, request.sequence)


def _probe_unreachable(detector: FailureDetector) -> None:
    unreachable = [
        member
        for member in detector.blackboard.members_by_address.values()
        if member.status is MemberStatus.UNREACHABLE
    ]
    if not unreachable:
        return
    member = detector.random.choice(unreachable)
    fact = detector.store.facts_by_id.get((FactKind.MEMBER, member.address))
    if fact is not None and detector.broadcaster is not None:
        # Tells the member that it was declared unreachable, so that it can refute that.
        send_facts(detector.broadcaster, member.address, [fact])
    _send_piggybacked(detector, member.address, DatagramKind.PING, next(detector.sequences))


def _ping(detector: FailureDetector, address: str, timeout_seconds: float) -> bool:
    sequence, acknowledged = _expect_ack(detector)
    _send_piggybacked(detector, address, DatagramKind.PING, sequence)
    is_acknowledged = acknowledged.wait(timeout_seconds)
    detector.acks_by_sequence.pop(sequence, None)
    return is_acknowledged


def _expect_ack(detector: FailureDetector) -> tuple[int, Event]:
    sequence = next(detector.sequences)
    acknowledged = detector.acks_by_sequence[sequence] = Event()
    return sequence, acknowledged


def _has_answered_since(detector: FailureDetector, address: str, since: float) -> bool:
    view = detector.blackboard.views_by_address.get(address)
    return view is not None and view.reported_at >= since


def _suspect(detector: FailureDetector, address: str) -> None:
    member = detector.blackboard.members_by_address.get(address)
    if member is None or member.status is not MemberStatus.ALIVE:
        return
    logger.info("member is suspected", extra={"member": address})
    suspected = replace(member, status=MemberStatus.SUSPECT)
    merge_facts(detector.store, [make_member_fact(detector, suspected, None)])


def _expire_suspicions(detector: FailureDetector) -> None:
    now = detector.blackboard.clock.monotonic()
    timeout_seconds = _get_suspicion_seconds(detector)
    for address, suspected_at in list(detector.suspected_at_by_address.items()):
        member = detector.blackboard.members_by_address.get(address)
        if member is None or member.status is not MemberStatus.SUSPECT:
            del detector.suspected_at_by_address[address]
        elif _has_answered_since(detector, address, suspected_at):
            continue
        elif now - suspected_at > timeout_seconds:
            _declare_unreachable(detector, member)


def _get_suspicion_seconds(detector: FailureDetector) -> float:
    scale = max(1.0, log2(len(detector.blackboard.members_by_address) + 1) / 2)
    return SUSPICION_TIMEOUT_INTERVALS * scale * detector.interval.total_seconds()


def _declare_unreachable(detector: FailureDetector, member: Member) -> None:
    logger.warning("member is unreachable", extra={"member": member.address})
    unreachable = replace(member, status=MemberStatus.UNREACHABLE)
    fact = make_member_fact(detector, unreachable, UNREACHABLE_RECORD_LIFETIME)
    merge_facts(detector.store, [fact])


def _send_piggybacked(detector: FailureDetector, address: str, kind: int, sequence: int) -> None:
    facts, heads = ([], [])
    if detector.broadcaster is not None:
        facts, heads = take_piggybacked_facts(detector.broadcaster)
    _send(detector, address, kind, sequence, None, facts, heads)


def _send(
    detector: FailureDetector,
    address: str,
    kind: int,
    sequence: int,
    subject: str | None,
    facts: list[Fact],
    heads: list[FactHead],
) -> None:
    sender = detector.blackboard.own_member.address
    data = encode(Datagram(kind, sequence, sender, subject, facts, heads))
    try:
        detector.sock.sendto(data, split_address(address))
    except OSError as error:
        logger.debug("datagram was not sent", extra={"peer": address, "error": str(error)})
        return
    detector.metrics.datagrams.inc({})
    detector.metrics.datagram_bytes.add({}, len(data))
