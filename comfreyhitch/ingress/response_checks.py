"""Validate a target's response against the request that it answers."""

from result import Err, Ok

from comfreyhitch.core.target_headers import TargetHeaderNames
from comfreyhitch.core.verdicts import Failure, Outcome, Refusal, Response, Verdict

MISDIRECTED_STATUS = 421
SUCCESS_STATUSES = range(200, 300)
# Callers read these statuses as a guarantee that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
CONTENT_ENCODING_HEADER = "content-encoding"
# Value of the header with which a target says that it did not run the request.
NOT_RUN = "1"


def validate_response(
    header_names: TargetHeaderNames, response: Response, request_id: str, expected_instance: str
) -> Outcome:
    """Return the response if the target itself made it for this request, else a failure.

    Only a response that names the request proves that the request did not run. A request that
    has no id itself is never run by a target that takes ids, so any refusal of it is true.
    """
    values = {name.lower(): value for name, value in response.headers}
    if request_id and not _answers_request(header_names, response, request_id):
        # On a kept connection, a response may be the repetition of an earlier one, or belong to no
        # request at all.
        echoed = values.get(header_names.request_id.lower())
        detail = f"response is for request {echoed!r}"
        return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.TARGET_FAILED, detail))
    if header_names.not_run and values.get(header_names.not_run.lower(), "").strip() == NOT_RUN:
        detail = f"target refused it with status {response.status}"
        return Err(Failure(Verdict.NOT_RUN, Refusal.TARGET_REFUSED, detail))
    if expected_instance and response.status == MISDIRECTED_STATUS:
        instance_id = values.get(header_names.instance.lower(), "").strip()
        if instance_id not in ("", expected_instance):
            detail = f"{instance_id} has the address"
            return Err(Failure(Verdict.NOT_RUN, Refusal.WRONG_INSTANCE, detail))
    reason = _find_response_error(header_names, response, values)
    if reason is not None:
        return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.TARGET_FAILED, reason))
    return Ok(response)


def _answers_request(header_names: TargetHeaderNames, response: Response, request_id: str) -> bool:
    """Return whether a response names this request, and no other one."""
    field = header_names.request_id.lower()
    echoed = {value for name, value in response.headers if name.lower() == field}
    return echoed == {request_id}


def _find_response_error(
    header_names: TargetHeaderNames, response: Response, values: dict[str, str]
) -> str | None:
    if not header_names.origin:
        return None
    if CONTENT_ENCODING_HEADER in values:
        return f"response is encoded as {values[CONTENT_ENCODING_HEADER]!r}, which nobody asked for"
    if response.status in SUCCESS_STATUSES and header_names.origin.lower() not in values:
        return "response is not the target's own"
    if response.status in NOT_RUN_STATUSES:
        return f"status {response.status} without proof that the request did not run"
    return None
