"""A connection through the fault-injecting proxy: two sockets and two pipes."""

import dataclasses
import errno
import selectors
import socket
import struct
import typing as t

from .pipe import Direction, Pipe, ProxyRules

CHUNK_BYTES = 64 * 1024
# SO_LINGER with a timeout of 0 s: closing the socket sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass
class ProxyCounts:
    """Counts of a proxy since its start.

    :param connections: accepted connections.
    :param open: connections that are open now.
    :param reset: connections that the proxy has reset.
    :param up_bytes: bytes forwarded from callers to the target.
    :param down_bytes: bytes forwarded from the target to callers.
    :param swallowed_bytes: bytes discarded in both directions.
    """

    connections: int = 0
    open: int = 0
    reset: int = 0
    up_bytes: int = 0
    down_bytes: int = 0
    swallowed_bytes: int = 0

    def add(self, direction: Direction, forwarded_bytes: int) -> None:
        """Count bytes that were forwarded in a direction."""
        if direction == "up":
            self.up_bytes += forwarded_bytes
        else:
            self.down_bytes += forwarded_bytes


@dataclasses.dataclass(frozen=True)
class Target:
    """The address and port that a proxy connects to."""

    address: str
    port: int


class _Flow:
    """Moves the bytes of one direction from a socket through a pipe to the other."""

    def __init__(
        self,
        pipe: Pipe,
        source: socket.socket,
        sink: socket.socket,
        counts: ProxyCounts,
    ) -> None:
        self.pipe = pipe
        self.source = source
        self.sink = sink
        self.blocked = False
        self.write_closed = False
        self._counts = counts

    def read(self, rules: ProxyRules, now_ms: float) -> None:
        discarded = rules.discards(self.pipe.direction)
        try:
            data = self.source.recv(CHUNK_BYTES)
        except BlockingIOError:
            return
        except ConnectionError:
            if not discarded:
                raise
            data = b""
        self.pipe.receive(data, rules, now_ms)
        self._counts.swallowed_bytes += len(data) if discarded else 0

    def write(self, rules: ProxyRules, now_ms: float) -> None:
        self.blocked = False
        while data := self.pipe.due_bytes(rules, now_ms):
            try:
                sent_bytes = self.sink.send(data)
            except BlockingIOError:
                self.blocked = True
                return
            self.pipe.mark_sent(sent_bytes)
            self._counts.add(self.pipe.direction, sent_bytes)
        if self.pipe.finished() and not self.write_closed:
            self.sink.shutdown(socket.SHUT_WR)
            self.write_closed = True


class Connection:
    """The socket to the caller, the socket to the target, and the flows between them.

    :param caller: the accepted socket.
    :param delay_fraction: fraction of ``reorder_ms`` that is added to each delay.
    :param counts: the proxy's counts, which the flows update.
    """

    def __init__(
        self,
        caller: socket.socket,
        delay_fraction: float,
        counts: ProxyCounts,
        target: Target,
    ) -> None:
        self.caller = caller
        self.target = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        for sock in (self.caller, self.target):
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connecting = True
        error = self.target.connect_ex((target.address, target.port))
        self._connect_error = 0 if error == errno.EINPROGRESS else error
        self.flows = (
            _Flow(Pipe("up", delay_fraction), self.caller, self.target, counts),
            _Flow(Pipe("down", delay_fraction), self.target, self.caller, counts),
        )

    @property
    def sockets(self) -> t.Sequence[socket.socket]:
        """Return the socket to the caller and the socket to the target."""
        return (self.caller, self.target)

    def mask(self, sock: socket.socket, rules: ProxyRules) -> int:
        """Return the selector events to wait for on ``sock``; 0 means none."""
        if self.connecting:
            return selectors.EVENT_WRITE if sock is self.target else 0
        mask = 0
        for flow in self.flows:
            if flow.source is sock and flow.pipe.wants_bytes(rules):
                mask |= selectors.EVENT_READ
            if flow.sink is sock and flow.blocked:
                mask |= selectors.EVENT_WRITE
        return mask

    def transfer(
        self, ready: t.Container[int], rules: ProxyRules, now_ms: float
    ) -> bool:
        """Read and write all bytes that can be moved now.

        :param ready: file descriptors that the selector has returned.
        :return: True while the connection is open, False once both directions have
            ended.
        :raises OSError: when the connection must be reset.
        """
        if self.connecting:
            self._finish_connecting(ready)
            return True
        for flow in self.flows:
            if flow.source.fileno() in ready and flow.pipe.wants_bytes(rules):
                flow.read(rules, now_ms)
            flow.write(rules, now_ms)
        if self.must_reset(rules):
            raise ConnectionResetError("reset by a rule")
        return not all(flow.write_closed for flow in self.flows)

    def must_reset(self, rules: ProxyRules) -> bool:
        """Return whether the connection must be reset under ``rules``."""
        return any(flow.pipe.must_reset(rules) for flow in self.flows)

    def next_due_ms(self) -> float | None:
        """Return when the next queued bytes may be sent, or None without any.

        Directions whose receiving socket is full are left out: the selector reports
        when that socket can be written to.
        """
        due = [flow.pipe.next_due_ms() for flow in self.flows if not flow.blocked]
        return min((at_ms for at_ms in due if at_ms is not None), default=None)

    def close(self, reset: bool) -> None:
        """Close both sockets.

        :param reset: whether the peers see a reset instead of an end of the stream.
        """
        for sock in self.sockets:
            if reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()

    def _finish_connecting(self, ready: t.Container[int]) -> None:
        if self.target.fileno() in ready:
            socket_error = self.target.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            error = self._connect_error or socket_error
            if error:
                raise ConnectionRefusedError(error, "the target can't be reached")
            self.connecting = False
