"""HTTP calls from an agent to the model engine or plain service that it serves.

The retries of urllib3 are disabled, so a call is sent only once. A call that must not
be repeated uses a new connection; a failure to connect then proves that it was not
sent.
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
    """One HTTP call to an endpoint.

    :param is_repeatable: whether the call may be sent again and thus may use a pooled
        connection.
    """

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    timeout_ms: float
    is_repeatable: bool


@dataclasses.dataclass(frozen=True)
class EndpointLoad:
    """The load that a model engine reports."""

    running: int = 0
    waiting: int = 0
    kv_used_share: float = 0.0
    step_ms: float = 0.0
    measured_ms_ago: float = 0.0


def end_to_end_headers(headers: t.Iterable[Header]) -> tuple[Header, ...]:
    """Return ``headers`` without the hop-by-hop headers."""
    return tuple(
        item for item in headers if item.name.lower() not in _HOP_BY_HOP_HEADERS
    )


def build_call(
    submit: Submit, request_id: str, traceparent: str, timeout_ms: float
) -> Call:
    """Return the HTTP call for the request in ``submit``."""
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
    """Return the body of a chat call with the fields for the engine added.

    These are the priority and, for a resumed stream, ``resume_from``. A priority in the
    caller's body is kept.
    """
    value = json.loads(body)
    if submit.resume_from:
        value["resume_from"] = submit.resume_from
    value.setdefault("priority", submit.priority)
    return json.dumps(value).encode()


class EndpointClient:
    """An HTTP client for one endpoint, with a connection pool."""

    def __init__(self, url: str, connections: int) -> None:
        self._url = url.rstrip("/")
        self._pool = urllib3.PoolManager(
            maxsize=connections, retries=False, block=False
        )

    @contextlib.contextmanager
    def open_response(self, call: Call) -> t.Iterator[urllib3.BaseHTTPResponse]:
        """Send ``call`` and yield its response, whose body is not read yet.

        :raises UpstreamError: if the call fails; ``sent`` says whether the endpoint may
            have received it.
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
            # The connection can be reused only if the body was read to its end.
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
        """Ask the engine to cancel a request.

        :return: ``True`` if the engine knows the request and has not started it;
            ``False`` otherwise, also if the call fails.
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
                result = json.loads(response.read())
        except (UpstreamError, ValueError):
            return False
        return bool(result.get("known")) and not result.get("started")

    def load(self) -> EndpointLoad:
        """Return the load that the engine reports.

        :raises UpstreamError: if the call fails or the report is invalid.
        """
        call = Call("GET", "/v1/load", (), b"", defaults.PLATFORM_TIMEOUT_MS, True)
        with self.open_response(call) as response:
            try:
                report = json.loads(response.read())
                return EndpointLoad(
                    int(report["running"]),
                    int(report["waiting"]),
                    float(report["kv_used_share"]),
                    float(report["step_ms"]),
                    float(report["measured_ms_ago"]),
                )
            except (ValueError, KeyError, TypeError) as error:
                raise UpstreamError(repr(error), sent=True) from error


def response_headers(response: urllib3.BaseHTTPResponse) -> tuple[Header, ...]:
    """Return the headers of ``response`` without the hop-by-hop headers."""
    return end_to_end_headers(
        Header(name, value) for name, value in response.headers.items()
    )


def iter_body(response: urllib3.BaseHTTPResponse) -> t.Iterator[bytes]:
    """Yield the body as it arrives, in chunks of at most 64 KiB."""
    while True:
        chunk = response.read1(_READ_SIZE_BYTES)
        if not chunk:
            return
        yield chunk
