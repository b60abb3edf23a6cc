"""Send HTTP requests as a caller."""

import json
from dataclasses import dataclass

from geventhttpclient import HTTPClient

HTTP_PORT = 8080


@dataclass(slots=True)
class HttpResponse:
    """Hold a response as a caller sees it."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def verdict(self) -> str:
        """Return the value of the verdict header."""
        return self.headers.get("comfreyhitch-verdict", "")

    @property
    def refusal(self) -> str:
        """Return the value of the refusal header."""
        return self.headers.get("comfreyhitch-refusal", "")

    @property
    def json(self) -> object:
        """Return the body decoded from JSON."""
        return json.loads(self.body)


def request(
    host: str,
    path: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    port: int = HTTP_PORT,
    timeout_seconds: float = 15.0,
) -> HttpResponse:
    """Send one request on a new connection; raise `OSError` if there is no response."""
    client = HTTPClient(
        host, port, concurrency=1, connection_timeout=2.0, network_timeout=timeout_seconds
    )
    try:
        response = client.request(method, path, body, headers or {})
        content = response.read()
        names = {name.lower(): value for name, value in response.headers}
        return HttpResponse(response.status_code, names, content)
    finally:
        client.close()
