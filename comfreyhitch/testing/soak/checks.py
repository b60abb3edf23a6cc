"""Check the guarantees after a soak, from the records of callers and targets."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from comfreyhitch.testing.platform_models import (
    LoggedRun,
)
from comfreyhitch.testing.platform_target import OVERLOAD_EXIT_CODE
from comfreyhitch.testing.soak.callers import SentRequest, is_matching_response
from comfreyhitch.testing.soak.plan import STOP_KINDS, FaultKind
from comfreyhitch.testing.soak.state import FaultSpan, is_unplanned
from comfreyhitch.testing.target_heartbeats import DRAIN_MARKER

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
SUCCESS_STATUS = 200
# Time bounds that the platform sets. `DISTURBANCE_RECOVERY_SECONDS` after an unplanned fault has
# ended, guarantees with a deadline hold again.
DISTURBANCE_RECOVERY_SECONDS = 3.0
SHUTDOWN_GRACE_SECONDS = 4.0
LOSS_SLACK_SECONDS = 0.2
DRAIN_DEADLINE_SECONDS = 2.0
CONFIGURATION_DEADLINE_SECONDS = 2.0
EVACUATION_DEADLINE_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Observations:
    """Hold all that was observed during one soak."""

    sent_requests: list[SentRequest]
    runs: list[LoggedRun]
    spans: list[FaultSpan]
    accepted_at_by_version: dict[int, float]
    zones_by_instance_name: dict[str, str]
    unexpected_exits: list[str]
    is_recovered_by_instance_name: dict[str, bool]


def find_violations(observations: Observations) -> list[str]:
    """Return a line for each violation of a guarantee."""
    violations = []
    for check in (
        _find_repeated_runs,
        _find_false_refusals,
        _find_wrong_responses,
        _find_lost_requests,
        _find_runs_after_drain,
        _find_runs_in_evacuated_zone,
        _find_stale_configuration,
        _find_unexpected_exits,
        _find_unrecovered_instances,
    ):
        violations.extend(check(observations))
    return violations


def has_only_planned_faults(observations: Observations, started_at: float, ended_at: float) -> bool:
    """Return whether no unplanned fault was in progress in a time span or ended shortly before."""
    return not any(
        is_unplanned(span)
        and span.started_at <= ended_at
        and span.ended_at >= started_at - DISTURBANCE_RECOVERY_SECONDS
        for span in observations.spans
    )


def _find_repeated_runs(observations: Observations) -> Iterator[str]:
    once = {sent.request_id for sent in observations.sent_requests if not sent.is_idempotent}
    runs = Counter(run.request_id for run in observations.runs if run.request_id in once)
    for request_id, count in runs.items():
        if count > 1:
            yield f"ran {count} times: {request_id}"


def _find_false_refusals(observations: Observations) -> Iterator[str]:
    ran = {run.request_id for run in observations.runs}
    for sent in observations.sent_requests:
        if not sent.is_idempotent and sent.status in NOT_RUN_STATUSES and sent.request_id in ran:
            yield f"refused with {sent.status} but ran: {sent.request_id}"


def _find_wrong_responses(observations: Observations) -> Iterator[str]:
    for sent in observations.sent_requests:
        if sent.status == SUCCESS_STATUS and not is_matching_response(sent):
            yield f"response incomplete or of another request: {sent.request_id} {sent.body[:80]!r}"


def _find_lost_requests(observations: Observations) -> Iterator[str]:
    """Find requests on reused connections that got no response around a planned stop.

    A request that did not run and failed within `LOSS_SLACK_SECONDS` is no violation.
    """
    ran = {run.request_id for run in observations.runs}
    stops = [span for span in observations.spans if span.kind in STOP_KINDS]
    for sent in observations.sent_requests:
        if sent.status or not sent.is_connection_reused:
            continue
        is_near_stop = any(
            stop.instance_name == sent.instance_name
            and sent.ended_at >= stop.started_at
            and sent.sent_at <= stop.started_at + SHUTDOWN_GRACE_SECONDS
            for stop in stops
        )
        seconds = sent.ended_at - sent.sent_at
        is_cut = sent.request_id in ran or seconds > LOSS_SLACK_SECONDS
        if (
            is_near_stop
            and is_cut
            and has_only_planned_faults(observations, sent.sent_at, sent.ended_at)
        ):
            yield f"cut by a planned stop after {seconds:.3f} s: {sent.request_id} {sent.error}"


def _find_runs_after_drain(observations: Observations) -> Iterator[str]:
    drained_at_by_instance_id = {
        run.instance_id: run.logged_at
        for run in observations.runs
        if run.request_id == DRAIN_MARKER
    }
    for run in observations.runs:
        drained_at = drained_at_by_instance_id.get(run.instance_id)
        if (
            drained_at is None
            or run.request_id == DRAIN_MARKER
            or run.logged_at <= drained_at + DRAIN_DEADLINE_SECONDS
        ):
            continue
        if has_only_planned_faults(observations, drained_at, run.logged_at):
            delay_seconds = run.logged_at - drained_at
            yield f"ran {delay_seconds:.1f} s after its target started to drain: {run.request_id}"


def _find_runs_in_evacuated_zone(observations: Observations) -> Iterator[str]:
    for span in observations.spans:
        if span.kind is not FaultKind.ZONE_OUT:
            continue
        zone = observations.zones_by_instance_name[span.instance_name]
        due_at = span.started_at + EVACUATION_DEADLINE_SECONDS
        for run in observations.runs:
            if run.request_id == DRAIN_MARKER:
                continue
            instance_name = run.instance_id.removeprefix("i-").rpartition("-")[0]
            if observations.zones_by_instance_name.get(instance_name) != zone:
                continue
            if due_at < run.logged_at < span.ended_at and has_only_planned_faults(
                observations, span.started_at, run.logged_at
            ):
                yield f"ran in zone {zone} while the zone was out: {run.request_id}"


def _find_stale_configuration(observations: Observations) -> Iterator[str]:
    """Find responses by routes that were removed, and routes in force that were not found."""
    for sent in observations.sent_requests:
        prefix = sent.path.split("/")[1]
        if not prefix.startswith("v") or not prefix[1:].isdigit():
            continue
        version = int(prefix[1:])
        accepted_at = observations.accepted_at_by_version.get(version)
        replaced_at = observations.accepted_at_by_version.get(version + 1)
        is_in_force = (
            accepted_at is not None and sent.sent_at > accepted_at + CONFIGURATION_DEADLINE_SECONDS
        )
        is_replaced = (
            replaced_at is not None and sent.sent_at > replaced_at + CONFIGURATION_DEADLINE_SECONDS
        )
        if (
            is_replaced
            and sent.status == SUCCESS_STATUS
            and has_only_planned_faults(observations, replaced_at, sent.ended_at)
        ):
            yield f"served by a removed route: {sent.request_id} {sent.path}"
        is_newest = replaced_at is None or sent.ended_at < replaced_at
        is_unknown = sent.status == 404 and is_in_force and is_newest
        if is_unknown and has_only_planned_faults(observations, accepted_at, sent.ended_at):
            yield f"accepted route not found: {sent.request_id} {sent.path}"


def _find_unexpected_exits(observations: Observations) -> Iterator[str]:
    for end in observations.unexpected_exits:
        is_overload = end.endswith(f"exited with {OVERLOAD_EXIT_CODE}")
        yield f"{'cold target was overloaded' if is_overload else 'unexpected exit'}: {end}"


def _find_unrecovered_instances(observations: Observations) -> Iterator[str]:
    for instance_name, is_served in observations.is_recovered_by_instance_name.items():
        if not is_served:
            yield f"not served after the fleet was restored: {instance_name}"
