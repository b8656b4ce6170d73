"""Votes on a change of map: to stage it, to find the outcome, to answer others."""

import typing as t

from .. import events
from ..errors import InvariantError
from .ballots import Ballot, Change
from .messages import (
    Answer,
    Ask,
    Closed,
    Closure,
    EngineView,
    Message,
    Outcome,
    ResolveOrder,
    Stage,
    StageOrder,
    Status,
    Vote,
)
from .state import Decision, Proposal, State, Turn, can_speak, give_order, report, send
from .tally import Tally, verdict


def on_stage(turn: Turn, host: str, message: Stage) -> None:
    """Stage a change that may be staged, and owe the proposer a vote."""
    state = turn.state
    change = message.change
    ballot = change.ballot
    state.round = max(state.round, ballot.round)
    if not state.settled or not can_speak(turn):
        return
    state.questions[host] = Ask(ballot, change.map.version)
    if _may_stage(state, message):
        state.floor = ballot
        give_order(turn, StageOrder(change))


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


def on_ask(turn: Turn, host: str, message: Ask) -> None:
    """Owe a vote."""
    turn.state.round = max(turn.state.round, message.ballot.round)
    turn.state.questions[host] = message


def on_vote(turn: Turn, host: str, message: Vote) -> None:
    """Count a vote on the staged change."""
    state = turn.state
    if message.floor is not None:
        state.round = max(state.round, message.floor.round)
    if _is_open(state, message.ballot):
        t.cast(Tally, state.tally).answers[host] = message.answer


def on_outcome(turn: Turn, host: str, message: Outcome) -> None:
    """Take note of a decision on the staged change."""
    if _is_open(turn.state, message.ballot):
        t.cast(Tally, turn.state.tally).told = message.commit


def _is_open(state: State, ballot: Ballot) -> bool:
    if not state.settled:  # may be told by one that is gone
        return False
    return state.tally is not None and state.tally.ballot == ballot


def close(turn: Turn, view: EngineView) -> None:
    """Tell the outcome that the engine has taken, and end the proposal."""
    state = turn.state
    staged = None if view.staged is None else view.staged.ballot
    decision = state.decision
    if decision is not None and decision.change.ballot != staged:
        state.decision = None
        _tell(turn, view, decision)
    if state.proposal is not None and state.proposal.change.ballot != staged:
        _end_proposal(turn, view)


def _tell(turn: Turn, view: EngineView, decision: Decision) -> None:
    change = decision.change
    if decision.commit != (view.version >= change.map.version):
        raise InvariantError(f"{change.ballot} was resolved otherwise than decided")
    for peer in turn.state.peers:
        send(turn, peer, Outcome(change.ballot, decision.commit))


def _end_proposal(turn: Turn, view: EngineView) -> None:
    change = t.cast(Proposal, turn.state.proposal).change
    turn.state.proposal = None
    if view.version >= change.map.version:
        turn.commands.append(Closed(change.ballot, Closure.COMMITTED))
    else:
        turn.commands.append(Closed(change.ballot, Closure.ABORTED))


def resolve(turn: Turn, view: EngineView) -> None:
    """Resolve the staged change, or find out how."""
    state = turn.state
    staged = view.staged
    if staged is None:
        state.tally = None
        return
    tally = state.tally
    if tally is None or tally.ballot != staged.ballot:
        found = state.floor is None or staged.ballot > state.floor
        tally = state.tally = Tally(staged.ballot, turn.now_ms, found)
        report(turn, events.MAP_STAGED, staged.ballot, staged.map.version)
    if not state.settled:
        return
    commit = tally.told
    if commit is None:
        commit = verdict(tally.answers, state.peers, staged.ballot)
        if commit is None:
            _chase(turn, tally, staged)
            return
        state.decision = Decision(staged, commit)
    event = events.MAP_COMMITTED if commit else events.MAP_ABORTED
    report(turn, event, staged.ballot, staged.map.version)
    give_order(turn, ResolveOrder(staged.ballot, commit))


def _chase(turn: Turn, tally: Tally, staged: Change) -> None:
    if turn.now_ms < tally.next_send_ms:
        return
    proposal = turn.state.proposal
    is_own = proposal is not None and proposal.change.ballot == staged.ballot
    open_ms = turn.now_ms - tally.since_ms
    if is_own and open_ms < turn.policy.patience_ms:
        messages = _stages(t.cast(Proposal, proposal))
    elif _is_overdue(turn, tally, staged):
        messages = _asks(turn, tally, staged)
    else:
        return
    tally.next_send_ms = turn.now_ms + turn.policy.retry_ms
    for peer, message in messages.items():
        if peer not in tally.answers:
            send(turn, peer, message)


def _stages(proposal: Proposal) -> dict[str, Message]:
    change = proposal.change
    base_version = change.map.version - 1
    return {
        peer: Stage(change, base_version, incarnation)
        for peer, incarnation in proposal.voters.items()
    }


def _is_overdue(turn: Turn, tally: Tally, staged: Change) -> bool:
    if tally.found:
        return True
    state, policy = turn.state, turn.policy
    wait_ms = policy.stagger_ms * state.hosts.index(state.host)
    near_step = staged.hold_step - policy.near_steps
    if t.cast(EngineView, state.view).step < near_step:
        wait_ms += policy.patience_ms
    return turn.now_ms - tally.since_ms >= wait_ms


def _asks(turn: Turn, tally: Tally, staged: Change) -> dict[str, Message]:
    if not tally.asked:
        tally.asked = True
        report(turn, events.MAP_ASKED, staged.ballot, staged.map.version)
    ask = Ask(staged.ballot, staged.map.version)
    return {peer: ask for peer in turn.state.peers}


def answer_questions(turn: Turn, view: EngineView) -> None:
    """Send the statuses and votes that are owed."""
    state = turn.state
    if state.quiet is None:
        for host, hello in state.greetings.items():
            send(turn, host, Status(hello.participants, view))
        state.greetings.clear()
    if view.map is None:  # may yet stage the ballot as it joins
        return
    for host, question in state.questions.items():
        answer = _vote(state, view, question)
        send(turn, host, Vote(question.ballot, answer, state.floor))
    state.questions.clear()


def _vote(state: State, view: EngineView, question: Ask) -> Answer:
    if view.staged is not None and view.staged.ballot == question.ballot:
        return Answer.YES
    if view.version >= question.map_version:
        return Answer.COMMITTED
    if state.floor is None or question.ballot > state.floor:
        state.floor = question.ballot
    state.denied.append(question.ballot)
    return Answer.NO
