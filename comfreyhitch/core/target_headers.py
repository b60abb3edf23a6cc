"""Names of the headers between a daemon and its target."""

from dataclasses import dataclass

from comfreyhitch.core.headers import HEADER_ATTEMPT, HEADER_TIMEOUT


@dataclass(frozen=True, slots=True)
class TargetHeaderNames:
    """Name the headers of one way to talk to targets; an empty name is not in use."""

    # Sent with each request: how many milliseconds are left, and which try it is.
    timeout: str
    attempt: str = ""
    # Sent with each request: the only target incarnation that may run it.
    expected_instance: str = ""
    # Sent by the caller, forwarded, and echoed by the target.
    request_id: str = ""
    # Set by a target that did not run the request.
    not_run: str = ""
    # Set by a target on every response that it made itself.
    origin: str = ""
    # Set by a target on health responses, and on a refusal of another's request.
    instance: str = ""
    # Load of the target: running, waiting, slots, and the pace of its instance.
    load: str = ""
    # Milliseconds for which the target stays cold.
    cold_ms: str = ""


DEFAULT_TARGET_HEADERS = TargetHeaderNames(timeout=HEADER_TIMEOUT, attempt=HEADER_ATTEMPT)
