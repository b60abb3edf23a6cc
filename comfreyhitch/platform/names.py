"""Names of the platform: headers, paths and kinds."""

from comfreyhitch.core.target_headers import TargetHeaderNames

HEADER_REQUEST_ID = "X-Comfreyhitch-Request-Id"
HEADER_DEADLINE_MS = "X-Comfreyhitch-Deadline-Ms"
HEADER_CALLER_SERVICE = "X-Comfreyhitch-Caller-Service"
HEADER_ACCOUNT = "X-Comfreyhitch-Tenant-Id"
HEADER_RETRY_AFTER = "Retry-After"
HEADER_STORE_ERA = "Store-Era"
HEADER_DUTY_HOLDER = "X-Comfreyhitch-Duty-Holder"
HEADER_FENCING_TOKEN = "X-Comfreyhitch-Fencing-Token"

PLATFORM_TARGET_HEADERS = TargetHeaderNames(
    timeout=HEADER_DEADLINE_MS,
    expected_instance="X-Comfreyhitch-Expect-Instance",
    request_id=HEADER_REQUEST_ID,
    not_run="X-Comfreyhitch-Not-Executed",
    origin="X-Comfreyhitch-Server-Stamp",
    instance="X-Comfreyhitch-Instance-Id",
    load="X-Comfreyhitch-Server-Load",
    cold_ms="X-Comfreyhitch-Cold-Ms",
    rate_limit=("Server-Limit", "X-Comfreyhitch-Server-Limit"),
    leaving=("Server-Leaving", "X-Comfreyhitch-Server-Leaving"),
)

PATH_READY = "/v1/ready"
PATH_USAGE = "/usage"
PATH_INSTANCES = "/v1/instances/"

KIND_CONFIGURATION = "config"
NAME_CONFIGURATION = "main"
KIND_ROLLOUTS = "rollouts"
KIND_EVACUATIONS = "evacuations"
