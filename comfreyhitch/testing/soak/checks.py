"""Promises that are checked after a soak, from what callers and targets saw."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from comfreyhitch.testing.platform_models import (
    LoggedRun,
)
from comfreyhitch.testing.platform_target import DRAIN_MARKER, OVERLOAD_EXIT_CODE
from comfreyhitch.testing.soak.callers import Sent, is_own_answer
from comfreyhitch.testing.soak.plan import FaultKind
from comfreyhitch.testing.soak.state import Span, is_unplanned

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
SUCCESS_STATUS = 200
# Bounds of the platform: after a disturbance ends, promises with a time hold again.
CONTACT_SECONDS = 3.0
GRACE_SECONDS = 4.0
LOSS_SLACK_SECONDS = 0.2
DRAIN_SECONDS = 2.0
CONFIGURATION_SECONDS = 2.0
EVACUATION_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Observations:
    """Hold all that was seen during one soak."""

    sent: list[Sent]
    runs: list[LoggedRun]
    spans: list[Span]
    accepted_at_by_version: dict[int, float]
    zones_by_instance_name: dict[str, str]
    own_ends: list[str]
    served_after: dict[str, bool]


def find_broken(seen: Observations) -> list[str]:
    """Return a line for each promise that was broken."""
    broken = []
    for check in (
        _find_twice,
        _find_false_refusals,
        _find_mixed,
        _find_lost,
        _find_late_at_leaving,
        _find_late_in_zone,
        _find_old_configuration,
        _find_ends,
        _find_unserved,
    ):
        broken.extend(check(seen))
    return broken


def is_calm(seen: Observations, begun_at: float, ended_at: float) -> bool:
    """Return whether only planned work went on from some time before until the end."""
    return not any(
        is_unplanned(span)
        and span.begun_at <= ended_at
        and span.ended_at >= begun_at - CONTACT_SECONDS
        for span in seen.spans
    )


def _find_twice(seen: Observations) -> Iterator[str]:
    once = {sent.request_id for sent in seen.sent if not sent.is_idempotent}
    runs = Counter(run.request_id for run in seen.runs if run.request_id in once)
    for request_id, count in runs.items():
        if count > 1:
            yield f"ran {count} times: {request_id}"


def _find_false_refusals(seen: Observations) -> Iterator[str]:
    ran = {run.request_id for run in seen.runs}
    for sent in seen.sent:
        if not sent.is_idempotent and sent.status in NOT_RUN_STATUSES and sent.request_id in ran:
            yield f"refused with {sent.status} but ran: {sent.request_id}"


def _find_mixed(seen: Observations) -> Iterator[str]:
    for sent in seen.sent:
        if sent.status == SUCCESS_STATUS and not is_own_answer(sent):
            yield f"answer of another request, or not whole: {sent.request_id} {sent.body[:80]!r}"


def _find_lost(seen: Observations) -> Iterator[str]:
    """Find requests that a planned stop cut, or that were read and never answered."""
    ran = {run.request_id for run in seen.runs}
    stops = [span for span in seen.spans if span.kind is FaultKind.STOP_DAEMON]
    for sent in seen.sent:
        if sent.status or not sent.is_kept:
            continue
        near = any(
            stop.instance_name == sent.instance_name
            and sent.ended_at >= stop.begun_at
            and sent.sent_at <= stop.begun_at + GRACE_SECONDS
            for stop in stops
        )
        seconds = sent.ended_at - sent.sent_at
        is_cut = sent.request_id in ran or seconds > LOSS_SLACK_SECONDS
        if near and is_cut and is_calm(seen, sent.sent_at, sent.ended_at):
            yield f"cut by a planned stop after {seconds:.3f} s: {sent.request_id} {sent.error}"


def _find_late_at_leaving(seen: Observations) -> Iterator[str]:
    left_at = {run.instance_id: run.at for run in seen.runs if run.request_id == DRAIN_MARKER}
    for run in seen.runs:
        due_at = left_at.get(run.instance_id)
        if due_at is None or run.request_id == DRAIN_MARKER or run.at <= due_at + DRAIN_SECONDS:
            continue
        if is_calm(seen, due_at, run.at):
            late = run.at - due_at
            yield f"ran {late:.1f} s after its target said that it leaves: {run.request_id}"


def _find_late_in_zone(seen: Observations) -> Iterator[str]:
    for span in seen.spans:
        if span.kind is not FaultKind.ZONE_OUT:
            continue
        zone = seen.zones_by_instance_name[span.instance_name]
        due_at = span.begun_at + EVACUATION_SECONDS
        for run in seen.runs:
            if run.request_id == DRAIN_MARKER:
                continue
            instance_name = run.instance_id.removeprefix("i-").rpartition("-")[0]
            if seen.zones_by_instance_name.get(instance_name) != zone:
                continue
            if due_at < run.at < span.ended_at and is_calm(seen, span.begun_at, run.at):
                yield f"ran in {zone} while that was out: {run.request_id}"


def _find_old_configuration(seen: Observations) -> Iterator[str]:
    """Find answers by a version of the routes that was replaced, or not yet known."""
    for sent in seen.sent:
        prefix = sent.path.split("/")[1]
        if not prefix.startswith("v") or not prefix[1:].isdigit():
            continue
        version = int(prefix[1:])
        since = seen.accepted_at_by_version.get(version)
        until = seen.accepted_at_by_version.get(version + 1)
        in_force = since is not None and sent.sent_at > since + CONFIGURATION_SECONDS
        replaced = until is not None and sent.sent_at > until + CONFIGURATION_SECONDS
        if replaced and sent.status == SUCCESS_STATUS and is_calm(seen, until, sent.ended_at):
            yield f"served by a dropped route: {sent.request_id} {sent.path}"
        is_newest = until is None or sent.ended_at < until
        is_unknown = sent.status == 404 and in_force and is_newest
        if is_unknown and is_calm(seen, since, sent.ended_at):
            yield f"an accepted route is unknown: {sent.request_id} {sent.path}"


def _find_ends(seen: Observations) -> Iterator[str]:
    for end in seen.own_ends:
        is_overload = end.endswith(f"ended with {OVERLOAD_EXIT_CODE}")
        yield f"{'a cold target got more than it bears' if is_overload else 'ended'}: {end}"


def _find_unserved(seen: Observations) -> Iterator[str]:
    for instance_name, is_served in seen.served_after.items():
        if not is_served:
            yield f"not served again after all faults were over: {instance_name}"
