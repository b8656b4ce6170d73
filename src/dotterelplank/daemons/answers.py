"""Sending a request from the agent to the endpoint, and its answer to the entry."""

import dataclasses
import threading
import typing as t

import urllib3

from .. import defaults, results
from ..errors import LinkClosedError, UpstreamError
from ..links import endpoint_calls
from ..links.endpoint_calls import EndpointClient
from ..links.links import Link
from ..links.messages import Begin, Chunk, End, Refuse, Submit
from . import jobs, sse
from .ledger import Answer
from .tickets import Ticket

_BUSY_STATUSES = frozenset({429, 503})
_FAILED_STATUSES = frozenset({500, 502, 504})
_CHUNK_SIZE_BYTES = 256 * 1024


class Job:
    """One request that holds a slot at an agent.

    :param ticket: the ticket of the request, or ``None`` if it has none.
    :param name: the identifier of the request at the endpoint.
    """

    def __init__(self, link: Link, submit: Submit, ticket: Ticket | None, name: str):
        self.link = link
        self.submit = submit
        self.ticket = ticket
        self.name = name
        self.progress = jobs.Progress()
        self.cancelled = threading.Event()
        self._credit_bytes = defaults.CREDIT_BYTES
        self._changed = threading.Condition()

    def add_credit(self, size_bytes: int) -> None:
        """Allow the job to send ``size_bytes`` more of its answer."""
        with self._changed:
            self._credit_bytes += size_bytes
            self._changed.notify()

    def cancel(self) -> None:
        """Mark the job as cancelled; it then sends no further part of a stream."""
        self.cancelled.set()
        with self._changed:
            self._changed.notify()

    def spend_credit(self, size_bytes: int) -> bool:
        """Wait for credit, then use ``size_bytes`` of it.

        :returns: whether the data may be sent; ``False`` if the job was cancelled or
            the link closed.
        """
        with self._changed:
            while self._credit_bytes <= 0 and not self.cancelled.is_set():
                self._changed.wait(timeout=1.0)
                if not self.link.is_open:
                    return False
            self._credit_bytes -= size_bytes
        return not self.cancelled.is_set()


@dataclasses.dataclass(frozen=True)
class JobOutcome:
    """How a job ended at the endpoint.

    :param result: the result code; ``DONE`` for a complete answer.
    :param answer: the complete answer, or ``None`` if it was streamed or there is none.
    """

    result: results.Result
    answer: Answer | None = None


def stream(
    job: Job, client: EndpointClient, traceparent: str, timeout_ms: float
) -> JobOutcome:
    """Relay the engine's token stream to the entry as it arrives."""
    call = endpoint_calls.build_call(job.submit, job.name, traceparent, timeout_ms)
    try:
        with client.open_response(call) as response:
            if response.status != 200:
                return _read_answer(response)
            return _relay(job, response)
    except UpstreamError as error:
        return JobOutcome(results.ENDPOINT_LOST if error.sent else _UNSENT)
    except LinkClosedError:
        return JobOutcome(results.STREAM_CUT)


_UNSENT = results.ENDPOINT_UNREACHABLE


def _relay(job: Job, response: urllib3.BaseHTTPResponse) -> JobOutcome:
    request_id = job.submit.request_id
    job.link.send(Begin(request_id, 200, endpoint_calls.response_headers(response)))
    splitter = sse.EventSplitter()
    sequence = 0
    for part in endpoint_calls.iter_body(response):
        completed = splitter.feed(part)
        if completed is None:
            continue
        if not job.spend_credit(len(completed.data)):
            return JobOutcome(results.STREAM_CUT)
        job.link.send(Chunk(request_id, sequence, completed.tokens, completed.data))
        sequence += 1
        if completed.is_last:
            job.link.send(End(request_id, sequence))
            return JobOutcome(results.DONE)
    return JobOutcome(results.STREAM_CUT)


def collect(
    job: Job, client: EndpointClient, traceparent: str, timeout_ms: float
) -> JobOutcome:
    """Call the endpoint and read its complete answer."""
    call = endpoint_calls.build_call(job.submit, job.name, traceparent, timeout_ms)
    try:
        with client.open_response(call) as response:
            return _read_answer(response)
    except UpstreamError as error:
        return JobOutcome(results.ENDPOINT_LOST if error.sent else _UNSENT)


def _read_answer(response: urllib3.BaseHTTPResponse) -> JobOutcome:
    body = response.read()
    headers = endpoint_calls.response_headers(response)
    return JobOutcome(results.DONE, Answer(response.status, headers, body))


def classify_model_answer(outcome: JobOutcome) -> JobOutcome:
    """Replace a model engine's refusal or failure by a result code.

    The answers of plain services are passed on with any status, without this function.
    """
    if outcome.answer is None:
        return outcome
    if outcome.answer.http_status in _BUSY_STATUSES:
        return JobOutcome(results.ENDPOINT_FULL)
    if outcome.answer.http_status in _FAILED_STATUSES:
        return JobOutcome(results.ENDPOINT_LOST)
    return outcome


def send_answer(link: Link, request_id: int, answer: Answer) -> None:
    """Send a complete answer to the entry.

    :raises LinkClosedError: if the link to the entry is closed.
    """
    link.send(Begin(request_id, answer.http_status, answer.headers))
    count = 0
    for part in _split(answer.body):
        link.send(Chunk(request_id, count, 0, part))
        count += 1
    link.send(End(request_id, count))


def _split(body: bytes) -> t.Iterator[bytes]:
    for start in range(0, len(body), _CHUNK_SIZE_BYTES):
        yield body[start : start + _CHUNK_SIZE_BYTES]


def send_refusal(
    link: Link, request_id: int, result: results.Result, wait_ms: float
) -> None:
    """Report to the entry that a request ended without a complete answer.

    :param wait_ms: time after which the caller may retry.
    :raises LinkClosedError: if the link to the entry is closed.
    """
    link.send(Refuse(request_id, result.number, wait_ms))
