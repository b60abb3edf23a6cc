"""Names of the headers between a daemon and its target."""

from dataclasses import dataclass

from comfreyhitch.core.headers import HEADER_ATTEMPT, HEADER_TIMEOUT


@dataclass(frozen=True, slots=True)
class TargetHeaderNames:
    """Name the headers between daemon and target; a header with an empty name is not used."""

    # On each request: the milliseconds left until its deadline, and the number of the attempt.
    timeout: str
    attempt: str = ""
    # On each request: the only target incarnation that may run it.
    expected_instance: str = ""
    # Set by the caller, forwarded to the target, and echoed in its response.
    request_id: str = ""
    # On the response of a target that did not run the request.
    not_run: str = ""
    # On every response that the target itself made.
    origin: str = ""
    # On health responses, and on a refusal of a request for another incarnation.
    instance: str = ""
    # Load of the target: running and waiting requests, slots, and the pace of its instance.
    load: str = ""
    # Milliseconds for which the target is still cold.
    cold_ms: str = ""
    # On each response of a target in need: the requests a second that it takes from all daemons.
    rate_limit: tuple[str, ...] = ()
    # On each response of a target that is leaving: 1.
    leaving: tuple[str, ...] = ()


DEFAULT_TARGET_HEADERS = TargetHeaderNames(timeout=HEADER_TIMEOUT, attempt=HEADER_ATTEMPT)
