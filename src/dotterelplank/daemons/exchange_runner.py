"""Executes the commands of one request's state machine in :mod:`exchanges`."""

import queue
import typing as t

from .. import defaults
from ..clocks import monotonic_ms
from ..errors import LinkClosedError
from ..links.links import Link
from ..links.messages import Cancel, Chunk, Credit
from . import exchanges
from .exchanges import (
    CallerGone,
    CancelAt,
    Choose,
    Chosen,
    Command,
    Complete,
    Event,
    Exchange,
    GiveUp,
    Lost,
    Phase,
    RelayData,
    RelayHead,
    Send,
    Tick,
)

Effect = RelayHead | RelayData | Complete | GiveUp

_EVENTS_PER_BATCH = 64


class ExchangeRunner:
    """One request in progress at an entry.

    Any thread may add events with :meth:`post`. The caller's thread executes the
    commands while it iterates over :meth:`effects`.

    :param choose: chooses an endpoint for a :class:`Choose` command; it may sleep
        before a retry.
    :param send: sends the request to a host and returns the link and the request id.
    :param is_caller_gone: returns whether the caller closed its connection.
    """

    def __init__(
        self,
        exchange: Exchange,
        choose: t.Callable[[Choose], Chosen],
        send: t.Callable[["ExchangeRunner", Send], tuple[Link, int]],
        is_caller_gone: t.Callable[[], bool],
    ) -> None:
        self.exchange = exchange
        self._choose = choose
        self._send = send
        self._is_caller_gone = is_caller_gone
        self._events: queue.SimpleQueue[tuple[int, Event]] = queue.SimpleQueue()
        self._attempt = 0
        self._link: Link | None = None
        self._request_id = 0
        self._ungranted_credit_bytes = 0

    def post(self, attempt: int, event: Event) -> None:
        """Add an event of an attempt; events of earlier attempts are dropped."""
        self._events.put((attempt, event))

    def effects(self) -> t.Iterator[Effect]:
        """Yield what must be sent to the caller, until the exchange is over."""
        commands = exchanges.start(self.exchange)
        while self.exchange.phase is not Phase.OVER or commands:
            yield from self._execute(commands)
            if self.exchange.phase is Phase.OVER:
                return
            commands = self._next_commands()

    def close(self) -> None:
        """End the exchange if it is not over, and cancel a request in progress."""
        for command in exchanges.decide(monotonic_ms(), self.exchange, CallerGone()):
            if isinstance(command, CancelAt):
                self._cancel()

    def _execute(self, commands: t.Sequence[Command]) -> t.Iterator[Effect]:
        pending = list(commands)
        while pending:
            command = pending.pop(0)
            match command:
                case Choose():
                    chosen = self._choose(command)
                    pending += exchanges.decide(monotonic_ms(), self.exchange, chosen)
                case Send():
                    pending += self._try_send(command)
                case CancelAt():
                    self._cancel()
                case RelayData(data):
                    yield command
                    self._grant_credit(len(data))
                case _:
                    yield command

    def _try_send(self, command: Send) -> t.Sequence[Command]:
        self._attempt += 1
        try:
            self._link, self._request_id = self._send(self, command)
        except LinkClosedError as error:
            lost = Lost(error.written)
            return exchanges.decide(monotonic_ms(), self.exchange, lost)
        return []

    @property
    def attempt(self) -> int:
        """Number of the current attempt, from 1; 0 before the first."""
        return self._attempt

    def _cancel(self) -> None:
        if self._link is None:
            return
        try:
            self._link.send(Cancel(self._request_id))
        except LinkClosedError:
            return

    def _grant_credit(self, size_bytes: int) -> None:
        self._ungranted_credit_bytes += size_bytes
        if (
            self._ungranted_credit_bytes < defaults.CREDIT_STEP_BYTES
            or self._link is None
        ):
            return
        try:
            self._link.send(Credit(self._request_id, self._ungranted_credit_bytes))
        except LinkClosedError:
            return
        self._ungranted_credit_bytes = 0

    def _next_commands(self) -> list[Command]:
        """Wait for events and return their commands; adjacent data is joined."""
        commands: list[Command] = []
        for event in self._wait():
            for command in exchanges.decide(monotonic_ms(), self.exchange, event):
                _append(commands, command)
            if isinstance(event, Chunk) and not self.exchange.stream:
                self._grant_credit(len(event.data))
        return commands

    def _wait(self) -> t.Iterator[Event]:
        wake_ms = exchanges.next_wake_ms(self.exchange)
        wait_ms = min(wake_ms - monotonic_ms(), defaults.CALLER_CHECK_INTERVAL_MS)
        try:
            attempt, event = self._events.get(timeout=max(0.0, wait_ms) / 1000)
        except queue.Empty:
            yield CallerGone() if self._is_caller_gone() else Tick()
            return
        arrived = [(attempt, event)]
        while len(arrived) < _EVENTS_PER_BATCH and not self._events.empty():
            arrived.append(self._events.get())
        for attempt, event in arrived:
            if attempt == self._attempt:
                yield event
        yield Tick()


def _append(commands: list[Command], command: Command) -> None:
    is_joined = commands and isinstance(command, RelayData)
    if is_joined and isinstance(commands[-1], RelayData):
        commands[-1] = RelayData(commands[-1].data + command.data)
    else:
        commands.append(command)
