"""The agent's record of tickets, which makes a request run at most once.

A request may start only on the incarnation that its ticket names, and only while the
ticket's epoch is one of the newest. The ledger records every ticket that was used in
the retained epochs, so a ticket of these epochs without a record has not run. The
clocks of hosts are not compared. Memory is bounded: a ticket of an epoch that is no
longer retained is refused and never runs.
"""

import dataclasses
import enum
import typing as t

from .. import defaults, results
from ..errors import InvariantError
from ..links.messages import Header
from .tickets import Ticket


class State(enum.Enum):
    """State of a ticket that the ledger has recorded.

    ``UNKNOWN`` means that the request may have run; ``CANCELLED`` means that it has not
    run and never will.
    """

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True)
class Answer:
    """A complete answer, stored for callers that repeat the request."""

    http_status: int
    headers: tuple[Header, ...]
    body: bytes


@dataclasses.dataclass
class Record:
    """The record of one ticket.

    :param request_digest: digest of the request; empty if the ticket was cancelled
        before its request arrived.
    :param answer: the stored answer, or ``None`` if there is none.
    """

    team: str
    request_digest: bytes
    state: State
    answer: Answer | None = None


@dataclasses.dataclass(frozen=True)
class Policy:
    """Bounds on what the ledger accepts and retains.

    :param epoch_ms: length of a ticket epoch.
    :param epochs_accepted: number of the newest epochs whose tickets may start.
    :param epochs_remembered: number of the newest epochs whose records are retained.
    :param tickets_per_epoch: maximum number of records in one epoch.
    :param answer_bound_bytes: size of the largest answer that is stored.
    :param answers_bound_bytes: maximum size of all stored answers together.
    """

    epoch_ms: float = defaults.TICKET_EPOCH_MS
    epochs_accepted: int = defaults.TICKET_EPOCHS_ACCEPTED
    epochs_remembered: int = defaults.TICKET_EPOCHS_REMEMBERED
    tickets_per_epoch: int = defaults.TICKETS_PER_EPOCH
    answer_bound_bytes: int = defaults.MAX_CACHED_ANSWER_BYTES
    answers_bound_bytes: int = defaults.MAX_CACHED_ANSWERS_BYTES


@dataclasses.dataclass
class Ledger:
    """The tickets that one incarnation of an agent has received."""

    host: str
    incarnation: int
    epoch: int = 1
    epoch_started_ms: float = 0.0
    records_by_epoch: dict[int, dict[bytes, Record]] = dataclasses.field(
        default_factory=lambda: {1: {}}
    )
    answers_size_bytes: int = 0


@dataclasses.dataclass(frozen=True)
class Run:
    """The request may start now; the ticket does not start another one."""


@dataclasses.dataclass(frozen=True)
class Replay:
    """The request has run already; its stored answer is sent again."""

    answer: Answer


@dataclasses.dataclass(frozen=True)
class Refused:
    """The request does not start; the result code says what is known about it."""

    result: results.Result


Decision = Run | Replay | Refused


def begin(
    now_ms: float, ledger: Ledger, ticket: Ticket, request_digest: bytes, policy: Policy
) -> Decision:
    """Decide whether the request under ``ticket`` starts; if so, record the start."""
    decision = look_up(now_ms, ledger, ticket, request_digest, policy)
    if decision is not None:
        return decision
    records = ledger.records_by_epoch[ticket.epoch]
    if len(records) >= policy.tickets_per_epoch:
        return Refused(results.ENDPOINT_FULL)
    records[ticket.nonce] = Record(ticket.team, request_digest, State.RUNNING)
    return Run()


def look_up(
    now_ms: float, ledger: Ledger, ticket: Ticket, request_digest: bytes, policy: Policy
) -> Replay | Refused | None:
    """Return the decision that the ledger implies for ``ticket``.

    ``None`` means that the request has not started and may start. Callers look the
    ticket up before they refuse a request for another reason, since only the ledger
    shows whether the request has run.
    """
    advance(now_ms, ledger, policy)
    if ticket.host != ledger.host:
        return Refused(results.TICKET_HOME_UNREACHABLE)
    if ticket.incarnation != ledger.incarnation:
        return Refused(results.TICKET_OF_EARLIER_INCARNATION)
    records = ledger.records_by_epoch.get(ticket.epoch)
    if records is None:
        return Refused(results.TICKET_FORGOTTEN)
    record = records.get(ticket.nonce)
    if record is not None:
        return _decide_on_record(record, ticket, request_digest)
    if ticket.epoch <= ledger.epoch - policy.epochs_accepted:
        return Refused(results.TICKET_EXPIRED)
    return None


def _decide_on_record(
    record: Record, ticket: Ticket, request_digest: bytes
) -> Replay | Refused:
    if record.team != ticket.team:
        return Refused(results.TICKET_OTHER_TEAM)
    if record.state is State.CANCELLED:
        return Refused(results.TICKET_CANCELLED)
    if record.request_digest != request_digest:
        return Refused(results.TICKET_OTHER_REQUEST)
    if record.state is State.RUNNING:
        return Refused(results.IN_PROGRESS)
    if record.state is State.UNKNOWN:
        return Refused(results.ENDPOINT_LOST)
    if record.answer is None:
        return Refused(results.DONE_ANSWER_DROPPED)
    return Replay(record.answer)


def finish(
    now_ms: float, ledger: Ledger, ticket: Ticket, answer: Answer, policy: Policy
) -> None:
    """Record that the request under ``ticket`` ran; store its answer if it fits."""
    advance(now_ms, ledger, policy)
    record = _running(ledger, ticket)
    if record is None:
        return
    record.state = State.DONE
    if len(answer.body) <= policy.answer_bound_bytes:
        record.answer = answer
        ledger.answers_size_bytes += len(answer.body)
        _drop_answers(ledger, policy)


def mark_unknown(now_ms: float, ledger: Ledger, ticket: Ticket, policy: Policy) -> None:
    """Record that it is unknown whether the request under ``ticket`` ran."""
    advance(now_ms, ledger, policy)
    record = _running(ledger, ticket)
    if record is not None:
        record.state = State.UNKNOWN


def mark_not_run(now_ms: float, ledger: Ledger, ticket: Ticket, policy: Policy) -> None:
    """Record that the started request under ``ticket`` did not reach the endpoint.

    The ticket becomes cancelled and never runs later: another copy of the request may
    still arrive after the caller received the result that it was not run.
    """
    advance(now_ms, ledger, policy)
    record = _running(ledger, ticket)
    if record is not None:
        record.state = State.CANCELLED


def cancel(now_ms: float, ledger: Ledger, ticket: Ticket, policy: Policy) -> bool:
    """Cancel ``ticket`` unless it has started.

    A ticket without a record is recorded as cancelled, since its request may still
    arrive.

    :returns: whether the request under the ticket has not run and never will.
    """
    advance(now_ms, ledger, policy)
    records = ledger.records_by_epoch.get(ticket.epoch)
    if records is None or ticket.incarnation != ledger.incarnation:
        return False
    record = records.get(ticket.nonce)
    if record is None:
        # A full epoch accepts no new ticket, so the cancellation needs no record.
        if len(records) < policy.tickets_per_epoch:
            records[ticket.nonce] = Record(ticket.team, b"", State.CANCELLED)
        return True
    return record.state is State.CANCELLED


def advance(now_ms: float, ledger: Ledger, policy: Policy) -> None:
    """Begin the next ticket epoch if the current one is over.

    The records of epochs that are no longer retained are dropped.
    """
    if now_ms - ledger.epoch_started_ms < policy.epoch_ms:
        return
    ledger.epoch += 1
    ledger.epoch_started_ms = now_ms
    ledger.records_by_epoch[ledger.epoch] = {}
    for epoch in sorted(ledger.records_by_epoch):
        if epoch > ledger.epoch - policy.epochs_remembered:
            break
        _drop_epoch(ledger, epoch)


def _drop_epoch(ledger: Ledger, epoch: int) -> None:
    records = ledger.records_by_epoch.pop(epoch)
    for record in records.values():
        if record.answer is not None:
            ledger.answers_size_bytes -= len(record.answer.body)


def _running(ledger: Ledger, ticket: Ticket) -> Record | None:
    """Return the record of ``ticket``, or ``None`` if its epoch is not retained.

    :raises InvariantError: if the ticket is not in the state ``RUNNING``.
    """
    records = ledger.records_by_epoch.get(ticket.epoch)
    if records is None:
        return None
    record = records.get(ticket.nonce)
    if record is None or record.state is not State.RUNNING:
        raise InvariantError(f"ticket of epoch {ticket.epoch} ended without a start")
    return record


def _drop_answers(ledger: Ledger, policy: Policy) -> None:
    if ledger.answers_size_bytes <= policy.answers_bound_bytes:
        return
    for record in _oldest_records(ledger):
        if record.answer is None:
            continue
        ledger.answers_size_bytes -= len(record.answer.body)
        record.answer = None
        if ledger.answers_size_bytes <= policy.answers_bound_bytes:
            return


def _oldest_records(ledger: Ledger) -> t.Iterator[Record]:
    for epoch in sorted(ledger.records_by_epoch):
        yield from ledger.records_by_epoch[epoch].values()
