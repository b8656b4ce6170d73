"""HTTP responses to callers: the endpoint's answer, or a result code."""

import http
import json
import math
import typing as t

from .. import results
from ..links import endpoint_calls
from ..links.messages import Begin
from . import sse
from .http_server import StartResponse

RESULT_HEADER = "Dotterelplank-Result"
OUTCOME_HEADER = "Dotterelplank-Outcome"
RETRY_AFTER_MS_HEADER = "Dotterelplank-Retry-After-Ms"
KEY_HEADER = "Idempotency-Key"

HeaderList = list[tuple[str, str]]


def status_line(http_status: int) -> str:
    """Return the status line that WSGI requires."""
    try:
        return f"{http_status} {http.HTTPStatus(http_status).phrase}"
    except ValueError:
        return f"{http_status} Status"


def result_headers(result: results.Result) -> HeaderList:
    """Return the headers with a result code and its outcome."""
    return [
        (RESULT_HEADER, f"{result.number} {result.name}"),
        (OUTCOME_HEADER, result.outcome.value),
    ]


def error_text(
    result: results.Result, detail: str, retry_after_ms: float | None
) -> str:
    """Return the JSON text that reports how a request ended."""
    error = {
        "code": result.number,
        "type": result.name,
        "outcome": result.outcome.value,
        "message": detail or result.meaning,
    }
    if retry_after_ms is not None:
        error["retry_after_ms"] = round(retry_after_ms)
    return json.dumps({"error": error})


def send_error(
    start_response: StartResponse,
    result: results.Result,
    detail: str = "",
    retry_after_ms: float | None = None,
    key: str = "",
    extra: t.Sequence[tuple[str, str]] = (),
) -> t.Iterable[bytes]:
    """Start a response with a result code and return its body.

    :param retry_after_ms: time after which the caller may retry, or ``None``.
    :param key: the ticket with which to send the request again, or empty.
    :param extra: additional headers.
    """
    body = error_text(result, detail, retry_after_ms).encode() + b"\n"
    headers = [("Content-Type", "application/json"), *result_headers(result), *extra]
    headers.append(("Content-Length", str(len(body))))
    if retry_after_ms is not None:
        headers.append(("Retry-After", str(math.ceil(retry_after_ms / 1000))))
        headers.append((RETRY_AFTER_MS_HEADER, str(round(retry_after_ms))))
    if key:
        headers.append((KEY_HEADER, key))
    start_response(status_line(result.http_status), headers)
    return [body]


def begin_answer(start_response: StartResponse, head: Begin, extra: HeaderList) -> None:
    """Start a response with the status and headers of an endpoint's answer."""
    headers = [
        (header.name, header.value)
        for header in endpoint_calls.end_to_end_headers(head.headers)
    ]
    headers += result_headers(results.DONE)
    start_response(status_line(head.http_status), headers + extra)


def stream_error(result: results.Result, retry_after_ms: float) -> bytes:
    """Return the event that ends a stream which could not be completed."""
    return sse.error_event(error_text(result, "", retry_after_ms))
