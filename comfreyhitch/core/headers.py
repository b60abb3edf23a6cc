"""Names of the headers between callers, daemons and targets."""

from collections.abc import Collection, Iterable

HEADER_SERVICE = "Comfreyhitch-Service"
HEADER_TENANT = "Comfreyhitch-Tenant"
HEADER_TIMEOUT = "Comfreyhitch-Timeout-Ms"
HEADER_ATTEMPT = "Comfreyhitch-Attempt"
HEADER_IDEMPOTENCY_KEY = "Idempotency-Key"
HEADER_VERDICT = "Comfreyhitch-Verdict"
HEADER_REFUSAL = "Comfreyhitch-Refusal"
HEADER_REPLAYED = "Comfreyhitch-Replayed"

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def find_header(headers: Iterable[tuple[str, str]], name: str) -> str:
    """Return the value of the first header with a name, or an empty string if there is none."""
    wanted = name.lower()
    if not wanted:
        return ""
    return next((value for field, value in headers if field.lower() == wanted), "")


def find_any_header(headers: Iterable[tuple[str, str]], names: Collection[str]) -> str:
    """Return the value of the first header with one of some names, or an empty string."""
    wanted = {name.lower() for name in names}
    return next((value for field, value in headers if field.lower() in wanted), "")
