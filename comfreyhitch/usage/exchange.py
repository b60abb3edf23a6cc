"""Send the counts of each daemon to the candidates, and merge those of other daemons."""

import logging
from collections.abc import Callable
from copy import deepcopy
from dataclasses import dataclass, field

import gevent

from comfreyhitch.usage.calls import CandidateAnswer
from comfreyhitch.usage.counts import (
    CLOSED_FOR_EVER,
    CountsByAccount,
    SourceId,
    UsageTable,
    compute_checksum,
    find_unsent,
    merge_counts,
    merge_source,
    remove_old_windows,
)
from comfreyhitch.usage.duty import Duty
from comfreyhitch.usage.messages import (
    make_record_message,
    make_source_message,
    parse_record_message,
    parse_source_message,
)
from comfreyhitch.usage.models import DutyTerms
from comfreyhitch.usage.true_time import TrueTime, get_window
from comfreyhitch.wire.connections import PeerPool, call_peer
from comfreyhitch.wire.exceptions import PeerError
from comfreyhitch.wire.generated.ttypes import SourceUsage, UsageAnswer, UsageDigest

logger = logging.getLogger(__name__)

PUSH_TIMEOUT_SECONDS = 0.8
QUERY_TIMEOUT_SECONDS = 0.6
# Of a daemon that receives no counts.
NEVER_COMPLETE = 2**62


@dataclass(slots=True)
class SentCounts:
    """Hold what one candidate process has acknowledged."""

    boot_id: str
    counts_by_window: dict[int, CountsByAccount] = field(default_factory=dict)
    closed_through: int = -1


@dataclass(slots=True)
class UsageService:
    """Hold the counts of a daemon and its part in the duty of reporting them."""

    table: UsageTable
    true_time: TrueTime
    terms: DutyTerms
    pool: PeerPool
    own_address: str
    list_candidates: Callable[[], list[str]]
    duty: Duty | None = None
    sent_by_address: dict[str, SentCounts] = field(default_factory=dict)
    # Messages that have no answer yet.
    pushes_by_address: dict[str, gevent.Greenlet] = field(default_factory=dict)
    # Whether the last counts have been sent, and no more will follow.
    is_closed: bool = False

    @property
    def current_window(self) -> int:
        """Return the number of the current window."""
        return get_window(self.true_time.now(), self.terms.window_seconds)


def push_counts(
    service: UsageService, timeout_seconds: float = PUSH_TIMEOUT_SECONDS
) -> list[gevent.Greenlet]:
    """Start to send the counts that have changed to each candidate.

    A candidate that has not answered the message before is left out, and delays no other.
    """
    current = service.current_window
    closed_through = CLOSED_FOR_EVER if service.is_closed else current - 1
    service.table.own.closed_through = closed_through
    remove_old_windows(service.table, current)
    addresses = [item for item in service.list_candidates() if item != service.own_address]
    for address in service.sent_by_address.keys() - set(addresses):
        del service.sent_by_address[address]
    pushes_by_address = service.pushes_by_address
    for address, push in list(pushes_by_address.items()):
        if push.dead:
            del pushes_by_address[address]
    for address in addresses:
        if address not in pushes_by_address:
            push = gevent.spawn(_push_to, service, address, timeout_seconds)
            pushes_by_address[address] = push
    return list(pushes_by_address.values())


def receive_counts(service: UsageService, message: SourceUsage) -> None:
    """Merge the counts that a daemon has sent."""
    _merge_message(service, message, service.true_time.read_boot())


def answer_usage_query(service: UsageService, window: int, known: list[UsageDigest]) -> UsageAnswer:
    """Return the counts of a window that differ from the known ones, and the latest record."""
    known_by_source = {(item.address, item.boot_id): item.checksum for item in known}
    sources = []
    for source_id, source in service.table.sources_by_id.items():
        counts = source.counts_by_window.get(window)
        if not counts or known_by_source.get(source_id) == compute_checksum(counts):
            continue
        sources.append(make_source_message(source_id, {window: counts}, source.closed_through))
    lease = None if service.duty is None else service.duty.lease
    is_record_sure = lease is not None and lease.record is not None and not lease.is_from_copy
    record = make_record_message(lease.record) if is_record_sure else None
    return UsageAnswer(service.table.complete_since, sources, record)


def ask_candidates(service: UsageService, window: int) -> list[CandidateAnswer]:
    """Merge the counts of a window that other candidates hold, and return what else they know."""
    digests = [
        UsageDigest(*source_id, compute_checksum(counts))
        for source_id, source in service.table.sources_by_id.items()
        if (counts := source.counts_by_window.get(window))
    ]
    addresses = [item for item in service.list_candidates() if item != service.own_address]
    queries = [gevent.spawn(_query, service, item, window, digests) for item in addresses]
    gevent.joinall(queries)
    answers = [query.value for query in queries if query.value is not None]
    for answer in answers:
        for source in answer.sources:
            _merge_message(service, source, 0.0)
    return [
        CandidateAnswer(
            answer.complete_since,
            None if answer.record is None else parse_record_message(answer.record),
        )
        for answer in answers
    ]


def _merge_message(service: UsageService, message: SourceUsage, heard_at: float) -> None:
    source_id: SourceId = (message.address, message.boot_id)
    if source_id == service.table.own_id:
        return
    received = parse_source_message(message, heard_at)
    if not merge_source(service.table, source_id, received, service.current_window):
        logger.warning("usage counts are ignored; there are too many sources")


def _push_to(service: UsageService, address: str, timeout_seconds: float) -> None:
    own = service.table.own
    sent = service.sent_by_address.get(address)
    counts = find_unsent(own.counts_by_window, {} if sent is None else sent.counts_by_window)
    has_closed = sent is None or sent.closed_through < own.closed_through
    if not counts and not (has_closed and own.counts_by_window):
        return
    counts = deepcopy(counts)
    closed_through = own.closed_through
    message = make_source_message(service.table.own_id, counts, closed_through)
    try:
        boot_id = call_peer(
            service.pool, address, timeout_seconds, lambda client: client.push_usage(message)
        )
    except PeerError as error:
        logger.debug("usage counts were not sent", extra={"peer": address, "error": str(error)})
        return
    if sent is None or sent.boot_id != boot_id:
        is_restarted = sent is not None
        sent = service.sent_by_address[address] = SentCounts(boot_id)
        if is_restarted:
            # A process that has started since lacks what the earlier one has acknowledged.
            return
    sent.closed_through = closed_through
    for window in sent.counts_by_window.keys() - own.counts_by_window.keys():
        del sent.counts_by_window[window]
    for window, changed in counts.items():
        merge_counts(sent.counts_by_window.setdefault(window, {}), changed)


def _query(
    service: UsageService, address: str, window: int, digests: list[UsageDigest]
) -> UsageAnswer | None:
    try:
        return call_peer(
            service.pool,
            address,
            QUERY_TIMEOUT_SECONDS,
            lambda client: client.get_usage(window, digests),
        )
    except PeerError as error:
        logger.info(
            "candidate was not asked for usage counts",
            extra={"peer": address, "error": str(error)},
        )
        return None
