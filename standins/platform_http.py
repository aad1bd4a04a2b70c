"""The stand-in platform's HTTP interface (falcon on gevent's WSGI server)."""

from collections.abc import Callable
import contextlib
from typing import Any
from typing import cast

import falcon
from gevent import pywsgi
import gevent.socket

from standins import fleet as fleet_module
from standins import switches
from vanillaswitch import errors
from vanillaswitch.protocol import platform
from vanillaswitch.transport import platform_wire as wire
from vanillaswitch.transport import sockets

_SOCKET = "standins.socket"
_STATUS = {
    platform.Conflict: falcon.HTTP_409,
    platform.Missing: falcon.HTTP_404,
    platform.Unavailable: falcon.HTTP_503,
    wire.Refused: falcon.HTTP_400,
}


class _Handler(pywsgi.WSGIHandler):  # type: ignore[misc]
    """Lets the application cut a connection."""

    def get_environ(self) -> Any:
        environ = super().get_environ()
        environ[_SOCKET] = self.socket
        return environ


def _answer(
    request: falcon.Request, response: falcon.Response, outcome: object
) -> None:
    """Writes an outcome; an unknown one cuts the connection instead."""
    if isinstance(outcome, platform.OutcomeUnknown):
        with contextlib.suppress(OSError):
            request.env[_SOCKET].shutdown(gevent.socket.SHUT_RDWR)
        return
    response.status = _STATUS.get(type(outcome), falcon.HTTP_200)
    response.content_type = falcon.MEDIA_JSON
    response.data = wire.encode_outcome(cast(wire.Outcome, outcome))


def _call(request: falcon.Request, kind: type[Any]) -> Any:
    try:
        return wire.decode_call(kind, request.bounded_stream.read())
    except ValueError as error:
        raise errors.InvariantError(str(error)) from error


class _Resource:
    """One path whose POST takes a call and answers an outcome."""

    def __init__(self, kind: type[Any], act: Callable[..., object]):
        self._kind = kind
        self._act = act

    def on_post(
        self, request: falcon.Request, response: falcon.Response, **names: str
    ) -> None:
        call = _call(request, self._kind)
        _answer(request, response, self._act(call, **names))


class _Query:
    """One path whose GET answers an outcome."""

    def __init__(self, ask: Callable[[], object]):
        self._ask = ask

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        _answer(request, response, self._ask())


class _Objects:
    def __init__(self, store: platform.ObjectStore):
        self._store = store

    def on_put(
        self, request: falcon.Request, response: falcon.Response, digest: str
    ) -> None:
        content = request.bounded_stream.read()
        _answer(request, response, self._store.put(digest, content))

    def on_get(
        self, request: falcon.Request, response: falcon.Response, digest: str
    ) -> None:
        found = self._store.get(digest)
        if not isinstance(found, platform.ObjectContent):
            _answer(request, response, found)
            return
        response.content_type = "application/octet-stream"
        response.data = found.content


def _tupled(
    found: tuple[Any, ...] | platform.Unavailable,
    kind: Callable[[tuple[Any, ...]], object],
) -> object:
    return found if isinstance(found, platform.Unavailable) else kind(found)


def _add_table(app: Any, table: platform.Table) -> None:
    read = _Resource(wire.ReadCall, lambda call: table.read(call.keys))
    scan = _Resource(
        wire.ScanCall,
        lambda call: table.scan(call.prefix, call.after, call.limit),
    )
    commit = _Resource(platform.Transaction, table.commit)
    app.add_route("/table/read", read)
    app.add_route("/table/scan", scan)
    app.add_route("/table/commit", commit)


def _add_instances(app: Any, instances: platform.Instances) -> None:
    app.add_route("/instances", _Query(instances.list))
    status = _Resource(
        wire.StatusCall,
        lambda call: _tupled(instances.status(call.names), wire.Statuses),
    )
    app.add_route("/instances/status", status)
    for verb in ("drain", "reboot", "resume"):
        app.add_route(
            f"/instances/{{name}}/{verb}",
            _Resource(wire.OperationCall, _operation(instances, verb)),
        )


def _operation(instances: object, verb: str) -> Callable[..., object]:
    method = getattr(instances, verb)
    return lambda call, name: method(name, call.operation)


def _add_workers(app: Any, workers: platform.Workers) -> None:
    app.add_route(
        "/workers/reports",
        _Query(lambda: _tupled(workers.reports(), wire.Reports)),
    )
    verbs: dict[str, tuple[type[Any], Callable[..., object]]] = {
        "start": (
            platform.TaskSpec,
            lambda call, name: workers.start(name, call),
        ),
        "renew": (
            wire.RenewCall,
            lambda call, name: workers.renew(
                name, call.operations, call.lease_s
            ),
        ),
        "checkpoint": (
            wire.OperationCall,
            lambda call, name: workers.checkpoint(name, call.operation),
        ),
        "throttle": (
            wire.ThrottleCall,
            lambda call, name: workers.throttle(
                name, call.operation, call.share
            ),
        ),
        "stop": (
            wire.OperationCall,
            lambda call, name: workers.stop(name, call.operation),
        ),
    }
    for verb, (kind, act) in verbs.items():
        app.add_route(f"/workers/{{name}}/{verb}", _Resource(kind, act))


def _refuse(
    request: falcon.Request,
    response: falcon.Response,
    error: Exception,
    params: object,  # noqa: ARG001
) -> None:
    _answer(request, response, wire.Refused(str(error)))


def make_app(standin: fleet_module.MemoryPlatform) -> Any:
    """Returns the WSGI application of a stand-in platform."""
    app = falcon.App()
    app.add_error_handler(errors.InvariantError, _refuse)
    _add_table(app, standin.table)
    app.add_route("/objects/{digest}", _Objects(standin.objects))
    _add_instances(app, standin.instances)
    _add_workers(app, standin.workers)
    switches.add_routes(app, standin)
    return app


def make_server(
    listener: Any, standin: fleet_module.MemoryPlatform
) -> sockets.HttpServer:
    """Returns a server that is not started yet.

    Args:
        listener: a listening socket, see ``sockets.listen``.
        standin: what it serves.
    """
    return sockets.HttpServer(
        listener, make_app(standin), handler_class=_Handler
    )
