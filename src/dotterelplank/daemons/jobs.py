"""An agent's decisions on a request: accept, send, cancel, record its outcome."""

import dataclasses

from .. import defaults, results
from ..links.messages import Submit
from . import ledger as ledgers, tickets
from .ledger import Ledger
from .tickets import Ticket


@dataclasses.dataclass
class AgentState:
    """The state that the decisions on requests read and update.

    :param secret: key that authenticates the tickets.
    :param slots: maximum number of requests at the endpoint at once.
    :param running: number of requests that hold a slot.
    :param is_leaving: whether the agent accepts no new requests.
    """

    ledger: Ledger
    secret: bytes = dataclasses.field(repr=False)
    ledger_policy: ledgers.Policy = ledgers.Policy()
    slots: int = defaults.AGENT_SLOTS
    running: int = 0
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True)
class Start:
    """Send the request to the endpoint; it holds a slot until :func:`release_slot`.

    :param ticket: the ticket of the request, or ``None`` if it has none.
    """

    ticket: Ticket | None


@dataclasses.dataclass(frozen=True)
class SendAnswer:
    """Send the stored answer of an earlier run."""

    answer: ledgers.Answer


@dataclasses.dataclass(frozen=True)
class Reject:
    """Refuse the request."""

    result: results.Result
    retry_after_ms: float = defaults.RETRY_AFTER_MS


Decision = Start | SendAnswer | Reject


def accept(
    now_ms: float, state: AgentState, submit: Submit, request_digest: bytes
) -> Decision:
    """Decide on ``submit``; a known ticket is answered from the ledger.

    An agent that is leaving or full still sends the answers that it has stored. A
    request that it rejects as not run never runs later under the same ticket.
    """
    if not submit.ticket:
        return _rejection_if_unavailable(state) or _start(state, None)
    ticket = tickets.read(submit.ticket.decode("ascii", "replace"), state.secret)
    if ticket is None:
        return Reject(results.TICKET_INVALID)
    if ticket.team != submit.team:
        return Reject(results.TICKET_OTHER_TEAM)
    if ticket.target != submit.target:
        return Reject(results.TICKET_OTHER_REQUEST)
    known = ledgers.look_up(
        now_ms, state.ledger, ticket, request_digest, state.ledger_policy
    )
    if known is not None:
        return _decision_from_record(known)
    rejection = _rejection_if_unavailable(state)
    if rejection is not None:
        # A delayed copy of the request may arrive when a slot is free again; the
        # cancelled ticket keeps it from running.
        ledgers.cancel(now_ms, state.ledger, ticket, state.ledger_policy)
        return rejection
    decision = ledgers.begin(
        now_ms, state.ledger, ticket, request_digest, state.ledger_policy
    )
    if isinstance(decision, ledgers.Run):
        return _start(state, ticket)
    return _decision_from_record(decision)


@dataclasses.dataclass
class Progress:
    """The progress of a request that was started.

    :param sent: whether the endpoint may have received it.
    :param cancelled: whether it was cancelled.
    """

    sent: bool = False
    cancelled: bool = False


def may_send(progress: Progress) -> bool:
    """Return whether the request may be sent, and if so, record it as sent.

    A request that was cancelled before may not be sent.
    """
    if progress.cancelled:
        return False
    progress.sent = True
    return True


def cancel(progress: Progress) -> bool:
    """Record the cancellation; return whether the endpoint may have the request."""
    progress.cancelled = True
    return progress.sent


def record_outcome(
    now_ms: float,
    state: AgentState,
    ticket: Ticket,
    result: results.Result,
    answer: ledgers.Answer | None,
) -> None:
    """Record in the ledger how the request under ``ticket`` ended."""
    ledger, policy = state.ledger, state.ledger_policy
    if answer is not None:
        ledgers.finish(now_ms, ledger, ticket, answer, policy)
    elif result.outcome is results.Outcome.NOT_RUN:
        ledgers.mark_not_run(now_ms, ledger, ticket, policy)
    else:
        ledgers.mark_unknown(now_ms, ledger, ticket, policy)


def _decision_from_record(known: ledgers.Replay | ledgers.Refused) -> Decision:
    if isinstance(known, ledgers.Replay):
        return SendAnswer(known.answer)
    return Reject(known.result)


def _rejection_if_unavailable(state: AgentState) -> Reject | None:
    if state.is_leaving:
        return Reject(results.ENDPOINT_LEAVING)
    if state.running >= state.slots:
        return Reject(results.ENDPOINT_FULL)
    return None


def _start(state: AgentState, ticket: Ticket | None) -> Start:
    state.running += 1
    return Start(ticket)


def release_slot(state: AgentState) -> None:
    """Release the slot of a request that :func:`accept` started."""
    state.running -= 1
