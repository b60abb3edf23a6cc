"""Names of the headers between callers, daemons and targets."""

HEADER_SERVICE = "Comfreyhitch-Service"
HEADER_TENANT = "Comfreyhitch-Tenant"
HEADER_TIMEOUT = "Comfreyhitch-Timeout-Ms"
HEADER_ATTEMPT = "Comfreyhitch-Attempt"
HEADER_KEY = "Idempotency-Key"
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
