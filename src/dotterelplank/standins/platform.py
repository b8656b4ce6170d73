"""A stand-in for the platform, which publishes a configuration and a list of hosts.

:class:`PlatformState` reads no clock and does no I/O: its methods get the current time
as an argument. :class:`Platform` adds the lock and the clock, and :func:`routes` the
HTTP interface with its long polls.
"""

import collections
import dataclasses
import threading
import typing as t

import pydantic

from .. import events
from ..errors import StandinRefusalError
from . import http as standin_http

MAX_TEXT_BYTES = 1024 * 1024
MAX_REVISIONS = 32
MAX_HOST_LISTS = 1024
WATCH_POLL_MS = 500.0
LAGGING_WATCH_POLL_MS = 20.0


class HostEntry(standin_http.StrictModel):
    """A host as the platform lists it.

    :param port: port of the entry or agent that runs on the host.
    """

    host: str = pydantic.Field(min_length=1, max_length=255)
    address: str = standin_http.LOOPBACK
    port: int = pydantic.Field(ge=1, le=65535)
    domain: str = pydantic.Field(min_length=1, max_length=255)
    role: t.Literal["entry", "agent"]
    state: t.Literal["live", "leaving"] = "live"
    labels: dict[str, str] = {}


class HostChange(standin_http.StrictModel):
    """Fields of a host to change; for a new host, those without a default are required.

    :param host: name of the host; if set, it must be the name in the path.
    """

    host: str | None = None
    address: str | None = None
    port: int | None = None
    domain: str | None = None
    role: str | None = None
    state: str | None = None
    labels: dict[str, str] | None = None


class ConfigurationText(standin_http.StrictModel):
    """The body of a control call that publishes a configuration."""

    text: str


class PlatformFaults(standin_http.StrictModel):
    """Faults of the platform; a control call changes only those that it names.

    :param down: whether every read is refused with status 503.
    :param delay_ms: delay of each response to a read.
    :param serve_revision: the revision that readers get instead of the latest one.
    :param hosts_lag_ms: age of the list of hosts that readers get.
    """

    down: bool = False
    delay_ms: int = pydantic.Field(default=0, ge=0, le=standin_http.MAX_WAIT_MS)
    serve_revision: int | None = pydantic.Field(default=None, ge=0)
    hosts_lag_ms: int = pydantic.Field(default=0, ge=0)


@dataclasses.dataclass(frozen=True)
class Configuration:
    """A published configuration; the first one is revision 1.

    Revision 0 has an empty text and stands for the time before.
    """

    revision: int
    text: str


@dataclasses.dataclass(frozen=True)
class Published:
    """The response to an operator who has published a configuration."""

    revision: int


@dataclasses.dataclass(frozen=True)
class HostList:
    """The list of hosts in one of its versions, which are counted from 0."""

    version: int
    hosts: t.Sequence[HostEntry]


@dataclasses.dataclass
class ReadCounts:
    """Counts of the read calls since the start; a long poll counts once."""

    configuration: int = 0
    hosts: int = 0


class PlatformState:
    """The published data and the faults of the platform; it isn't thread-safe."""

    def __init__(self) -> None:
        self.faults = PlatformFaults()
        self.counts = ReadCounts()
        self._configurations = collections.deque(
            [Configuration(0, "")], maxlen=MAX_REVISIONS
        )
        self._host_lists = collections.deque(
            [(float("-inf"), HostList(0, ()))], maxlen=MAX_HOST_LISTS
        )

    def configuration(self) -> Configuration:
        """Return the configuration that readers get now.

        :raises StandinRefusalError: when ``serve_revision`` is no longer stored.
        """
        served_revision = self.faults.serve_revision
        if served_revision is None:
            return self._configurations[-1]
        return self._find(served_revision)

    def publish(self, text: str) -> Published:
        """Add a configuration as the next revision.

        :raises StandinRefusalError: when the text exceeds MAX_TEXT_BYTES.
        """
        size_bytes = len(text.encode("utf-8", "surrogatepass"))
        if size_bytes > MAX_TEXT_BYTES:
            raise standin_http.too_large(size_bytes, MAX_TEXT_BYTES)
        revision = self._configurations[-1].revision + 1
        self._configurations.append(Configuration(revision, text))
        return Published(revision)

    def hosts(self, now_ms: float) -> HostList:
        """Return the list of hosts of ``hosts_lag_ms`` ago, or the oldest in memory."""
        as_of_ms = now_ms - self.faults.hosts_lag_ms
        for at_ms, hosts in reversed(self._host_lists):
            if at_ms <= as_of_ms:
                return hosts
        return self._host_lists[0][1]

    def replace_hosts(self, hosts: t.Sequence[HostEntry], now_ms: float) -> HostList:
        """Replace the whole list of hosts and return the new one.

        :raises StandinRefusalError: when two entries have the same name.
        """
        names = collections.Counter(entry.host for entry in hosts)
        duplicates = sorted(name for name, count in names.items() if count > 1)
        if duplicates:
            raise standin_http.malformed(f"hosts: met {duplicates[0]!r} twice")
        latest = HostList(self._latest_hosts().version + 1, tuple(hosts))
        self._host_lists.append((now_ms, latest))
        return latest

    def change_host(self, host: str, change: HostChange, now_ms: float) -> HostList:
        """Change the fields of a host that ``change`` sets, or add the host.

        :return: the new list of hosts.
        :raises StandinRefusalError: when the resulting entry is invalid.
        """
        if change.host not in (None, host):
            raise standin_http.malformed(
                "host: the body names another host than the path"
            )
        fields = self._host_fields(host)
        fields.update(change.model_dump(exclude_unset=True), host=host)
        try:
            entry = HostEntry.model_validate(fields)
        except pydantic.ValidationError as error:
            raise standin_http.invalid(error) from None
        return self.replace_hosts([*self._other_hosts(host), entry], now_ms)

    def delete_host(self, host: str, now_ms: float) -> HostList:
        """Remove a host and return the new list of hosts.

        :raises StandinRefusalError: when the host isn't listed.
        """
        others = self._other_hosts(host)
        if len(others) == len(self._latest_hosts().hosts):
            message = f"{host}: no such host"
            raise StandinRefusalError(404, standin_http.Code.NO_SUCH_HOST, message)
        return self.replace_hosts(others, now_ms)

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the faults.

        :raises StandinRefusalError: when ``serve_revision`` isn't stored.
        """
        if faults.serve_revision is not None:
            self._find(faults.serve_revision)
        self.faults = faults

    def _latest_hosts(self) -> HostList:
        return self._host_lists[-1][1]

    def _host_fields(self, host: str) -> dict[str, t.Any]:
        for entry in self._latest_hosts().hosts:
            if entry.host == host:
                return entry.model_dump()
        return {}

    def _other_hosts(self, host: str) -> t.Sequence[HostEntry]:
        return [entry for entry in self._latest_hosts().hosts if entry.host != host]

    def _find(self, revision: int) -> Configuration:
        for configuration in self._configurations:
            if configuration.revision == revision:
                return configuration
        message = f"{revision}: no such revision is held"
        raise StandinRefusalError(400, standin_http.Code.NO_SUCH_REVISION, message)


class Platform:
    """A thread-safe platform, for use inside a process and by the HTTP interface."""

    def __init__(self, state: PlatformState | None = None) -> None:
        self.state = state or PlatformState()
        self.changed = threading.Condition()
        self.closed = False

    def publish(self, text: str) -> Published:
        """Publish a configuration and wake the waiting readers."""
        with self.changed:
            published = self.state.publish(text)
            self.changed.notify_all()
        return published

    def replace_hosts(self, hosts: t.Sequence[HostEntry]) -> HostList:
        """Replace the list of hosts and wake the waiting readers."""
        with self.changed:
            latest = self.state.replace_hosts(hosts, standin_http.now_ms())
            self.changed.notify_all()
        return latest

    def change_host(self, host: str, change: HostChange) -> HostList:
        """Change or add a host and wake the waiting readers."""
        with self.changed:
            latest = self.state.change_host(host, change, standin_http.now_ms())
            self.changed.notify_all()
        return latest

    def delete_host(self, host: str) -> HostList:
        """Remove a host and wake the waiting readers."""
        with self.changed:
            latest = self.state.delete_host(host, standin_http.now_ms())
            self.changed.notify_all()
        return latest

    def change_faults(self, changes: PlatformFaults) -> PlatformFaults:
        """Change the faults that ``changes`` sets, and wake the waiting readers.

        :return: all faults after the change.
        """
        with self.changed:
            faults = standin_http.merged(self.state.faults, changes)
            self.state.set_faults(faults)
            self.changed.notify_all()
        events.emit(standin_http.logger, events.STANDIN_FAULTS_SET, faults=faults)
        return faults

    def close(self) -> None:
        """End every waiting read."""
        with self.changed:
            self.closed = True
            self.changed.notify_all()


def routes(platform: Platform) -> t.Sequence[standin_http.Route]:
    """Return the HTTP interface of ``platform``."""
    host_list = pydantic.TypeAdapter(list[HostEntry])

    def read_configuration(request: standin_http.Request) -> standin_http.Response:
        with platform.changed:
            platform.state.counts.configuration += 1
        return _long_poll(
            platform,
            request,
            lambda: platform.state.configuration(),
            lambda found: found.revision,
        )

    def read_hosts(request: standin_http.Request) -> standin_http.Response:
        with platform.changed:
            platform.state.counts.hosts += 1
        return _long_poll(
            platform,
            request,
            lambda: platform.state.hosts(standin_http.now_ms()),
            lambda found: found.version,
        )

    def publish(request: standin_http.Request) -> standin_http.Response:
        return standin_http.json_response(
            platform.publish(request.read(ConfigurationText).text)
        )

    def replace_hosts(request: standin_http.Request) -> standin_http.Response:
        return standin_http.json_response(
            platform.replace_hosts(request.read_as(host_list))
        )

    def change_host(request: standin_http.Request) -> standin_http.Response:
        change = request.read(HostChange)
        return standin_http.json_response(
            platform.change_host(request.params["host"], change)
        )

    def delete_host(request: standin_http.Request) -> standin_http.Response:
        return standin_http.json_response(platform.delete_host(request.params["host"]))

    def counts(_request: standin_http.Request) -> standin_http.Response:
        with platform.changed:
            return standin_http.json_response(platform.state.counts)

    def set_faults(request: standin_http.Request) -> standin_http.Response:
        return standin_http.json_response(
            platform.change_faults(request.read(PlatformFaults))
        )

    return [
        standin_http.Route("GET", "/v1/configuration", read_configuration),
        standin_http.Route("GET", "/v1/hosts", read_hosts),
        standin_http.Route("GET", "/control/counts", counts),
        standin_http.Route("POST", "/control/configuration", publish),
        standin_http.Route("PUT", "/control/hosts", replace_hosts),
        standin_http.Route("PUT", "/control/hosts/{host}", change_host),
        standin_http.Route("DELETE", "/control/hosts/{host}", delete_host),
        standin_http.Route("POST", "/control/faults", set_faults),
    ]


def _long_poll(
    platform: Platform,
    request: standin_http.Request,
    read: t.Callable[[], t.Any],
    version_of: t.Callable[[t.Any], int],
) -> standin_http.Response:
    """Answer a read as soon as there is a version above the parameter ``after``.

    The response is 204 if there is none within the parameter ``wait_ms``.

    :param read: returns the data that readers get now.
    :param version_of: returns the revision or version of such data.
    """
    after = request.number("after", -1)
    wait_ms = request.number("wait_ms", 0, standin_http.MAX_WAIT_MS)
    end_ms = standin_http.now_ms() + wait_ms
    delay_s = platform.state.faults.delay_ms / 1000.0
    with platform.changed:
        platform.changed.wait_for(lambda: platform.closed, delay_s)
        while True:
            if request.is_disconnected():
                request.abort_connection()
            if platform.state.faults.down or platform.closed:
                raise StandinRefusalError(
                    503, standin_http.Code.DOWN, "the platform is down"
                )
            found = read()
            if version_of(found) > after:
                return standin_http.json_response(found)
            remaining_ms = end_ms - standin_http.now_ms()
            if remaining_ms <= 0:
                return standin_http.Response(204)
            lags = platform.state.faults.hosts_lag_ms > 0
            # No notification comes when the caller disconnects, nor when an older
            # list of hosts reaches the age at which it is served.
            poll_ms = LAGGING_WATCH_POLL_MS if lags else WATCH_POLL_MS
            platform.changed.wait(min(remaining_ms, poll_ms) / 1000.0)
