"""HTTP calls to the engine or plain service beside an agent.

urllib3's own retries are off: a call is sent once. A call that may not be repeated
uses a connection of its own, so that a failure to connect proves that it was not sent.
"""

import contextlib
import dataclasses
import json
import typing as t

import urllib3

from .. import defaults
from ..errors import UpstreamError
from .messages import Header, Submit

_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_READ_SIZE_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True)
class Call:
    """One call to an endpoint."""

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    timeout_ms: float
    is_repeatable: bool


@dataclasses.dataclass(frozen=True)
class EndpointLoad:
    """A model engine's own report of its load."""

    running: int = 0
    waiting: int = 0
    kv_used_share: float = 0.0
    step_ms: float = 0.0
    measured_ms_ago: float = 0.0


def end_to_end_headers(headers: t.Iterable[Header]) -> tuple[Header, ...]:
    """Return the headers that are meant for the far end, not for one hop."""
    return tuple(
        item for item in headers if item.name.lower() not in _HOP_BY_HOP_HEADERS
    )


def build_call(
    submit: Submit, request_id: str, traceparent: str, timeout_ms: float
) -> Call:
    """Return the call that ``submit`` asks for."""
    headers = end_to_end_headers(submit.headers)
    headers += (Header("X-Request-Id", request_id),)
    headers += (Header("traceparent", traceparent),)
    body = submit.body
    is_chat = submit.path == defaults.CHAT_PATH
    if is_chat and (submit.resume_from or submit.priority):
        body = _with_engine_fields(body, submit)
    return Call(
        submit.method, submit.path, headers, body, timeout_ms, not submit.ticket
    )


def _with_engine_fields(body: bytes, submit: Submit) -> bytes:
    """Return a chat call's body with what the engine has to know besides.

    A priority that the caller gave itself stays.
    """
    value = json.loads(body)
    if submit.resume_from:
        value["resume_from"] = submit.resume_from
    value.setdefault("priority", submit.priority)
    return json.dumps(value).encode()


class EndpointClient:
    """The connections to one endpoint."""

    def __init__(self, url: str, connections: int) -> None:
        self._url = url.rstrip("/")
        self._pool = urllib3.PoolManager(
            maxsize=connections, retries=False, block=False
        )

    @contextlib.contextmanager
    def open_response(self, call: Call) -> t.Iterator[urllib3.BaseHTTPResponse]:
        """Send ``call`` and yield its response, whose body is still to be read.

        :raises UpstreamError: if it fails; it tells whether it may have been received.
        """
        pool = self._pool if call.is_repeatable else self._new_pool()
        response = self._send(pool, call)
        is_read = False
        try:
            yield response
            is_read = True
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise UpstreamError(repr(error), sent=True) from error
        finally:
            # A body that wasn't read to its end leaves no reusable connection.
            if is_read and call.is_repeatable:
                response.release_conn()
            else:
                response.close()

    def _new_pool(self) -> urllib3.PoolManager:
        return urllib3.PoolManager(num_pools=1, maxsize=1, retries=False)

    def _send(self, pool: urllib3.PoolManager, call: Call) -> urllib3.BaseHTTPResponse:
        timeout_s = max(0.001, call.timeout_ms / 1000)
        connect_s = min(timeout_s, defaults.CONNECT_TIMEOUT_MS / 1000)
        headers = urllib3.HTTPHeaderDict()
        for header in call.headers:
            headers.add(header.name, header.value)
        try:
            return pool.request(
                call.method,
                self._url + call.path,
                headers=headers,
                body=call.body or None,
                timeout=urllib3.Timeout(connect=connect_s, read=timeout_s),
                preload_content=False,
                redirect=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise UpstreamError(repr(error), sent=False) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise UpstreamError(repr(error), sent=True) from error

    def cancel(self, request_id: str) -> bool:
        """Ask the engine to stop a request; return whether it proved it never started.

        A failed call proves nothing.
        """
        call = Call(
            "DELETE",
            f"/v1/requests/{request_id}",
            (),
            b"",
            defaults.PLATFORM_TIMEOUT_MS,
            True,
        )
        try:
            with self.open_response(call) as response:
                answer = json.loads(response.read())
        except (UpstreamError, ValueError):
            return False
        return bool(answer.get("known")) and not answer.get("started")

    def load(self) -> EndpointLoad:
        """Return the engine's load report.

        :raises UpstreamError: if it can't be read.
        """
        call = Call("GET", "/v1/load", (), b"", defaults.PLATFORM_TIMEOUT_MS, True)
        with self.open_response(call) as response:
            try:
                answer = json.loads(response.read())
                return EndpointLoad(
                    int(answer["running"]),
                    int(answer["waiting"]),
                    float(answer["kv_used_share"]),
                    float(answer["step_ms"]),
                    float(answer["measured_ms_ago"]),
                )
            except (ValueError, KeyError, TypeError) as error:
                raise UpstreamError(repr(error), sent=True) from error


def response_headers(response: urllib3.BaseHTTPResponse) -> tuple[Header, ...]:
    """Return the response's end-to-end headers."""
    return end_to_end_headers(
        Header(name, value) for name, value in response.headers.items()
    )


def iter_body(response: urllib3.BaseHTTPResponse) -> t.Iterator[bytes]:
    """Yield the body as it arrives, in pieces of at most 64 KiB."""
    while True:
        chunk = response.read1(_READ_SIZE_BYTES)
        if not chunk:
            return
        yield chunk
