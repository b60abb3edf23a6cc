"""Validate a target's response against the request that it answers."""

from result import Err, Ok

from comfreyhitch.core.target_headers import TargetHeaderNames
from comfreyhitch.core.verdicts import Failure, Outcome, Refusal, Response, Verdict

MISDIRECTED_STATUS = 421
SUCCESS_STATUSES = range(200, 300)
# Callers read these statuses as a guarantee that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
CONTENT_ENCODING_HEADER = "content-encoding"


def validate_response(
    header_names: TargetHeaderNames, response: Response, request_id: str, expected_instance: str
) -> Outcome:
    """Return the response if the target itself made it for this request, else a failure."""
    values = {name.lower(): value for name, value in response.headers}
    echoed = values.get(header_names.request_id.lower(), request_id)
    if request_id and echoed != request_id:
        # On a kept connection, a response may be the repetition of an earlier one.
        detail = f"response is for request {echoed!r}"
        return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.TARGET_FAILED, detail))
    if header_names.not_run and header_names.not_run.lower() in values:
        detail = f"target refused it with status {response.status}"
        return Err(Failure(Verdict.NOT_RUN, Refusal.TARGET_REFUSED, detail))
    if expected_instance and response.status == MISDIRECTED_STATUS:
        detail = f"{values.get(header_names.instance.lower(), 'another target')} has the address"
        return Err(Failure(Verdict.NOT_RUN, Refusal.WRONG_INSTANCE, detail))
    reason = _find_response_error(header_names, response, values, request_id)
    if reason is not None:
        return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.TARGET_FAILED, reason))
    return Ok(response)


def _find_response_error(
    header_names: TargetHeaderNames, response: Response, values: dict[str, str], request_id: str
) -> str | None:
    if not header_names.origin:
        return None
    echoed = values.get(header_names.request_id.lower())
    if request_id and echoed != request_id:
        return f"response is for request {echoed!r}"
    if CONTENT_ENCODING_HEADER in values:
        return f"response is encoded as {values[CONTENT_ENCODING_HEADER]!r}, which nobody asked for"
    if response.status in SUCCESS_STATUSES and header_names.origin.lower() not in values:
        return "response is not the target's own"
    if response.status in NOT_RUN_STATUSES:
        return f"status {response.status} without proof that the request did not run"
    return None
