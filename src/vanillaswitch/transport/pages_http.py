"""A controller's pages for operators, without a web framework.

falcon alone takes 6 MB of the 32 MB that a controller has (docs/CAPACITY.md),
for four pages without parameters; so here a plain WSGI function does.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import json
from typing import Any

from vanillaswitch.transport import sockets

_STATUS_LINES = {
    200: "200 OK",
    404: "404 Not Found",
    503: "503 Service Unavailable",
}

Page = Callable[[], tuple[int, Mapping[str, Any]]]
"""Returns status and JSON document."""


def _application(pages: Mapping[str, Page]) -> Callable[..., list[bytes]]:
    def serve_page(
        environ: Mapping[str, Any], start_response: Callable[..., Any]
    ) -> list[bytes]:
        page = pages.get(environ["PATH_INFO"])
        status, document = page() if page else (404, {"pages": sorted(pages)})
        body = json.dumps(dict(document)).encode()
        start_response(
            _STATUS_LINES[status],
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    return serve_page


@contextlib.contextmanager
def serve(listen: str, pages: Mapping[str, Page]) -> Iterator[str]:
    """Yields the bound "ip:port" and closes the port afterwards.

    Args:
        listen: "ip:port"; port 0 takes any free one.
        pages: by path, such as "/_/ready".

    Raises:
        OSError: the address can't be bound.
    """
    server = sockets.HttpServer(
        sockets.listen(listen), _application(pages), log=None
    )
    server.start()
    try:
        yield server.bound
    finally:
        server.stop(timeout=0)
