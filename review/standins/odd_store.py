"""Run the project's stand-in for the store with an entry whose bytes can't be read.

Another writer leaves the entry when `ODD_PATH` is called. From then on the lists of its kind hold
it beside the other entries.
"""

import argparse
from collections.abc import Callable, Iterable

from gevent.pywsgi import WSGIServer

from comfreyhitch.platform.client import API_PREFIX
from comfreyhitch.testing.platform import make_application
from comfreyhitch.testing.platform_objects import StoreState
from comfreyhitch.testing.target import QuietHandler

ODD_PATH = "/_standin/odd"
ODD_ENTRY = (
    b'{"Metadata":{"Name":"entry-7","Rev":2,"CreateRevision":2,"Finalizers":[],"Deleting":false},'
    b'"Spec":{"address":"\xff\xfe\xb1"},"Status":null}'
)

Application = Callable[[dict[str, object], Callable], Iterable[bytes]]


def add_odd_entry(application: Application, kind: str) -> Application:
    """Return the application of a store whose lists of a kind may also hold the odd entry."""
    is_written = False

    def serve(environ: dict[str, object], start_response: Callable) -> Iterable[bytes]:
        nonlocal is_written
        is_written = is_written or environ["PATH_INFO"] == ODD_PATH
        body = b"".join(application(environ, start_response))
        is_list = environ["REQUEST_METHOD"] == "GET" and "Watch=" not in environ["QUERY_STRING"]
        if is_written and is_list and environ["PATH_INFO"] == f"{API_PREFIX}/{kind}":
            body = body.replace(b'"items": [{', b'"items": [' + ODD_ENTRY + b", {", 1)
            body = body.replace(b'"items": []', b'"items": [' + ODD_ENTRY + b"]", 1)
        return [body]

    return serve


def main() -> None:
    """Run the store until the process is killed."""
    parser = argparse.ArgumentParser(description="Stand-in store with an odd entry")
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--kind", required=True, help="kind of the odd entry")
    arguments = parser.parse_args()
    application = add_odd_entry(make_application(StoreState()), arguments.kind)
    address = (arguments.host, arguments.port)
    WSGIServer(address, application, handler_class=QuietHandler, log=None).serve_forever()


if __name__ == "__main__":
    main()
