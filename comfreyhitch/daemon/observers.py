"""Apply newly merged facts to the blackboard."""

import logging
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

from result import Err, Ok, Result

from comfreyhitch.core.blackboard import Blackboard, CrashReport, Veto
from comfreyhitch.documents.applying import DecodersByKind, apply_document, validate_document_fact
from comfreyhitch.egress.eligibility import refresh_candidates
from comfreyhitch.egress.views import replace_view
from comfreyhitch.membership.detector import FailureDetector, refute_if_needed, update_suspicion
from comfreyhitch.membership.models import decode_member
from comfreyhitch.replication.facts import FactKind, FactStore, Observer, StoredFact, Validator
from comfreyhitch.rollouts.models import read_evidence_record
from comfreyhitch.rollouts.outcomes import refresh_rolled_back_versions
from comfreyhitch.wire.codec import decode
from comfreyhitch.wire.generated.ttypes import (
    CompletionRecord,
    CrashRecord,
    EvidenceRecord,
    SectionRecord,
    VetoRecord,
)

logger = logging.getLogger(__name__)

# The start of the year 9000, in seconds since 1970.
MAX_TIMESTAMP = 221_845_392_000.0
ELIGIBILITY_KINDS = frozenset(
    {
        FactKind.MEMBER,
        FactKind.SECTION,
        FactKind.VETO,
        FactKind.COMPLETION,
        FactKind.STAGE,
        FactKind.DOCUMENT,
    }
)

OUTCOME_KINDS = frozenset({FactKind.VETO, FactKind.COMPLETION})


def make_validators(decoders: DecodersByKind) -> dict[FactKind, Validator]:
    """Return the validators that facts of peers have to pass before they are merged."""
    return {
        FactKind.MEMBER: _validate_member,
        FactKind.SECTION: _validate_section,
        FactKind.VETO: _make_record_validator(VetoRecord, lambda record: record.vetoed_at),
        FactKind.COMPLETION: _make_record_validator(
            CompletionRecord, lambda record: record.completed_at
        ),
        FactKind.CRASH: _make_record_validator(CrashRecord, lambda record: record.reported_at),
        FactKind.EVIDENCE: _make_record_validator(EvidenceRecord, lambda record: 0.0),
        FactKind.STAGE: _validate_empty_value,
        FactKind.DEADLINE: _validate_empty_value,
        FactKind.DOCUMENT: lambda key, version, value: validate_document_fact(key, value, decoders),
    }


def make_blackboard_observer(
    blackboard: Blackboard,
    store: FactStore,
    detector: FailureDetector,
    decoders: DecodersByKind,
    on_documents: Callable[[], None],
) -> Observer:
    """Return the observer that keeps the blackboard up to date."""

    def observe(facts: list[StoredFact]) -> None:
        kinds = {fact.kind for fact in facts}
        for fact in facts:
            if fact.kind is FactKind.DOCUMENT:
                apply_document(blackboard, fact, decoders)
            else:
                _apply_fact(blackboard, detector, fact)
        if FactKind.SECTION in kinds:
            _apply_sections(blackboard, store)
        if FactKind.DOCUMENT in kinds:
            on_documents()
        if kinds & OUTCOME_KINDS:
            refresh_rolled_back_versions(blackboard)
        if kinds & ELIGIBILITY_KINDS:
            refresh_candidates(blackboard)

    return observe


def remove_expired(blackboard: Blackboard, facts: list[StoredFact]) -> None:
    """Remove expired facts from the blackboard."""
    for fact in facts:
        if fact.kind is FactKind.MEMBER:
            blackboard.members_by_address.pop(fact.key, None)
            blackboard.members_revision += 1
        elif fact.kind is FactKind.CRASH:
            request_fingerprint, _, target = fact.key.partition("@")
            reports = blackboard.crash_reports_by_fingerprint.get(request_fingerprint, {})
            reports.pop(target, None)
            if not reports:
                blackboard.crash_reports_by_fingerprint.pop(request_fingerprint, None)
    refresh_candidates(blackboard)


def _apply_sections(blackboard: Blackboard, store: FactStore) -> None:
    # Imported late, so that daemons without sections do not load the code that validates them.
    from comfreyhitch.sections.merging import apply_sections

    apply_sections(blackboard, store)


def _apply_fact(blackboard: Blackboard, detector: FailureDetector, fact: StoredFact) -> None:
    match fact.kind:
        case FactKind.MEMBER:
            _apply_member(blackboard, detector, fact)
        case FactKind.VETO:
            _apply_veto(blackboard, fact)
        case FactKind.COMPLETION:
            _apply_completion(blackboard, fact)
        case FactKind.CRASH:
            _apply_crash(blackboard, fact)
        case FactKind.STAGE:
            blackboard.stages_by_rollout[fact.key] = fact.version
        case FactKind.EVIDENCE:
            _apply_evidence(blackboard, fact)


def _apply_member(blackboard: Blackboard, detector: FailureDetector, fact: StoredFact) -> None:
    member = decode_member(fact.value).unwrap()
    known = blackboard.members_by_address.get(member.address)
    if (
        member.address == blackboard.own_member.address
        and member.boot_id != blackboard.own_member.boot_id
    ):
        # The record is from an earlier process at this address, so it must not replace this
        # daemon's record.
        refute_if_needed(detector, member)
        return
    blackboard.members_by_address[member.address] = member
    blackboard.members_revision += 1
    if known is not None and known.boot_id != member.boot_id:
        replace_view(blackboard.views_by_address, member.address)
    update_suspicion(detector, member)
    refute_if_needed(detector, member)


def _apply_veto(blackboard: Blackboard, fact: StoredFact) -> None:
    record = decode(VetoRecord, fact.value).unwrap()
    if record.rollout_id in blackboard.vetoes_by_rollout:
        return
    vetoed_at = datetime.fromtimestamp(record.vetoed_at, UTC)
    veto = Veto(record.rollout_id, record.reason, vetoed_at)
    blackboard.vetoes_by_rollout[record.rollout_id] = veto
    logger.warning(
        "rollout was vetoed", extra={"rollout": record.rollout_id, "reason": record.reason}
    )


def _apply_completion(blackboard: Blackboard, fact: StoredFact) -> None:
    record = decode(CompletionRecord, fact.value).unwrap()
    completed_at = datetime.fromtimestamp(record.completed_at, UTC)
    blackboard.completed_at_by_rollout[record.rollout_id] = completed_at


def _apply_crash(blackboard: Blackboard, fact: StoredFact) -> None:
    record = decode(CrashRecord, fact.value).unwrap()
    reported_at = datetime.fromtimestamp(record.reported_at, UTC)
    report = CrashReport(record.fingerprint, record.target, reported_at)
    blackboard.crash_reports_by_fingerprint[record.fingerprint][record.target] = report
    logger.warning(
        "request crashed its target",
        extra={"fingerprint": record.fingerprint, "target": record.target},
    )


def _apply_evidence(blackboard: Blackboard, fact: StoredFact) -> None:
    evidence = read_evidence_record(decode(EvidenceRecord, fact.value).unwrap())
    evidence_by_source = blackboard.evidence_by_rollout[evidence.rollout_id]
    source = (evidence.address, evidence.window)
    known = evidence_by_source.setdefault(source, evidence)
    known.counts_by_route.update(evidence.counts_by_route)


def _make_record_validator(record_type: type, get_time: Callable[[Any], float]) -> Validator:
    def check(key: str, version: int, value: bytes) -> Result[object, str]:
        decoded = decode(record_type, value)
        if decoded.is_ok() and not 0.0 <= get_time(decoded.ok_value) <= MAX_TIMESTAMP:
            return Err(f"{record_type.__name__}: time out of range")
        return decoded

    return check


def _validate_member(key: str, version: int, value: bytes) -> Result[object, str]:
    decoded = decode_member(value)
    if decoded.is_ok() and (
        decoded.ok_value.address != key or decoded.ok_value.fact_version != version
    ):
        return Err(f"member record of {decoded.ok_value.address} does not match its key {key}")
    return decoded


def _validate_section(key: str, version: int, value: bytes) -> Result[object, str]:
    from comfreyhitch.sections.parsing import parse_section_json

    decoded = decode(SectionRecord, value)
    if decoded.is_err():
        return decoded
    record = decoded.ok_value
    if record.name != key or record.generation != version:
        return Err(f"section record of {record.name} does not match its key {key}")
    return parse_section_json(record.name, record.generation, record.content).map_err("; ".join)


def _validate_empty_value(key: str, version: int, value: bytes) -> Result[object, str]:
    return Ok(None) if value == b"" else Err("value of a stage or deadline is not empty")
