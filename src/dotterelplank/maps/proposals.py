"""Proposals of map changes; a change is staged only if all other agents are ready."""

from .. import events
from .ballots import Ballot, Change, EncodedMap
from .messages import (
    EngineView,
    Probe,
    ProposalClosed,
    ProposalResult,
    Propose,
    Ready,
    StageOrder,
)
from .state import (
    Context,
    Draft,
    Proposal,
    State,
    give_order,
    has_current_view,
    report,
    send,
)


def on_propose(context: Context, event: Propose) -> None:
    """Start to ask the other agents whether they are ready for a change.

    The proposal is refused if another one is open or this agent isn't ready.
    """
    state = context.state
    is_busy = state.draft is not None or state.proposal is not None
    if is_busy or not _is_ready(context, event.base_version):
        context.commands.append(ProposalClosed(None, ProposalResult.REFUSED))
        return
    state.last_id += 1
    state.draft = Draft(state.last_id, event, context.now_ms)


def on_probe(context: Context, host: str, message: Probe) -> None:
    """Answer whether this agent is ready for a change, if its view is current.

    The answer doesn't bind the agent.
    """
    if has_current_view(context):
        is_ready = _is_ready(context, message.base_version)
        send(context, host, Ready(message.number, is_ready))


def on_ready(context: Context, host: str, message: Ready) -> None:
    """Record that an agent is ready, or refuse the proposal if it isn't."""
    draft = context.state.draft
    if draft is None or draft.number != message.number:
        return
    if message.is_ready:
        draft.ready.add(host)
    else:
        _refuse(context)


def propose(context: Context, view: EngineView) -> None:
    """Stage the proposed change in this agent's engine once all others are ready.

    The proposal is refused if this agent is no longer ready, or if an agent hasn't
    answered within ``response_timeout_ms``.
    """
    state = context.state
    draft = state.draft
    if draft is None:
        return
    if not _is_ready(context, draft.event.base_version):
        _refuse(context)
    elif all(peer in draft.ready for peer in state.peers):
        _stage(context, view, draft)
    elif context.now_ms - draft.since_ms >= context.policy.response_timeout_ms:
        report(context, events.PROPOSAL_UNANSWERED)
        _refuse(context)
    elif context.now_ms >= draft.next_send_ms:
        _probe(context, draft)


def _is_ready(context: Context, base_version: int) -> bool:
    view = context.state.view
    return (
        view is not None
        and has_current_view(context)
        and context.state.has_joined
        and view.staged is None
        and view.committed is None
        and view.version == base_version
    )


def _refuse(context: Context) -> None:
    context.state.draft = None
    context.commands.append(ProposalClosed(None, ProposalResult.REFUSED))


def _probe(context: Context, draft: Draft) -> None:
    draft.next_send_ms = context.now_ms + context.policy.retry_ms
    for peer in context.state.peers:
        if peer not in draft.ready:
            send(context, peer, Probe(draft.number, draft.event.base_version))


def _stage(context: Context, view: EngineView, draft: Draft) -> None:
    state = context.state
    state.draft = None
    state.round += 1
    ballot = Ballot(state.round, state.host, state.incarnation)
    expert_map = EncodedMap(view.version + 1, draft.event.payload)
    change = Change(ballot, expert_map, view.step + context.policy.lead_steps)
    state.proposal = Proposal(change, _voters(state))
    state.floor = ballot
    give_order(context, StageOrder(change))


def _voters(state: State) -> dict[str, int]:
    return {peer: state.known[peer] for peer in state.peers}
