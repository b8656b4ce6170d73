"""The pages for operators: health, metrics and status. They have their own port."""

import dataclasses
import json
import pathlib
import resource
import typing as t

from .. import metrics as metrics_module
from ..clocks import monotonic_ms
from ..config.settings import AgentSettings, EntrySettings
from ..metrics import Metrics
from ..routing.endpoint_view import EndpointView, held_requests
from .blackboard import Blackboard, Host
from .http_server import Application, StartResponse

_STATM = pathlib.Path("/proc/self/statm")


@dataclasses.dataclass(frozen=True)
class HostStatus:
    """The status of a host as this process sees it.

    :param state: the status in membership, which is ``alive``, ``suspect``, ``dead``
        or ``leaving``; ``unheard`` for a host that membership doesn't know.
    :param linked: whether there is a link to it.
    :param usable: whether it may get new work.
    :param heard_ms_ago: time since data was last received from it; ``None`` without a
        link.
    :param load_measured_ms_ago: age of its last load; ``None`` if there is none.
    :param held_requests: its estimated number of requests; ``None`` without a load.
    :param own_in_flight: number of requests that this process has in progress there.
    """

    host: str
    domain: str
    role: str
    state: str
    linked: bool
    usable: bool
    labels: t.Mapping[str, str]
    heard_ms_ago: float | None
    load_measured_ms_ago: float | None
    held_requests: float | None
    own_in_flight: int


@dataclasses.dataclass(frozen=True)
class Status:
    """The status of one process.

    :param uptime_ms: time since the start.
    :param in_flight: number of requests in progress.
    :param cpu_ms: processor time used since the start.
    :param memory_bytes: resident memory.
    """

    host: str
    role: str
    domain: str
    uptime_ms: float
    stopping: bool
    configuration_revision: int
    configuration_digest: str
    refused_revision: int
    refused_why: str
    host_list_version: int
    in_flight: int
    cpu_ms: float
    memory_bytes: int
    hosts: tuple[HostStatus, ...]


def read(
    now_ms: float,
    role: str,
    settings: EntrySettings | AgentSettings,
    board: Blackboard,
    in_flight: int,
) -> Status:
    """Return the status of this process, read from ``board``."""
    hosts = board.hosts.hosts
    part = board.configuration
    return Status(
        settings.host,
        role,
        settings.domain,
        now_ms - board.lifecycle.started_ms,
        board.lifecycle.stopping,
        part.revision,
        part.digest.hex()[:12],
        part.refused_revision,
        part.refused_why,
        board.hosts.version,
        in_flight,
        _cpu_ms(),
        _memory_bytes(),
        tuple(_host(now_ms, board, hosts[name]) for name in sorted(hosts)),
    )


def _cpu_ms() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return (used.ru_utime + used.ru_stime) * 1000


def _memory_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    pages = int(_STATM.read_text("ascii").split()[1])
    return pages * resource.getpagesize()


def _host(now_ms: float, board: Blackboard, host: Host) -> HostStatus:
    peer = board.peers.get(host.host)
    view = board.endpoints.get(host.host)
    member = board.members.get(host.host)
    state = "unheard" if member is None else member.status.name.lower()
    is_leaving = host.is_leaving or (peer is not None and peer.is_leaving)
    return HostStatus(
        host.host,
        host.domain,
        host.role,
        "leaving" if is_leaving else state,
        peer is not None,
        member is not None and member.is_usable and not is_leaving,
        dict(host.labels),
        None if peer is None else now_ms - peer.link.last_seen_ms,
        _load_age_ms(now_ms, view),
        None if view is None or view.report is None else held_requests(view, 1),
        0 if view is None else len(view.in_flight),
    )


def _load_age_ms(now_ms: float, view: EndpointView | None) -> float | None:
    if view is None or view.report is None:
        return None
    return now_ms - view.measured_ms


def as_json(status: Status) -> bytes:
    """Return ``status`` as JSON."""
    return json.dumps(dataclasses.asdict(status), indent=2).encode() + b"\n"


def as_text(status: Status) -> bytes:
    """Return ``status`` as a page of plain text."""
    lines = [
        f"{status.role} {status.host} in {status.domain}, "
        f"up {status.uptime_ms / 1000:.0f} s"
        + (", shutting down" if status.stopping else ""),
        f"configuration: revision {status.configuration_revision} in force "
        f"({status.configuration_digest or 'none'})",
    ]
    if status.refused_revision:
        lines.append(f"refused: revision {status.refused_revision}")
        lines.append(f"  because: {status.refused_why}")
    lines.append(f"host list: version {status.host_list_version}")
    lines.append(f"in flight: {status.in_flight}")
    lines.append(
        f"processor time: {status.cpu_ms / 1000:.1f} s, "
        f"memory: {status.memory_bytes / 1e6:.0f} MB"
    )
    lines.append(
        f"{'host':<20}{'domain':<12}{'role':<8}{'state':<10}"
        f"{'linked':<8}{'usable':<8}heard  load"
    )
    lines.extend(_host_line(host) for host in status.hosts)
    return ("\n".join(lines) + "\n").encode()


def _host_line(host: HostStatus) -> str:
    heard = "-" if host.heard_ms_ago is None else f"{host.heard_ms_ago:.0f} ms"
    load = "-"
    if host.held_requests is not None:
        load = f"{host.held_requests:.0f} held, {host.load_measured_ms_ago:.0f} ms old"
    return (
        f"{host.host:<20}{host.domain:<12}{host.role:<8}{host.state:<10}"
        f"{_yes_no(host.linked):<8}{_yes_no(host.usable):<8}{heard}  {load}"
    )


def _yes_no(value: bool) -> str:
    return "yes" if value else "no"


def application(
    role: str,
    settings: EntrySettings | AgentSettings,
    board: Blackboard,
    metrics: Metrics,
    in_flight: t.Callable[[], int],
) -> Application:
    """Return the WSGI application that serves the pages for operators."""

    def respond(
        environ: dict[str, t.Any], start_response: StartResponse
    ) -> t.Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/healthz":
            return _health(board, start_response)
        if path == "/metrics":
            headers = list(metrics_module.content_type().items())
            start_response("200 OK", headers)
            return [metrics.render()]
        if path == "/status":
            status = read(monotonic_ms(), role, settings, board, in_flight())
            wants_text = "format=text" in environ.get("QUERY_STRING", "")
            kind = "text/plain; charset=utf-8" if wants_text else "application/json"
            start_response("200 OK", [("Content-Type", kind)])
            return [as_text(status) if wants_text else as_json(status)]
        start_response("404 Not Found", [("Content-Type", "text/plain")])
        return [b"met another path, expected /healthz, /metrics or /status\n"]

    return respond


def _health(board: Blackboard, start_response: StartResponse) -> t.Iterable[bytes]:
    reason = unhealthy_reason(board)
    status = "200 OK" if reason is None else "503 Service Unavailable"
    start_response(status, [("Content-Type", "text/plain")])
    return [(reason or "ok").encode() + b"\n"]


def unhealthy_reason(board: Blackboard) -> str | None:
    """Return the reason why this process should get no traffic, or ``None``."""
    if board.lifecycle.stopping:
        return "shutting down"
    if board.configuration.configuration is None:
        return "no configuration accepted yet"
    return None
