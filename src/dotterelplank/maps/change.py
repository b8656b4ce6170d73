"""The map change protocol: all ranks of a group use the same expert map in each step.

:func:`decide` takes the current time, an agent's state and one event, and returns
commands. An agent stores nothing durably: the state that binds it is stored in its
engine, and the agent reports this state only while no order to the engine is open.
``docs/design/expert-map-change.md`` explains why this is safe.
"""

import typing as t

from .. import events
from ..errors import InvariantError
from .join import choose_install
from .messages import (
    Ask,
    Command,
    EngineView,
    Event,
    Hello,
    OrderDone,
    OrderUnanswered,
    Outcome,
    Participant,
    Probe,
    Propose,
    Read,
    ReadDone,
    ReadUnanswered,
    Ready,
    Received,
    Stage,
    Stale,
    Status,
    Stop,
    Tick,
    Vote,
)
from .proposals import on_probe, on_propose, on_ready, propose
from .state import (
    Context,
    OrderWait,
    Policy,
    State,
    begin_incarnation,
    fence_peer,
    give_order,
    has_current_view,
    next_id,
    participants,
    report,
    send,
)
from .votes import (
    announce_outcome,
    on_ask,
    on_outcome,
    on_stage,
    on_vote,
    resolve,
    send_owed_replies,
)


def decide(now_ms: int, state: State, event: Event, policy: Policy) -> list[Command]:
    """Apply one event to the state and return the resulting commands, in order.

    :param now_ms: monotonic time in milliseconds, read after the event was received.
    :raises InvariantError: if an invariant of the protocol is violated.
    """
    context = Context(now_ms, state, policy, [])
    if not state.superseded:
        _HANDLERS[type(event)](context, event)
        _advance(context)
    return context.commands


def _on_tick(context: Context, event: Tick) -> None:
    """Do nothing, since :func:`_advance` derives what is due from the state."""


def _on_order_done(context: Context, event: OrderDone) -> None:
    if event.order_id == context.state.order_id:
        context.state.order_id = None


def _on_order_unanswered(context: Context, event: OrderUnanswered) -> None:
    state = context.state
    if event.order_id == state.order_id:
        state.order_id = None
        state.order_wait = OrderWait()
        report(context, events.ORDER_WAITED_OUT)


def _on_read_unanswered(context: Context, event: ReadUnanswered) -> None:
    if event.read_id == context.state.read_id:
        context.state.read_id = None


def _on_read_done(context: Context, event: ReadDone) -> None:
    state = context.state
    if event.read_id != state.read_id:
        return
    before, view = state.view, event.view
    state.read_id = None
    if state.order_wait is not None and not _is_readable(
        context, state.order_wait, view
    ):
        return
    # A delayed order from an earlier agent of this host has a lower fencing token
    # than this incarnation, so a higher token comes from a later agent.
    if before is not None and view.highest_fence > max(state.fence, state.incarnation):
        state.superseded = True
        report(context, events.AGENT_SUPERSEDED)
        context.commands.append(Stop())
        return
    if before is None and view.highest_fence >= state.incarnation:
        _raise_incarnation(context, view.highest_fence)
    state.view = view
    state.must_read = False
    state.read_at_ms = context.now_ms
    if before is not None and before.map is not None and view.map is None:
        _on_engine_replaced(context)
        return
    _check_view(state, before, view)


def _is_readable(context: Context, order_wait: OrderWait, view: EngineView) -> bool:
    """Return whether the view can be used although earlier orders may take effect.

    While a change is staged, the only order that can still arrive is its resolution.
    The agent may vote yes and resolve the change, but doesn't report it to an agent
    that joins: the delayed resolution may be based on a vote of an earlier
    incarnation of the joining agent.
    """
    if view.staged is not None:
        order_wait.found_staged = True
        _update_order_wait(context, order_wait)
        return True
    if order_wait.found_staged:
        context.state.order_wait = None
        return True
    _update_order_wait(context, order_wait)
    return False


def _update_order_wait(context: Context, order_wait: OrderWait) -> None:
    gap_ms = context.now_ms - order_wait.last_read_ms
    if order_wait.since_ms is None or gap_ms > context.policy.max_view_age_ms:
        order_wait.since_ms = context.now_ms
    order_wait.last_read_ms = context.now_ms
    if order_wait.last_read_ms - order_wait.since_ms >= context.policy.order_expiry_ms:
        context.state.order_wait = None


def _check_view(state: State, before: EngineView | None, view: EngineView) -> None:
    if before is not None and view.version < before.version:
        raise InvariantError(
            f"map {before.version} was replaced by older map {view.version}"
        )
    if view.staged is not None and view.staged.ballot in state.denied:
        raise InvariantError(
            f"{view.staged.ballot} is staged although this agent voted no on it"
        )


def _on_received(context: Context, event: Received) -> None:
    state = context.state
    envelope = event.envelope
    if envelope.host not in state.hosts:
        return
    known = state.known.get(envelope.host, 0)
    if isinstance(envelope.message, Stale):
        # Apply it even if the sender's incarnation is stale, too: each of two agents
        # may know a higher incarnation of the other.
        _on_stale(context, envelope.message)
        return
    if envelope.incarnation < known:
        send(context, envelope.host, Stale(envelope.incarnation, known))
        return
    fence_peer(state, Participant(envelope.host, envelope.incarnation))
    handler = _MESSAGE_HANDLERS[type(envelope.message)]
    handler(context, envelope.host, envelope.message)


def _on_hello(context: Context, host: str, message: Hello) -> None:
    state = context.state
    for peer in message.participants:
        if peer.host in state.peers:
            fence_peer(state, peer)
    state.unanswered_hellos[host] = message


def _on_status(context: Context, host: str, message: Status) -> None:
    state = context.state
    own = Participant(state.host, state.incarnation)
    if own in message.participants and not state.has_joined:
        state.statuses[host] = message


def _on_stale(context: Context, message: Stale) -> None:
    # The message that was rejected may be from an earlier agent of this host.
    if message.incarnation == context.state.incarnation:
        _raise_incarnation(context, message.highest_incarnation)


def _raise_incarnation(context: Context, highest: int) -> None:
    context.state.incarnation = highest
    report(context, events.INCARNATION_RAISED)
    begin_incarnation(context)


def _advance(context: Context) -> None:
    state = context.state
    _poll(context)
    if not has_current_view(context):
        return
    _send_hellos(context)
    view = t.cast(EngineView, state.view)
    if view.map is None:
        _join(context)
    else:
        announce_outcome(context, view)
        resolve(context, view)
        propose(context, view)
    if has_current_view(context):
        send_owed_replies(context, view)


def _poll(context: Context) -> None:
    state = context.state
    if state.order_id is not None or state.read_id is not None:
        return
    if _is_poll_due(context):
        state.polled_at_ms = context.now_ms
        state.read_id = next_id(state)
        context.commands.append(Read(state.read_id))


def _is_poll_due(context: Context) -> bool:
    state = context.state
    is_waiting = state.order_wait is not None and not state.order_wait.found_staged
    if state.polled_at_ms is None or (state.must_read and not is_waiting):
        return True
    return context.now_ms - state.polled_at_ms >= context.policy.poll_ms


def _send_hellos(context: Context) -> None:
    state = context.state
    if state.has_joined:
        return
    missing = [peer for peer in state.peers if peer not in state.statuses]
    if missing:
        if context.now_ms >= state.next_hello_ms:
            state.next_hello_ms = context.now_ms + context.policy.retry_ms
            hello = Hello(participants(state))
            for peer in missing:
                send(context, peer, hello)
        return
    state.has_joined = t.cast(EngineView, state.view).map is not None


def _join(context: Context) -> None:
    state = context.state
    if any(peer not in state.statuses for peer in state.peers):
        return
    views = [state.statuses[peer].view for peer in state.peers]
    install = choose_install(views, _initial(state))
    if install is None:
        state.statuses.clear()
        return
    give_order(context, install)
    report(context, events.MAP_INSTALLED, map_version=install.map.version)


def _initial(state: State) -> bytes | None:
    # Another agent may still install a map based on the status of an incarnation that
    # has ended, unless it knows all incarnations that this agent knows.
    known = participants(state)
    agreed = all(reply.participants == known for reply in state.statuses.values())
    return state.initial if state.host == state.hosts[0] and agreed else None


def _on_engine_replaced(context: Context) -> None:
    report(context, events.ENGINE_REPLACED)
    context.state.denied.clear()
    begin_incarnation(context)


_HANDLERS: dict[type, t.Callable[[Context, t.Any], None]] = {
    Tick: _on_tick,
    Received: _on_received,
    OrderDone: _on_order_done,
    OrderUnanswered: _on_order_unanswered,
    ReadDone: _on_read_done,
    ReadUnanswered: _on_read_unanswered,
    Propose: on_propose,
}

_MESSAGE_HANDLERS: dict[type, t.Callable[[Context, str, t.Any], None]] = {
    Hello: _on_hello,
    Status: _on_status,
    Stage: on_stage,
    Ask: on_ask,
    Vote: on_vote,
    Outcome: on_outcome,
    Probe: on_probe,
    Ready: on_ready,
}
