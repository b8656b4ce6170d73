"""A TCP proxy that injects faults between two processes.

One thread moves the bytes of all connections. The rules can be changed at any time,
from inside the process or over HTTP.
"""

import contextlib
import dataclasses
import selectors
import socket
import threading
import typing as t

from .. import events
from . import http as standin_http
from .connection import Connection, ProxyCounts, Target
from .pipe import ProxyRules, draw_delay_fraction

WAKEUP_READ_BYTES = 4096


class Proxy:
    """A proxy in front of a target; :func:`running_proxy` starts and stops it.

    :param port: port to listen on; 0 chooses a free one.
    :param seed: seed of the additional random delay of each connection.
    """

    def __init__(self, target: Target, address: str, port: int, seed: int) -> None:
        self._target = target
        self._seed = seed
        self._rules = ProxyRules()
        self._counts = ProxyCounts()
        self._lock = threading.Lock()
        self._rules_applied = threading.Condition(self._lock)
        self._applied_rules = self._rules
        self._closed = False
        self._connections: list[Connection] = []
        self._selector = selectors.DefaultSelector()
        self._wakeup_sender, self._wakeup_receiver = socket.socketpair()
        self._wakeup_receiver.setblocking(False)
        self._selector.register(self._wakeup_receiver, selectors.EVENT_READ)
        # This socket never listens. It reserves the port while the proxy refuses
        # connections and its listening socket is closed.
        self._reservation = _bind(address, port)
        self.address = address
        self.port = self._reservation.getsockname()[1]
        self._listener: socket.socket | None = None
        self._listen(True)

    def change_rules(self, changes: ProxyRules) -> ProxyRules:
        """Change the rules that ``changes`` sets, and wait until they are applied.

        The wait also ends when the rules are changed again or the proxy is closed.

        :return: all rules after the change.
        """
        with self._lock:
            rules = standin_http.merged(self._rules, changes)
            self._rules = rules
            self._wake()
            while self._applied_rules is not rules and self._rules is rules:
                if self._closed:
                    break
                self._rules_applied.wait()
        events.emit(standin_http.logger, events.STANDIN_FAULTS_SET, faults=rules)
        return rules

    def counts(self) -> ProxyCounts:
        """Return the counts since the start of the proxy."""
        with self._lock:
            return dataclasses.replace(self._counts)

    def run(self) -> None:
        """Accept connections and move bytes until the proxy is closed."""
        while True:
            with self._lock:
                if self._closed:
                    break
                self._apply(self._rules)
                timeout_s = self._update_selector()
            ready = {key.fd for key, _ in self._selector.select(timeout_s)}
            with self._lock:
                self._drain_wakeups()
                self._accept(ready)
                self._transfer(ready)

    def close(self) -> None:
        """Make :meth:`run` return."""
        with self._lock:
            self._closed = True
            self._rules_applied.notify_all()
            self._wake()

    def dispose(self) -> None:
        """Close every socket, after :meth:`run` has returned."""
        for connection in self._connections:
            connection.close(reset=True)
        self._listen(False)
        self._selector.close()
        for sock in (self._reservation, self._wakeup_sender, self._wakeup_receiver):
            sock.close()

    def _apply(self, rules: ProxyRules) -> None:
        if rules.cut:
            self._listen(False)
        else:
            self._listen(True)
        for connection in list(self._connections):
            if rules.cut or connection.must_reset(rules):
                self._drop(connection, reset=True)
        self._applied_rules = rules
        self._rules_applied.notify_all()

    def _listen(self, listening: bool) -> None:
        if listening and self._listener is None:
            self._listener = _bind(self.address, self.port)
            self._listener.setblocking(False)
            self._listener.listen(standin_http.LISTEN_BACKLOG)
            self._selector.register(self._listener, selectors.EVENT_READ)
        if not listening and self._listener is not None:
            self._selector.unregister(self._listener)
            self._listener.close()
            self._listener = None

    def _update_selector(self) -> float | None:
        """Register each socket for the events that its connection waits for.

        :return: the timeout in seconds until the next queued bytes are due, or None if
            there are none.
        """
        due = []
        for connection in self._connections:
            for sock in connection.sockets:
                self._select_events(sock, connection.mask(sock, self._rules))
            due.append(connection.next_due_ms())
        due_ms = min((at_ms for at_ms in due if at_ms is not None), default=None)
        if due_ms is None:
            return None
        return max(0.0, due_ms - standin_http.now_ms()) / 1000.0

    def _select_events(self, sock: socket.socket, mask: int) -> None:
        key = self._selector.get_map().get(sock)
        if key is not None and not mask:
            self._selector.unregister(sock)
        elif key is not None and key.events != mask:
            self._selector.modify(sock, mask)
        elif key is None and mask:
            self._selector.register(sock, mask)

    def _accept(self, ready: t.Container[int]) -> None:
        if self._listener is None or self._listener.fileno() not in ready:
            return
        with contextlib.suppress(OSError):
            caller, _ = self._listener.accept()
            delay_fraction = draw_delay_fraction(self._seed, self._counts.connections)
            connection = Connection(caller, delay_fraction, self._counts, self._target)
            self._connections.append(connection)
            self._counts.connections += 1
            self._counts.open += 1

    def _transfer(self, ready: t.Container[int]) -> None:
        now_ms = standin_http.now_ms()
        for connection in list(self._connections):
            try:
                if not connection.transfer(ready, self._rules, now_ms):
                    self._drop(connection, reset=False)
            except OSError:
                self._drop(connection, reset=True)

    def _drop(self, connection: Connection, reset: bool) -> None:
        for sock in connection.sockets:
            self._select_events(sock, 0)
        connection.close(reset)
        self._connections.remove(connection)
        self._counts.open -= 1
        self._counts.reset += reset

    def _wake(self) -> None:
        with contextlib.suppress(OSError):
            self._wakeup_sender.send(b"\0")

    def _drain_wakeups(self) -> None:
        with contextlib.suppress(BlockingIOError):
            self._wakeup_receiver.recv(WAKEUP_READ_BYTES)


@contextlib.contextmanager
def running_proxy(
    target: Target, address: str = standin_http.LOOPBACK, port: int = 0, seed: int = 0
) -> t.Iterator[Proxy]:
    """Yield a proxy in front of ``target`` that runs on a thread of its own."""
    proxy = Proxy(target, address, port, seed)
    thread = threading.Thread(target=proxy.run, daemon=True)
    thread.start()
    try:
        yield proxy
    finally:
        proxy.close()
        thread.join()
        proxy.dispose()


def routes(proxy: Proxy) -> t.Sequence[standin_http.Route]:
    """Return the HTTP interface that controls ``proxy``."""

    def change_rules(request: standin_http.Request) -> standin_http.Response:
        return standin_http.json_response(proxy.change_rules(request.read(ProxyRules)))

    def counts(_request: standin_http.Request) -> standin_http.Response:
        return standin_http.json_response(proxy.counts())

    return [
        standin_http.Route("POST", "/control/rules", change_rules),
        standin_http.Route("GET", "/control/counts", counts),
    ]


def _bind(address: str, port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((address, port))
    except OSError:
        sock.close()
        raise
    return sock
