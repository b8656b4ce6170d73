"""Proposals of a new map, made only while every other agent is ready for one."""

from .. import events
from .ballots import Ballot, Change, ExpertMap
from .messages import Closed, Closure, EngineView, Probe, Propose, Ready, StageOrder
from .state import Draft, Proposal, State, Turn, can_speak, give_order, report, send


def on_propose(turn: Turn, event: Propose) -> None:
    """Begin to ask the others whether they are ready for a change."""
    state = turn.state
    is_busy = state.draft is not None or state.proposal is not None
    if is_busy or not _is_ready(turn, event.base_version):
        turn.commands.append(Closed(None, Closure.REFUSED))
        return
    state.last_id += 1
    state.draft = Draft(state.last_id, event, turn.now_ms)


def on_probe(turn: Turn, host: str, message: Probe) -> None:
    """Say whether this agent is ready for a change; it promises nothing."""
    if can_speak(turn):
        is_ready = _is_ready(turn, message.base_version)
        send(turn, host, Ready(message.number, is_ready))


def on_ready(turn: Turn, host: str, message: Ready) -> None:
    """Take note of an agent that is ready, or give the proposal up."""
    draft = turn.state.draft
    if draft is None or draft.number != message.number:
        return
    if message.is_ready:
        draft.ready.add(host)
    else:
        _refuse(turn)


def propose(turn: Turn, view: EngineView) -> None:
    """Stage the proposed change in the own engine once all others are ready."""
    state = turn.state
    draft = state.draft
    if draft is None:
        return
    if not _is_ready(turn, draft.event.base_version):
        _refuse(turn)
    elif all(peer in draft.ready for peer in state.peers):
        _stage(turn, view, draft)
    elif turn.now_ms - draft.since_ms >= turn.policy.patience_ms:
        report(turn, events.PROPOSAL_UNANSWERED)
        _refuse(turn)
    elif turn.now_ms >= draft.next_send_ms:
        _probe(turn, draft)


def _is_ready(turn: Turn, base_version: int) -> bool:
    view = turn.state.view
    return (
        view is not None
        and can_speak(turn)
        and turn.state.settled
        and view.staged is None
        and view.committed is None
        and view.version == base_version
    )


def _refuse(turn: Turn) -> None:
    turn.state.draft = None
    turn.commands.append(Closed(None, Closure.REFUSED))


def _probe(turn: Turn, draft: Draft) -> None:
    draft.next_send_ms = turn.now_ms + turn.policy.retry_ms
    for peer in turn.state.peers:
        if peer not in draft.ready:
            send(turn, peer, Probe(draft.number, draft.event.base_version))


def _stage(turn: Turn, view: EngineView, draft: Draft) -> None:
    state = turn.state
    state.draft = None
    state.round += 1
    ballot = Ballot(state.round, state.host, state.incarnation)
    expert_map = ExpertMap(view.version + 1, draft.event.payload)
    change = Change(ballot, expert_map, view.step + turn.policy.lead_steps)
    state.proposal = Proposal(change, _voters(state))
    state.floor = ballot
    give_order(turn, StageOrder(change))


def _voters(state: State) -> dict[str, int]:
    return {peer: state.known[peer] for peer in state.peers}
