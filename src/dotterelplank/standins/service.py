"""A stand-in for a plain service that returns records and executes orders."""

import collections
import dataclasses
import hashlib
import threading
import typing as t

import pydantic

from .. import events
from . import http as standin_http

EXECUTING_METHODS = frozenset({"POST", "PUT", "PATCH", "DELETE"})
MAX_LOGGED_EXECUTIONS = 100_000
NO_KEY = ""


class ServiceFaults(standin_http.StrictModel):
    """Faults of the service; a control call changes only those that it names.

    :param delay_ms: delay between the execution of a call and its response.
    :param fail_after_execute: whether the connection of an executed call is aborted
        instead of sending the response.
    :param freeze: whether calls wait, unexecuted, until the fault ends.
    """

    delay_ms: int = pydantic.Field(default=0, ge=0, le=standin_http.MAX_WAIT_MS)
    fail_after_execute: bool = False
    freeze: bool = False


@dataclasses.dataclass(frozen=True)
class Execution:
    """One executed call.

    :param key: the call's ``X-Request-Id`` header, or an empty text without it.
    """

    key: str
    method: str
    path: str
    body_sha256: str


@dataclasses.dataclass(frozen=True)
class ExecutionReport:
    """The executions since the start.

    :param by_key: number of logged executions by key.
    :param total: number of all executions, including those no longer logged.
    :param log: the latest executions, oldest first.
    """

    by_key: t.Mapping[str, int]
    total: int
    log: t.Sequence[Execution]


@dataclasses.dataclass(frozen=True)
class Echo:
    """The response to a call, which repeats parts of the request.

    :param record: text that depends only on the path.
    """

    method: str
    path: str
    record: str
    headers: t.Mapping[str, str]
    body_sha256: str


class ServiceState:
    """The faults of the service and its log of executions, which has a maximum size.

    The oldest executions are dropped from the log.
    """

    def __init__(self) -> None:
        self.faults = ServiceFaults()
        self._log: collections.deque[Execution] = collections.deque()
        self._by_key: collections.Counter[str] = collections.Counter()
        self._total = 0

    def execute(self, execution: Execution) -> None:
        """Count and log an execution."""
        self._total += 1
        self._log.append(execution)
        self._by_key[execution.key] += 1
        if len(self._log) > MAX_LOGGED_EXECUTIONS:
            self._decrement(self._log.popleft().key)

    def report(self) -> ExecutionReport:
        """Return the logged executions and their counts."""
        return ExecutionReport(dict(self._by_key), self._total, tuple(self._log))

    def _decrement(self, key: str) -> None:
        self._by_key[key] -= 1
        if not self._by_key[key]:
            del self._by_key[key]


class Service:
    """A thread-safe service, for use inside a process and by the HTTP interface."""

    def __init__(self) -> None:
        self.state = ServiceState()
        self.changed = threading.Condition()
        self.closed = False

    def change_faults(self, changes: ServiceFaults) -> ServiceFaults:
        """Change the faults that ``changes`` sets, and wake the waiting calls.

        :return: all faults after the change.
        """
        with self.changed:
            faults = standin_http.merged(self.state.faults, changes)
            self.state.faults = faults
            self.changed.notify_all()
        events.emit(standin_http.logger, events.STANDIN_FAULTS_SET, faults=faults)
        return faults

    def report(self) -> ExecutionReport:
        """Return the logged executions and their counts."""
        with self.changed:
            return self.state.report()

    def close(self) -> None:
        """End the delays, and abort the connections of frozen calls."""
        with self.changed:
            self.closed = True
            self.changed.notify_all()


def record_of(path: str) -> str:
    """Return the record at ``path``, which is a digest of the path."""
    return hashlib.sha256(path.encode("utf-8", "surrogatepass")).hexdigest()[:16]


def routes(service: Service) -> t.Sequence[standin_http.Route]:
    """Return the HTTP interface of ``service``."""

    def executions(_request: standin_http.Request) -> standin_http.Response:
        return standin_http.json_response(service.report())

    def set_faults(request: standin_http.Request) -> standin_http.Response:
        return standin_http.json_response(
            service.change_faults(request.read(ServiceFaults))
        )

    def call(request: standin_http.Request) -> standin_http.Response:
        return _call(service, request, 200)

    def call_with_status(request: standin_http.Request) -> standin_http.Response:
        status = request.params["status"]
        if not status.isdecimal() or not 200 <= int(status) <= 599:
            raise standin_http.malformed(f"status: met {status!r}, expected 200 to 599")
        return _call(service, request, int(status))

    return [
        standin_http.Route("GET", "/control/executions", executions),
        standin_http.Route("POST", "/control/faults", set_faults),
        standin_http.Route("*", "/control/{path:path}", standin_http.no_such_path),
        standin_http.Route("*", "/status/{status}", call_with_status),
        standin_http.Route("*", "/{path:path}", call),
    ]


def _call(
    service: Service, request: standin_http.Request, status: int
) -> standin_http.Response:
    digest = hashlib.sha256(request.body).hexdigest()
    faults = _execute(service, request, digest)
    with service.changed:
        service.changed.wait_for(lambda: service.closed, faults.delay_ms / 1000.0)
    if faults.fail_after_execute and request.method in EXECUTING_METHODS:
        request.abort_connection()
    if status in (204, 205, 304):
        return standin_http.Response(status)
    record = record_of(request.path)
    echo = Echo(request.method, request.path, record, request.headers, digest)
    return standin_http.json_response(echo, status)


def _execute(
    service: Service, request: standin_http.Request, digest: str
) -> ServiceFaults:
    key = request.headers.get("x-request-id", NO_KEY)
    with service.changed:
        while service.state.faults.freeze and not service.closed:
            service.changed.wait()
        if service.closed:
            request.abort_connection()
        if request.method in EXECUTING_METHODS:
            service.state.execute(Execution(key, request.method, request.path, digest))
        return service.state.faults
