"""Answer the thrift calls of other daemons."""

from collections.abc import Callable
from dataclasses import dataclass

from result import Err
from thrift.Thrift import TException

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.core.held_bytes import (
    GiveWayError,
    describe_held_bytes,
    hold,
    make_room,
    release,
)
from comfreyhitch.core.verdicts import Failure, Outcome, Refusal, Verdict
from comfreyhitch.idempotency.claims import ClaimClient, handle_claim_request, store_outcomes
from comfreyhitch.idempotency.recovery import list_claims_for_registrar
from comfreyhitch.idempotency.registry import remove_claim
from comfreyhitch.ingress.call_handler import handle_call
from comfreyhitch.ingress.fence import handle_fence_query
from comfreyhitch.ingress.load_reports import make_load_report
from comfreyhitch.ingress.models import IncomingCall, make_answer
from comfreyhitch.ingress.state import Ingress
from comfreyhitch.replication.facts import (
    FactStore,
    find_differing_buckets,
    get_facts,
    make_fact_message,
    merge_facts,
    parse_fact_messages,
)
from comfreyhitch.replication.sync import answer_exchange
from comfreyhitch.usage.exchange import (
    NEVER_COMPLETE,
    UsageService,
    answer_usage_query,
    receive_counts,
)
from comfreyhitch.wire.following_bodies import is_following
from comfreyhitch.wire.generated import Peer
from comfreyhitch.wire.generated.ttypes import (
    BucketDigest,
    CallAnswer,
    CallRequest,
    ClaimAnswer,
    ClaimOutcome,
    ClaimRequest,
    ExchangeAnswer,
    Fact,
    FactHead,
    FenceAnswer,
    FenceQuery,
    Greeting,
    SourceUsage,
    SyncAnswer,
    UsageAnswer,
    UsageDigest,
)
from comfreyhitch.wire.transports import PeerTransport

# Each part of a body that follows its message has to arrive within this time.
BODY_PART_SECONDS = 5.0


@dataclass(slots=True)
class PeerServices:
    """Hold the parts of a daemon that handle calls of peers."""

    blackboard: Blackboard
    ingress: Ingress
    claims: ClaimClient
    store: FactStore
    usage: UsageService | None = None


class PeerHandler(Peer.Iface):
    """Handle the calls on one connection."""

    def __init__(self, services: PeerServices, transport: PeerTransport) -> None:
        self._services = services
        self._transport = transport

    def greet(self, caller: str) -> Greeting:
        """Return the boot id of this daemon and the load of its target."""
        services = self._services
        load = make_load_report(services.ingress)
        return Greeting(
            boot_id=services.blackboard.own_member.boot_id,
            load=load,
            takes_following_bodies=True,
        )

    def call(self, request: CallRequest) -> CallAnswer:
        """Run a request at the target, or refuse it."""
        services = self._services
        now = services.blackboard.clock.monotonic()
        try:
            call = IncomingCall.from_wire(request, now, self._transport.handle)
        except ValueError as error:
            outcome = Err(Failure(Verdict.NOT_RUN, Refusal.BAD_REQUEST, str(error)))
            # A body that follows the message is not read, and must not be taken for another one.
            self._transport.is_ending = request.body_bytes is not None
        else:
            outcome = self._run(call, request.body_bytes)
        answer = make_answer(request.request_id, outcome, make_load_report(services.ingress))
        if is_following(answer.body) and request.takes_following_body:
            self._transport.send_body_next(answer.body)
            answer.body_bytes = len(answer.body)
            answer.body = b""
        else:
            answer.body = bytes(answer.body)
        return answer

    def _run(self, call: IncomingCall, body_bytes: int | None) -> Outcome:
        """Run a call, whose body follows its message if `body_bytes` is given."""
        held = self._services.blackboard.held_bytes
        if body_bytes is not None:
            failure = self._read_body(call, body_bytes)
            if failure is not None:
                # The rest of the request is not read.
                self._transport.is_ending = True
                return Err(failure)
        hold(held, call.holder, len(call.body))
        try:
            return handle_call(self._services.ingress, call)
        finally:
            release(held, call.holder)

    def _read_body(self, call: IncomingCall, size: int) -> Failure | None:
        """Read the body that follows a call, or return why it is refused."""
        limit_bytes = self._services.ingress.settings.body_limit_bytes
        if not 0 <= size <= limit_bytes:
            detail = f"body has {size} bytes of {limit_bytes}"
            return Failure(Verdict.NOT_RUN, Refusal.BODY_TOO_LARGE, detail)
        held = self._services.blackboard.held_bytes
        if not make_room(held, size):
            detail = describe_held_bytes(held, size)
            return Failure(Verdict.NOT_RUN, Refusal.OVERLOADED, detail)
        self._transport.limit_reads(BODY_PART_SECONDS, call.deadline)
        try:
            call.body = self._transport.read_body(size, call.deadline)
        except (OSError, EOFError, TException, GiveWayError) as error:
            detail = f"body did not arrive: {error!r}"
            return Failure(Verdict.NOT_RUN, Refusal.OVERLOADED, detail)
        finally:
            self._transport.limit_reads(None)
        return None

    def fence(self, query: FenceQuery) -> FenceAnswer:
        """Return the state of a request, and fence it if it has not started."""
        return handle_fence_query(self._services.ingress, query)

    def claim(self, request: ClaimRequest) -> ClaimAnswer:
        """Grant the claim on a key, or return who holds it."""
        return handle_claim_request(self._services.claims, request)

    def settle_claims(self, outcomes: list[ClaimOutcome]) -> None:
        """Store the outcomes of claims."""
        store_outcomes(self._services.claims, outcomes)

    def release_claim(self, request: ClaimRequest) -> None:
        """Remove a claim whose request did not run."""
        registry = self._services.claims.registry
        remove_claim(registry, request.scope, request.claim_id, request.round)

    def list_claims(self, registrar: str, offset: int) -> list[ClaimOutcome]:
        """Return a page of the claims that a registrar should hold."""
        return list_claims_for_registrar(self._services.claims, registrar, offset)

    def compare(self, digests: list[BucketDigest]) -> SyncAnswer:
        """Return the buckets whose digests differ from this daemon's."""
        return SyncAnswer(find_differing_buckets(self._services.store, digests))

    def exchange(self, buckets: list[int], heads: list[FactHead]) -> ExchangeAnswer:
        """Return the facts that the peer lacks, and the heads of those that this daemon lacks."""
        return answer_exchange(self._services.store, buckets, heads)

    def fetch(self, heads: list[FactHead]) -> list[Fact]:
        """Return the facts that the heads name."""
        store = self._services.store
        now = store.clock.now()
        return [make_fact_message(fact, now) for fact in get_facts(store, heads)]

    def push(self, facts: list[Fact]) -> None:
        """Merge facts of a peer."""
        store = self._services.store
        merge_facts(store, parse_fact_messages(store, facts), is_from_peer=True)

    def push_usage(self, source: SourceUsage) -> str:
        """Merge the counts of a process, and return the boot id of this daemon."""
        usage = self._services.usage
        if usage is not None:
            receive_counts(usage, source)
        return self._services.blackboard.own_member.boot_id

    def get_usage(self, window: int, known: list[UsageDigest]) -> UsageAnswer:
        """Return the counts of a window that differ from the known ones."""
        usage = self._services.usage
        if usage is None:
            return UsageAnswer(NEVER_COMPLETE, [])
        return answer_usage_query(usage, window, known)


def make_handler_factory(
    services: PeerServices,
) -> Callable[[PeerTransport], PeerHandler]:
    """Return the function that makes a handler for each connection."""

    def make_handler(transport: PeerTransport) -> PeerHandler:
        return PeerHandler(services, transport)

    return make_handler
