"""The decisions by which all ranks of a group use one expert map in every step.

:func:`decide` takes the present time, an agent's state and one event, and returns
commands. An agent keeps nothing: what binds it lies in its engine, and it speaks of
its engine only while no order is open. ``docs/design/expert-map-change.md`` says why
this is safe.
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
    OrderLost,
    Outcome,
    Participant,
    Probe,
    Propose,
    Read,
    ReadDone,
    ReadLost,
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
    Policy,
    Quiet,
    State,
    Turn,
    begin_incarnation,
    can_speak,
    fence_peer,
    give_order,
    next_id,
    participants,
    report,
    send,
)
from .votes import (
    answer_questions,
    close,
    on_ask,
    on_outcome,
    on_stage,
    on_vote,
    resolve,
)


def decide(now_ms: int, state: State, event: Event, policy: Policy) -> list[Command]:
    """Take in one event and return the commands that follow, in order.

    :param now_ms: monotonic milliseconds, read after the event came.
    :raises InvariantError: if a promise of the protocol was found broken.
    """
    turn = Turn(now_ms, state, policy, [])
    if not state.superseded:
        _HANDLERS[type(event)](turn, event)
        _advance(turn)
    return turn.commands


def _on_tick(turn: Turn, event: Tick) -> None:
    """Do nothing: what is due follows from the state."""


def _on_order_done(turn: Turn, event: OrderDone) -> None:
    if event.order_id == turn.state.order_id:
        turn.state.order_id = None


def _on_order_lost(turn: Turn, event: OrderLost) -> None:
    state = turn.state
    if event.order_id == state.order_id:
        state.order_id = None
        state.quiet = Quiet()
        report(turn, events.ORDER_WAITED_OUT)


def _on_read_lost(turn: Turn, event: ReadLost) -> None:
    if event.read_id == turn.state.read_id:
        turn.state.read_id = None


def _on_read_done(turn: Turn, event: ReadDone) -> None:
    state = turn.state
    if event.read_id != state.read_id:
        return
    before, view = state.view, event.view
    state.read_id = None
    if state.quiet is not None and not _is_readable(turn, state.quiet, view):
        return
    # A predecessor's late order carries a token below this incarnation.
    if before is not None and view.highest_fence > max(state.fence, state.incarnation):
        state.superseded = True
        report(turn, events.AGENT_SUPERSEDED)
        turn.commands.append(Stop())
        return
    if before is None and view.highest_fence >= state.incarnation:
        _raise_incarnation(turn, view.highest_fence)
    state.view = view
    state.must_read = False
    state.read_at_ms = turn.now_ms
    if before is not None and before.map is not None and view.map is None:
        _lose_engine(turn)
        return
    _check_view(state, before, view)


def _is_readable(turn: Turn, quiet: Quiet, view: EngineView) -> bool:
    """Return whether a read tells what binds the agent, though orders may be open.

    Beside a staged change only its resolution can be on its way. The agent may vote
    yes and resolve it, but tells no newcomer of it: the resolution on its way may
    rest on a vote that the newcomer's predecessor gave.
    """
    if view.staged is not None:
        quiet.found = True
        _prolong(turn, quiet)
        return True
    if quiet.found:
        turn.state.quiet = None
        return True
    _prolong(turn, quiet)
    return False


def _prolong(turn: Turn, quiet: Quiet) -> None:
    gap_ms = turn.now_ms - quiet.last_ms
    if quiet.since_ms is None or gap_ms > turn.policy.view_age_ms:
        quiet.since_ms = turn.now_ms
    quiet.last_ms = turn.now_ms
    if quiet.last_ms - quiet.since_ms >= turn.policy.order_bound_ms:
        turn.state.quiet = None


def _check_view(state: State, before: EngineView | None, view: EngineView) -> None:
    if before is not None and view.version < before.version:
        raise InvariantError(f"map {before.version} was undone by {view.version}")
    if view.staged is not None and view.staged.ballot in state.denied:
        raise InvariantError(f"{view.staged.ballot} was denied and is staged")


def _on_received(turn: Turn, event: Received) -> None:
    state = turn.state
    envelope = event.envelope
    if envelope.host not in state.hosts:
        return
    known = state.known.get(envelope.host, 0)
    if isinstance(envelope.message, Stale):
        # Whoever sends it: two agents may each have met a higher one of the other.
        _on_stale(turn, envelope.message)
        return
    if envelope.incarnation < known:
        send(turn, envelope.host, Stale(envelope.incarnation, known))
        return
    fence_peer(state, Participant(envelope.host, envelope.incarnation))
    handler = _MESSAGE_HANDLERS[type(envelope.message)]
    handler(turn, envelope.host, envelope.message)


def _on_hello(turn: Turn, host: str, message: Hello) -> None:
    state = turn.state
    for peer in message.participants:
        if peer.host in state.peers:
            fence_peer(state, peer)
    state.greetings[host] = message


def _on_status(turn: Turn, host: str, message: Status) -> None:
    state = turn.state
    own = Participant(state.host, state.incarnation)
    if own in message.participants and not state.settled:
        state.statuses[host] = message


def _on_stale(turn: Turn, message: Stale) -> None:
    # The message may have come from a predecessor.
    if message.incarnation == turn.state.incarnation:
        _raise_incarnation(turn, message.highest_incarnation)


def _raise_incarnation(turn: Turn, highest: int) -> None:
    turn.state.incarnation = highest
    report(turn, events.INCARNATION_RAISED)
    begin_incarnation(turn)


def _advance(turn: Turn) -> None:
    state = turn.state
    _poll(turn)
    if not can_speak(turn):
        return
    _greet(turn)
    view = t.cast(EngineView, state.view)
    if view.map is None:
        _join(turn)
    else:
        close(turn, view)
        resolve(turn, view)
        propose(turn, view)
    if can_speak(turn):
        answer_questions(turn, view)


def _poll(turn: Turn) -> None:
    state = turn.state
    if state.order_id is not None or state.read_id is not None:
        return
    if _is_poll_due(turn):
        state.polled_at_ms = turn.now_ms
        state.read_id = next_id(state)
        turn.commands.append(Read(state.read_id))


def _is_poll_due(turn: Turn) -> bool:
    state = turn.state
    is_quiet = state.quiet is not None and not state.quiet.found
    if state.polled_at_ms is None or (state.must_read and not is_quiet):
        return True
    return turn.now_ms - state.polled_at_ms >= turn.policy.poll_ms


def _greet(turn: Turn) -> None:
    state = turn.state
    if state.settled:
        return
    missing = [peer for peer in state.peers if peer not in state.statuses]
    if missing:
        if turn.now_ms >= state.hello_at_ms:
            state.hello_at_ms = turn.now_ms + turn.policy.retry_ms
            hello = Hello(participants(state))
            for peer in missing:
                send(turn, peer, hello)
        return
    state.settled = t.cast(EngineView, state.view).map is not None


def _join(turn: Turn) -> None:
    state = turn.state
    if any(peer not in state.statuses for peer in state.peers):
        return
    views = [state.statuses[peer].view for peer in state.peers]
    install = choose_install(views, _initial(state))
    if install is None:
        state.statuses.clear()
        return
    give_order(turn, install)
    report(turn, events.MAP_INSTALLED, map_version=install.map.version)


def _initial(state: State) -> bytes | None:
    # Another agent may yet install what it heard from one that is gone, unless it
    # has met every incarnation that this agent has met.
    met = participants(state)
    agreed = all(one.participants == met for one in state.statuses.values())
    return state.initial if state.host == state.hosts[0] and agreed else None


def _lose_engine(turn: Turn) -> None:
    report(turn, events.ENGINE_REPLACED)
    turn.state.denied.clear()
    begin_incarnation(turn)


_HANDLERS: dict[type, t.Callable[[Turn, t.Any], None]] = {
    Tick: _on_tick,
    Received: _on_received,
    OrderDone: _on_order_done,
    OrderLost: _on_order_lost,
    ReadDone: _on_read_done,
    ReadLost: _on_read_lost,
    Propose: on_propose,
}

_MESSAGE_HANDLERS: dict[type, t.Callable[[Turn, str, t.Any], None]] = {
    Hello: _on_hello,
    Status: _on_status,
    Stage: on_stage,
    Ask: on_ask,
    Vote: on_vote,
    Outcome: on_outcome,
    Probe: on_probe,
    Ready: on_ready,
}
