"""The agent's memory of tickets, by which a request runs at most once.

A ticket may start only on the incarnation that it names, and only while its epoch is
among the newest. Every ticket of the remembered epochs is known, so one that isn't is
proved not to have run. No clock is compared between hosts, and memory is bounded: what
is older than the memory is refused, never run.
"""

import dataclasses
import enum
import typing as t

from .. import defaults, results
from ..errors import InvariantError
from ..links.messages import Header
from .tickets import Ticket


class State(enum.Enum):
    """What the ledger knows of a ticket."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True)
class Answer:
    """A whole answer, kept for callers that ask again."""

    http_status: int
    headers: tuple[Header, ...]
    body: bytes


@dataclasses.dataclass
class Record:
    """What is remembered of one ticket."""

    team: str
    request_digest: bytes
    state: State
    answer: Answer | None = None


@dataclasses.dataclass(frozen=True)
class Policy:
    """Bounds on the memory."""

    epoch_ms: float = defaults.TICKET_EPOCH_MS
    epochs_accepted: int = defaults.TICKET_EPOCHS_ACCEPTED
    epochs_remembered: int = defaults.TICKET_EPOCHS_REMEMBERED
    tickets_per_epoch: int = defaults.TICKETS_PER_EPOCH
    answer_bound_bytes: int = defaults.MAX_CACHED_ANSWER_BYTES
    answers_bound_bytes: int = defaults.MAX_CACHED_ANSWERS_BYTES


@dataclasses.dataclass
class Ledger:
    """The tickets that one incarnation of an agent has met."""

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
    """The request may start now, and never again."""


@dataclasses.dataclass(frozen=True)
class Replay:
    """The request ran before; its answer is given again."""

    answer: Answer


@dataclasses.dataclass(frozen=True)
class Refused:
    """The request does not start; the result tells what is known of it."""

    result: results.Result


Decision = Run | Replay | Refused


def begin(
    now_ms: float, ledger: Ledger, ticket: Ticket, request_digest: bytes, policy: Policy
) -> Decision:
    """Decide whether the request under ``ticket`` starts, and remember that it did."""
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
    """Return what the ledger says of ``ticket``; ``None`` if it is free to start.

    It comes before any other refusal, since only the ledger can say "not run".
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
    """Remember that the request under ``ticket`` ran, with its answer if it fits."""
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
    """Remember that nobody can tell whether the request under ``ticket`` ran."""
    advance(now_ms, ledger, policy)
    record = _running(ledger, ticket)
    if record is not None:
        record.state = State.UNKNOWN


def mark_not_run(now_ms: float, ledger: Ledger, ticket: Ticket, policy: Policy) -> None:
    """Remember a start that provably reached nobody; the ticket never runs later.

    Another copy of the request may still be on its way when its caller is told that
    it was not run.
    """
    advance(now_ms, ledger, policy)
    record = _running(ledger, ticket)
    if record is not None:
        record.state = State.CANCELLED


def cancel(now_ms: float, ledger: Ledger, ticket: Ticket, policy: Policy) -> bool:
    """Return whether ``ticket`` is now proved never to have run and never to run.

    A ticket that has not been met is remembered as cancelled, since its request may
    still arrive.
    """
    advance(now_ms, ledger, policy)
    records = ledger.records_by_epoch.get(ticket.epoch)
    if records is None or ticket.incarnation != ledger.incarnation:
        return False
    record = records.get(ticket.nonce)
    if record is None:
        # An epoch that is full starts nothing more, remembered or not.
        if len(records) < policy.tickets_per_epoch:
            records[ticket.nonce] = Record(ticket.team, b"", State.CANCELLED)
        return True
    return record.state is State.CANCELLED


def advance(now_ms: float, ledger: Ledger, policy: Policy) -> None:
    """Move to the next ticket epoch when the present one is over."""
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
    """Return the running record of ``ticket``; ``None`` once its epoch is forgotten."""
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
