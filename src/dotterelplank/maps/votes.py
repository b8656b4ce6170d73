"""Votes on a map change: staging it, collecting votes, resolving it and replying."""

import typing as t

from .. import events
from ..errors import InvariantError
from .ballots import Ballot, Change
from .messages import (
    Answer,
    Ask,
    EngineView,
    Message,
    Outcome,
    ProposalClosed,
    ProposalResult,
    ResolveOrder,
    Stage,
    StageOrder,
    Status,
    Vote,
)
from .state import (
    Context,
    Decision,
    Proposal,
    State,
    give_order,
    has_current_view,
    report,
    send,
)
from .tally import Tally, decide_outcome


def on_stage(context: Context, host: str, message: Stage) -> None:
    """Stage the proposed change if it may be staged, and record the request to vote.

    :func:`send_owed_replies` sends the vote to the proposer later.
    """
    state = context.state
    change = message.change
    ballot = change.ballot
    state.round = max(state.round, ballot.round)
    if not state.has_joined or not has_current_view(context):
        return
    state.unanswered_asks[host] = Ask(ballot, change.map.version)
    if _may_stage(state, message):
        state.floor = ballot
        give_order(context, StageOrder(change))


def _may_stage(state: State, message: Stage) -> bool:
    view = state.view
    ballot = message.change.ballot
    return (
        view is not None
        and view.staged is None
        and view.committed is None
        and view.version == message.base_version
        and (state.floor is None or ballot > state.floor)
        and state.incarnation == message.voter_incarnation
    )


def on_ask(context: Context, host: str, message: Ask) -> None:
    """Record the request to vote; :func:`send_owed_replies` sends the vote."""
    context.state.round = max(context.state.round, message.ballot.round)
    context.state.unanswered_asks[host] = message


def on_vote(context: Context, host: str, message: Vote) -> None:
    """Record a vote on the staged change; a vote on another ballot is ignored."""
    state = context.state
    if message.floor is not None:
        state.round = max(state.round, message.floor.round)
    if _is_open(state, message.ballot):
        t.cast(Tally, state.tally).answers[host] = message.answer


def on_outcome(context: Context, host: str, message: Outcome) -> None:
    """Record a peer's decision on the staged change."""
    if _is_open(context.state, message.ballot):
        t.cast(Tally, context.state.tally).peer_decision = message.commit


def _is_open(state: State, ballot: Ballot) -> bool:
    if not state.has_joined:  # the sender may have ended already
        return False
    return state.tally is not None and state.tally.ballot == ballot


def announce_outcome(context: Context, view: EngineView) -> None:
    """Send the outcome that the engine has applied, and close this agent's proposal.

    :raises InvariantError: if the engine resolved the change otherwise than this
        agent decided.
    """
    state = context.state
    staged = None if view.staged is None else view.staged.ballot
    decision = state.decision
    if decision is not None and decision.change.ballot != staged:
        state.decision = None
        _send_outcome(context, view, decision)
    if state.proposal is not None and state.proposal.change.ballot != staged:
        _end_proposal(context, view)


def _send_outcome(context: Context, view: EngineView, decision: Decision) -> None:
    change = decision.change
    if decision.commit != (view.version >= change.map.version):
        raise InvariantError(
            f"{change.ballot} was resolved otherwise than this agent decided"
        )
    for peer in context.state.peers:
        send(context, peer, Outcome(change.ballot, decision.commit))


def _end_proposal(context: Context, view: EngineView) -> None:
    change = t.cast(Proposal, context.state.proposal).change
    context.state.proposal = None
    if view.version >= change.map.version:
        context.commands.append(ProposalClosed(change.ballot, ProposalResult.COMMITTED))
    else:
        context.commands.append(ProposalClosed(change.ballot, ProposalResult.ABORTED))


def resolve(context: Context, view: EngineView) -> None:
    """Resolve the staged change if its outcome is known, else request votes on it."""
    state = context.state
    staged = view.staged
    if staged is None:
        state.tally = None
        return
    tally = state.tally
    if tally is None or tally.ballot != staged.ballot:
        found = state.floor is None or staged.ballot > state.floor
        tally = state.tally = Tally(staged.ballot, context.now_ms, found)
        report(context, events.MAP_STAGED, staged.ballot, staged.map.version)
    if not state.has_joined:
        return
    commit = tally.peer_decision
    if commit is None:
        commit = decide_outcome(tally.answers, state.peers, staged.ballot)
        if commit is None:
            _request_missing_votes(context, tally, staged)
            return
        state.decision = Decision(staged, commit)
    event = events.MAP_COMMITTED if commit else events.MAP_ABORTED
    report(context, event, staged.ballot, staged.map.version)
    give_order(context, ResolveOrder(staged.ballot, commit))


def _request_missing_votes(context: Context, tally: Tally, staged: Change) -> None:
    if context.now_ms < tally.next_send_ms:
        return
    proposal = context.state.proposal
    is_own = proposal is not None and proposal.change.ballot == staged.ballot
    open_ms = context.now_ms - tally.since_ms
    if is_own and open_ms < context.policy.response_timeout_ms:
        messages = _stage_requests(t.cast(Proposal, proposal))
    elif _is_overdue(context, tally, staged):
        messages = _vote_requests(context, tally, staged)
    else:
        return
    tally.next_send_ms = context.now_ms + context.policy.retry_ms
    for peer, message in messages.items():
        if peer not in tally.answers:
            send(context, peer, message)


def _stage_requests(proposal: Proposal) -> dict[str, Message]:
    change = proposal.change
    base_version = change.map.version - 1
    return {
        peer: Stage(change, base_version, incarnation)
        for peer, incarnation in proposal.voters.items()
    }


def _is_overdue(context: Context, tally: Tally, staged: Change) -> bool:
    if tally.found:
        return True
    state, policy = context.state, context.policy
    wait_ms = policy.stagger_ms * state.hosts.index(state.host)
    vote_deadline_step = staged.hold_step - policy.vote_deadline_steps
    if t.cast(EngineView, state.view).step < vote_deadline_step:
        wait_ms += policy.response_timeout_ms
    return context.now_ms - tally.since_ms >= wait_ms


def _vote_requests(
    context: Context, tally: Tally, staged: Change
) -> dict[str, Message]:
    if not tally.has_asked:
        tally.has_asked = True
        report(context, events.MAP_ASKED, staged.ballot, staged.map.version)
    ask = Ask(staged.ballot, staged.map.version)
    return {peer: ask for peer in context.state.peers}


def send_owed_replies(context: Context, view: EngineView) -> None:
    """Send the statuses and votes that other agents have requested.

    No status is sent while an earlier order may still take effect, and no vote while
    the engine has no map.
    """
    state = context.state
    if state.order_wait is None:
        for host, hello in state.unanswered_hellos.items():
            send(context, host, Status(hello.participants, view))
        state.unanswered_hellos.clear()
    if view.map is None:  # it may still stage the ballot when it joins
        return
    for host, ask in state.unanswered_asks.items():
        answer = _vote(state, view, ask)
        send(context, host, Vote(ask.ballot, answer, state.floor))
    state.unanswered_asks.clear()


def _vote(state: State, view: EngineView, ask: Ask) -> Answer:
    if view.staged is not None and view.staged.ballot == ask.ballot:
        return Answer.YES
    if view.version >= ask.map_version:
        return Answer.COMMITTED
    if state.floor is None or ask.ballot > state.floor:
        state.floor = ask.ballot
    state.denied.append(ask.ballot)
    return Answer.NO
