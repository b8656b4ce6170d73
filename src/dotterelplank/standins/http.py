"""A small WSGI layer that all stand-ins share.

The HTTP interface of a stand-in is a list of routes. Each handler takes a
:class:`Request` and returns a :class:`Response`, or raises
:class:`~dotterelplank.errors.StandinRefusalError`, which is sent as a JSON error with
a result code.
"""

import collections.abc
import contextlib
import dataclasses
import enum
import errno
import http
import logging
import re
import select
import socket
import threading
import typing as t
import urllib.parse

import cheroot.wsgi
import pydantic
import pydantic_core

from .. import events
from ..clocks import monotonic_ms
from ..errors import StandinRefusalError

LOOPBACK = "127.0.0.1"
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_WAIT_MS = 60_000
MAX_LISTED_ERRORS = 5
IDLE_TIMEOUT_S = 300
MAX_KEEP_ALIVE_CONNECTIONS = 4096
LISTEN_BACKLOG = 128
STOP_TIMEOUT_S = 2
STOP_RETRY_S = 0.02
# Threads that are reserved for control calls, so that the faults of a stand-in can be
# changed while all other calls hang.
CONTROL_THREADS = 4

logger = logging.getLogger(__name__)

M = t.TypeVar("M", bound=pydantic.BaseModel)
Chunks = collections.abc.Iterator[bytes]


class Code(enum.IntEnum):
    """Result codes of the stand-ins; ``docs/STANDINS.md`` explains each."""

    MALFORMED = 6001
    NO_SUCH_PATH = 6002
    METHOD_NOT_ALLOWED = 6003
    TOO_LARGE = 6004
    BUSY = 6005
    INTERNAL = 6006
    DOWN = 6010
    NO_SUCH_REVISION = 6011
    NO_SUCH_HOST = 6012
    OLD_FENCE = 6020
    MODEL_NOT_LOADED = 6021
    QUEUE_FULL = 6022
    CANCELLED = 6023
    PASSED = 6030
    STAGED = 6031
    UNKNOWN_BALLOT = 6032
    RESOLVED = 6033
    HAS_MAP = 6034
    NO_MAP = 6035
    NO_SUCH_RANK = 6036
    RATE_LIMITED = 6040


class StrictModel(pydantic.BaseModel):
    """Base class of the JSON bodies that stand-ins accept.

    Unknown fields are refused.
    """

    model_config = pydantic.ConfigDict(extra="forbid", allow_inf_nan=False)


@dataclasses.dataclass(frozen=True)
class Request:
    """One HTTP request.

    :param params: values of the route's placeholders by name.
    :param headers: values by lower-case header name.
    :param connection: the caller's socket, or None outside of a server.
    """

    method: str
    path: str
    params: t.Mapping[str, str]
    query: t.Mapping[str, str]
    headers: t.Mapping[str, str]
    body: bytes
    connection: socket.socket | None = None

    def read(self, model: type[M]) -> M:
        """Return the JSON body as an instance of ``model``.

        An empty body counts as an empty object.

        :raises StandinRefusalError: when the body is invalid; its message lists the
            first errors.
        """
        try:
            return model.model_validate_json(self.body or b"{}")
        except pydantic.ValidationError as error:
            raise invalid(error) from None

    def read_as(self, adapter: pydantic.TypeAdapter) -> t.Any:
        """Return the JSON body as the type that ``adapter`` validates.

        :raises StandinRefusalError: when the body is invalid.
        """
        try:
            return adapter.validate_json(self.body)
        except pydantic.ValidationError as error:
            raise invalid(error) from None

    def number(self, name: str, default: int, maximum: int = 2**63) -> int:
        """Return the whole number of a query parameter, or ``default`` without it.

        :param maximum: a larger number is replaced by this one.
        :raises StandinRefusalError: when the value isn't a whole number.
        """
        text = self.query.get(name)
        if text is None:
            return default
        if not re.fullmatch("[0-9]{1,19}", text):
            raise malformed(f"{name}: met {text!r}, expected a whole number")
        return min(int(text), maximum)

    def is_disconnected(self) -> bool:
        """Return whether the caller has closed the connection."""
        if self.connection is None:
            return False
        try:
            # Without the poll, the read could block until the socket's timeout.
            poll = select.poll()
            poll.register(self.connection, select.POLLIN)
            if not poll.poll(0):
                return False
            return self.connection.recv(1, socket.MSG_PEEK) == b""
        except OSError:
            return True

    def abort_connection(self) -> t.NoReturn:
        """Close the connection to the caller without sending any further byte.

        :raises ConnectionResetError: always, which ends the handler.
        """
        events.emit(logger, events.STANDIN_CONNECTION_TORN, path=self.path)
        if self.connection is not None:
            with contextlib.suppress(OSError):
                self.connection.shutdown(socket.SHUT_RDWR)
        raise ConnectionResetError(errno.ECONNRESET, "torn down by a fault")


@dataclasses.dataclass(frozen=True)
class Response:
    """One HTTP response.

    :param body: the whole body, or an iterator of chunks that are sent one by one.
    """

    status: int = 200
    body: bytes | Chunks = b""
    content_type: str = "application/json"
    headers: t.Mapping[str, str] = dataclasses.field(default_factory=dict)


Handler = t.Callable[[Request], Response]
App = t.Callable[[dict, t.Callable], t.Iterable[bytes]]


@dataclasses.dataclass(frozen=True)
class Route:
    """A handler for a method and a path such as ``/v1/hosts/{host}``.

    The method ``*`` matches every method. A placeholder ``{name}`` matches one segment
    of the path; ``{name:path}`` also matches slashes.
    """

    method: str
    pattern: str
    handler: Handler

    def match(self, path: str) -> t.Mapping[str, str] | None:
        """Return the values of the placeholders, or None if ``path`` doesn't match."""
        found = _compile_pattern(self.pattern).fullmatch(path)
        return None if found is None else found.groupdict()


def malformed(message: str) -> StandinRefusalError:
    """Return the refusal of a malformed call."""
    return StandinRefusalError(400, Code.MALFORMED, message)


def invalid(error: pydantic.ValidationError) -> StandinRefusalError:
    """Return the refusal of a body with validation errors; it lists the first ones."""
    faults = error.errors(include_url=False, include_input=False)[:MAX_LISTED_ERRORS]
    return malformed(
        "; ".join(
            f"{'.'.join(str(part) for part in fault['loc']) or 'body'}: {fault['msg']}"
            for fault in faults
        )
    )


def json_response(value: t.Any, status: int = 200) -> Response:
    """Return a response with ``value``, which pydantic can serialize, as JSON."""
    return Response(status, pydantic_core.to_json(value))


def error_response(refusal: StandinRefusalError) -> Response:
    """Return the JSON response to a refused call."""
    body = {"code": int(refusal.code), "message": str(refusal), **refusal.fields}
    headers = {}
    if "retry_after_s" in refusal.fields:
        headers["Retry-After"] = str(refusal.fields["retry_after_s"])
    return Response(refusal.status, pydantic_core.to_json(body), headers=headers)


def merged(settings: M, changes: M) -> M:
    """Return a copy of ``settings`` with the fields that are set in ``changes``."""
    return settings.model_copy(update=changes.model_dump(exclude_unset=True))


def now_ms() -> float:
    """Return the current time of the monotonic clock in milliseconds."""
    return monotonic_ms()


def make_app(routes: t.Sequence[Route], threads: int) -> App:
    """Return a WSGI application that serves each call by the first matching route.

    Calls other than control calls may occupy all but :data:`CONTROL_THREADS` of the
    server's threads. A further one is refused immediately.

    :param threads: number of threads of the server.
    """
    slots = threading.BoundedSemaphore(max(1, threads - CONTROL_THREADS))

    def respond(environ: dict, start_response: t.Callable) -> t.Iterable[bytes]:
        chunks = _send(_handle(routes, environ), start_response)
        return [] if environ["REQUEST_METHOD"] == "HEAD" else chunks

    def app(environ: dict, start_response: t.Callable) -> t.Iterable[bytes]:
        if environ["PATH_INFO"].startswith("/control/"):
            return respond(environ, start_response)
        if not slots.acquire(blocking=False):
            busy = StandinRefusalError(503, Code.BUSY, "every thread is in use")
            return _send(error_response(busy), start_response)
        with contextlib.ExitStack() as resources:
            resources.callback(slots.release)
            chunks = respond(environ, start_response)
            return _ResponseBody(chunks, resources.pop_all())

    return app


@contextlib.contextmanager
def serving(
    app: App, address: str = LOOPBACK, port: int = 0, threads: int = 32
) -> t.Iterator[int]:
    """Serve ``app`` with a thread pool of its own and yield the bound port."""
    server = cheroot.wsgi.Server((address, port), app, numthreads=threads)
    server.gateway = _Gateway
    server.keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
    server.timeout = IDLE_TIMEOUT_S
    server.request_queue_size = LISTEN_BACKLOG
    server.shutdown_timeout = STOP_TIMEOUT_S
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    bound_port = server.bind_addr[1]
    events.emit(logger, events.STANDIN_LISTENING, address=address, port=bound_port)
    try:
        yield bound_port
    finally:
        _stop(server, address, bound_port)
        thread.join()
        events.emit(logger, events.STANDIN_STOPPED, port=bound_port)


def _stop(server: cheroot.wsgi.Server, address: str, port: int) -> None:
    """Stop a server without waiting for its next check of idle connections."""
    stopper = threading.Thread(target=server.stop)
    stopper.start()
    while stopper.is_alive():
        # The server notices the stop only when its selector wakes up, so a connection
        # is opened to wake it.
        with contextlib.suppress(OSError):
            socket.create_connection((address, port), STOP_TIMEOUT_S).close()
        stopper.join(STOP_RETRY_S)


class _Gateway(cheroot.wsgi.Gateway_10):
    """A gateway that gives handlers the connection, which fault injection needs."""

    def get_environ(self) -> dict:
        environ = super().get_environ()
        environ["standin.connection"] = self.req.conn.socket
        return environ


class _ResponseBody:
    """The chunks of a response, and the resources to release when it is closed."""

    def __init__(
        self, chunks: t.Iterable[bytes], resources: contextlib.ExitStack
    ) -> None:
        self._chunks = iter(chunks)
        self._resources = resources

    def __iter__(self) -> t.Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        with self._resources:
            if isinstance(self._chunks, collections.abc.Generator):
                self._chunks.close()


def _compile_pattern(pattern: str) -> re.Pattern:
    regex = re.sub(r"\{(\w+):path\}", r"(?P<\1>.*)", pattern)
    return re.compile(re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", regex))


def _handle(routes: t.Sequence[Route], environ: dict) -> Response:
    try:
        return _dispatch(routes, environ)
    except StandinRefusalError as refusal:
        return error_response(refusal)
    except ConnectionError:
        raise
    except Exception as error:
        logger.debug("call failed", exc_info=True)
        events.emit(logger, events.STANDIN_CALL_FAILED, error=repr(error))
        failed = StandinRefusalError(500, Code.INTERNAL, type(error).__name__)
        return error_response(failed)


def _dispatch(routes: t.Sequence[Route], environ: dict) -> Response:
    path = environ["PATH_INFO"]
    method = environ["REQUEST_METHOD"]
    methods = []
    for route in routes:
        params = route.match(path)
        if params is None:
            continue
        if route.method in (method, "*"):
            return route.handler(_request(environ, params))
        methods.append(route.method)
    if methods:
        expected = " or ".join(methods)
        message = f"{path}: met {method}, expected {expected}"
        raise StandinRefusalError(405, Code.METHOD_NOT_ALLOWED, message)
    raise StandinRefusalError(404, Code.NO_SUCH_PATH, f"{path}: no such path")


def _request(environ: dict, params: t.Mapping[str, str]) -> Request:
    query = urllib.parse.parse_qsl(environ["QUERY_STRING"], keep_blank_values=True)
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        params=params,
        query=dict(query),
        headers=_headers(environ),
        body=_read_body(environ),
        connection=environ.get("standin.connection"),
    )


def _headers(environ: dict) -> t.Mapping[str, str]:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    return headers


def _read_body(environ: dict) -> bytes:
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdecimal():
        raise malformed("Content-Length: expected a whole number")
    if environ.get("wsgi.input_terminated"):
        body = environ["wsgi.input"].read(MAX_BODY_BYTES + 1)
    elif int(length) <= MAX_BODY_BYTES:
        body = environ["wsgi.input"].read(int(length))
    else:
        raise too_large(int(length), MAX_BODY_BYTES)
    if len(body) > MAX_BODY_BYTES:
        raise too_large(len(body), MAX_BODY_BYTES)
    return body


def no_such_path(request: Request) -> t.NoReturn:
    """Refuse a call to a path that isn't served."""
    message = f"{request.path}: no such path"
    raise StandinRefusalError(404, Code.NO_SUCH_PATH, message)


def too_large(actual_bytes: int, limit_bytes: int) -> StandinRefusalError:
    """Return the refusal of a body or value that exceeds its limit."""
    message = f"met {actual_bytes} bytes, expected at most {limit_bytes}"
    return StandinRefusalError(413, Code.TOO_LARGE, message)


def _send(response: Response, start_response: t.Callable) -> t.Iterable[bytes]:
    headers = [("Content-Type", response.content_type), *response.headers.items()]
    if isinstance(response.body, bytes):
        headers.append(("Content-Length", str(len(response.body))))
    start_response(_status_line(response.status), headers)
    if isinstance(response.body, bytes):
        return [response.body]
    return response.body


def _status_line(status: int) -> str:
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"
