"""The decisions by which all ranks of a group use one expert map in every step.

:func:`decide` takes the present time, an agent's state and one event, and returns
commands. An agent keeps nothing: what binds it lies in its engine, and it speaks of
its engine only while no order is open. ``docs/design/expert-map-change.md`` says why
this is safe.
"""

import collections
import dataclasses
import typing as t

from . import events
from .ballots import Ballot, Change, ExpertMap
from .errors import InvariantError
from .mapjoin import choose_install
from .mapmessages import (
    Action,
    Answer,
    Ask,
    Closed,
    Closure,
    Command,
    EngineView,
    Envelope,
    Event,
    Hello,
    Message,
    Order,
    OrderDone,
    OrderLost,
    Outcome,
    Participant,
    Propose,
    Read,
    ReadDone,
    ReadLost,
    Received,
    Report,
    ResolveOrder,
    Send,
    Stage,
    StageOrder,
    Stale,
    Status,
    Stop,
    Tick,
    Vote,
)
from .maptally import Tally, verdict

_DENIED_KEPT = 256


@dataclasses.dataclass(frozen=True)
class Policy:
    """Settings of the protocol, equal in all agents of a group.

    :param retry_ms: after it an unanswered message is sent again.
    :param patience_ms: how long a ballot stays open before its holders ask each other.
    :param stagger_ms: what each later host of the group waits longer.
    :param poll_ms: how often the engine is read.
    :param view_age_ms: how old a read may be when an agent speaks of its engine.
    :param order_bound_ms: once an engine has answered reads for so long, with no gap
        above ``view_age_ms``, no order from before can take effect any more.
    :param lead_steps: how many steps lie between a proposal and the first step with
        the new map.
    :param near_steps: how many steps before that step the patience ends.
    """

    retry_ms: int = 50
    patience_ms: int = 250
    stagger_ms: int = 20
    poll_ms: int = 100
    view_age_ms: int = 300
    order_bound_ms: int = 1000
    lead_steps: int = 20
    near_steps: int = 3


@dataclasses.dataclass(frozen=True)
class Proposal:
    """A change that this agent proposed and that isn't closed.

    :param voters: the incarnations of the other agents that may stage it.
    """

    change: Change
    voters: t.Mapping[str, int]


@dataclasses.dataclass
class Quiet:
    """A wait for the end of orders that may yet take effect.

    :param since_ms: the first of the answered reads without a gap.
    :param last_ms: the last of them.
    """

    since_ms: int | None = None
    last_ms: int = 0


@dataclasses.dataclass
class State:
    """What one agent of a group knows; it is lost with the process.

    :param host: this agent's host.
    :param hosts: all hosts of the group, sorted.
    :param incarnation: higher than that of each earlier agent on this host.
    :param initial: payload of the first map, used by the first host alone.
    :param quiet: set while an older order may take effect.
    :param known: the highest incarnation met of each other host.
    :param statuses: what each other host answered to this incarnation.
    :param settled: whether every other host has answered this incarnation.
    :param floor: this agent stages no ballot at or below it.
    :param denied: ballots denied since the engine got its map.
    :param order_id: the open order.
    :param read_id: the open read.
    :param must_read: whether the view is older than an order.
    :param announce: the outcome to tell once the engine has taken it.
    :param questions: votes owed, by host.
    :param greetings: statuses owed.
    """

    host: str
    hosts: tuple[str, ...]
    incarnation: int
    initial: bytes | None
    quiet: Quiet | None = dataclasses.field(default_factory=Quiet)
    known: dict[str, int] = dataclasses.field(default_factory=dict)
    statuses: dict[str, Status] = dataclasses.field(default_factory=dict)
    settled: bool = False
    hello_at_ms: int = 0
    round: int = 0
    floor: Ballot | None = None
    denied: collections.deque[Ballot] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_DENIED_KEPT)
    )
    fence: int = 0
    last_id: int = 0
    order_id: int | None = None
    read_id: int | None = None
    must_read: bool = True
    polled_at_ms: int | None = None
    read_at_ms: int = 0
    view: EngineView | None = None
    tally: Tally | None = None
    proposal: Proposal | None = None
    announce: Outcome | None = None
    questions: dict[str, Ask] = dataclasses.field(default_factory=dict)
    greetings: dict[str, Hello] = dataclasses.field(default_factory=dict)
    superseded: bool = False

    @property
    def peers(self) -> list[str]:
        """Return the other hosts of the group."""
        return [host for host in self.hosts if host != self.host]


def new_state(
    host: str,
    hosts: t.Iterable[str],
    incarnation: int,
    initial: bytes | None = None,
) -> State:
    """Return the state of an agent that starts.

    :param incarnation: wall-clock milliseconds at the start will do; a lower one than
        before is noticed by the other agents and raised.
    """
    return State(
        host=host,
        hosts=tuple(sorted(hosts)),
        incarnation=incarnation,
        initial=initial,
    )


@dataclasses.dataclass
class _Turn:
    now_ms: int
    state: State
    policy: Policy
    commands: list[Command]


def decide(now_ms: int, state: State, event: Event, policy: Policy) -> list[Command]:
    """Take in one event and return the commands that follow, in order.

    :param now_ms: monotonic milliseconds, read after the event came.
    :raises InvariantError: if a promise of the protocol was found broken.
    """
    turn = _Turn(now_ms, state, policy, [])
    if not state.superseded:
        _HANDLERS[type(event)](turn, event)
        _advance(turn)
    return turn.commands


# Events


def _on_tick(turn: _Turn, event: Tick) -> None:
    """Do nothing: what is due follows from the state."""


def _on_order_done(turn: _Turn, event: OrderDone) -> None:
    if event.order_id == turn.state.order_id:
        turn.state.order_id = None


def _on_order_lost(turn: _Turn, event: OrderLost) -> None:
    state = turn.state
    if event.order_id == state.order_id:
        state.order_id = None
        state.quiet = Quiet()
        _report(turn, events.ORDER_WAITED_OUT)


def _on_read_lost(turn: _Turn, event: ReadLost) -> None:
    if event.read_id == turn.state.read_id:
        turn.state.read_id = None


def _on_read_done(turn: _Turn, event: ReadDone) -> None:
    state = turn.state
    if event.read_id != state.read_id:
        return
    before, view = state.view, event.view
    state.read_id = None
    if state.quiet is not None and view.staged is None:
        _prolong(turn, state.quiet)
        return
    # What may follow the order that staged is its resolution, which is the same
    # whoever orders it.
    state.quiet = None
    # A predecessor's late order carries a token below this incarnation.
    if before is not None and view.highest_fence > max(state.fence, state.incarnation):
        state.superseded = True
        _report(turn, events.AGENT_SUPERSEDED)
        turn.commands.append(Stop())
        return
    state.fence = max(state.fence, view.highest_fence)
    state.view = view
    state.must_read = False
    state.read_at_ms = turn.now_ms
    if before is not None and before.map is not None and view.map is None:
        _lose_engine(turn)
        return
    _check_view(state, before, view)


def _prolong(turn: _Turn, quiet: Quiet) -> None:
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


def _on_propose(turn: _Turn, event: Propose) -> None:
    state = turn.state
    view = state.view
    if view is None or not _may_propose(turn, view, event):
        turn.commands.append(Closed(None, Closure.REFUSED))
        return
    state.round += 1
    ballot = Ballot(state.round, state.host, state.incarnation)
    expert_map = ExpertMap(view.version + 1, event.payload)
    change = Change(ballot, expert_map, view.step + turn.policy.lead_steps)
    state.proposal = Proposal(change, {peer: state.known[peer] for peer in state.peers})
    state.floor = ballot
    _order(turn, StageOrder(change))


def _may_propose(turn: _Turn, view: EngineView, event: Propose) -> bool:
    return (
        _can_speak(turn)
        and turn.state.settled
        and turn.state.proposal is None
        and view.staged is None
        and view.committed is None
        and view.version == event.base_version
    )


def _participants(state: State) -> tuple[Participant, ...]:
    own = Participant(state.host, state.incarnation)
    known = [peer for peer in state.peers if peer in state.known]
    others = [Participant(peer, state.known[peer]) for peer in known]
    return (own, *others)


def _on_received(turn: _Turn, event: Received) -> None:
    state = turn.state
    envelope = event.envelope
    if envelope.host not in state.hosts:
        return
    known = state.known.get(envelope.host, 0)
    if envelope.incarnation < known:
        if isinstance(envelope.message, Hello):
            _send(turn, envelope.host, Stale(known))
        return
    _fence(state, Participant(envelope.host, envelope.incarnation))
    handler = _MESSAGE_HANDLERS[type(envelope.message)]
    handler(turn, envelope.host, envelope.message)


def _fence(state: State, peer: Participant) -> None:
    if peer.incarnation <= state.known.get(peer.host, 0):
        return
    state.known[peer.host] = peer.incarnation
    state.statuses.pop(peer.host, None)
    state.questions.pop(peer.host, None)
    state.greetings.pop(peer.host, None)
    if state.tally is not None:
        state.tally.answers.pop(peer.host, None)


# Messages


def _on_hello(turn: _Turn, host: str, message: Hello) -> None:
    state = turn.state
    for peer in message.participants:
        if peer.host in state.peers:
            _fence(state, peer)
    state.greetings[host] = message


def _on_status(turn: _Turn, host: str, message: Status) -> None:
    state = turn.state
    own = Participant(state.host, state.incarnation)
    if own in message.participants and not state.settled:
        state.statuses[host] = message


def _on_stale(turn: _Turn, host: str, message: Stale) -> None:
    if message.highest_incarnation >= turn.state.incarnation:
        turn.state.incarnation = message.highest_incarnation
        _report(turn, events.INCARNATION_RAISED)
        _begin_incarnation(turn)


def _on_stage(turn: _Turn, host: str, message: Stage) -> None:
    state = turn.state
    change = message.change
    ballot = change.ballot
    state.round = max(state.round, ballot.round)
    if not state.settled or not _can_speak(turn):
        return
    state.questions[host] = Ask(ballot, change.map.version)
    if _may_stage(state, message):
        state.floor = ballot
        _order(turn, StageOrder(change))


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


def _on_ask(turn: _Turn, host: str, message: Ask) -> None:
    turn.state.round = max(turn.state.round, message.ballot.round)
    turn.state.questions[host] = message


def _on_vote(turn: _Turn, host: str, message: Vote) -> None:
    state = turn.state
    if message.floor is not None:
        state.round = max(state.round, message.floor.round)
    if _is_open(state, message.ballot):
        t.cast(Tally, state.tally).answers[host] = message.answer


def _on_outcome(turn: _Turn, host: str, message: Outcome) -> None:
    if _is_open(turn.state, message.ballot):
        t.cast(Tally, turn.state.tally).told = message.commit


def _is_open(state: State, ballot: Ballot) -> bool:
    if not state.settled:  # may be told by one that is gone
        return False
    return state.tally is not None and state.tally.ballot == ballot


# What follows from the state


def _advance(turn: _Turn) -> None:
    state = turn.state
    _poll(turn)
    if not _can_speak(turn):
        return
    _greet(turn)
    view = t.cast(EngineView, state.view)
    if view.map is None:
        _join(turn)
    else:
        _close(turn, view)
        _resolve(turn, view)
    if _can_speak(turn):
        _answer(turn, view)


def _can_speak(turn: _Turn) -> bool:
    state = turn.state
    return (
        state.view is not None
        and not state.must_read
        and turn.now_ms - state.read_at_ms <= turn.policy.view_age_ms
    )


def _poll(turn: _Turn) -> None:
    state = turn.state
    if state.order_id is not None or state.read_id is not None:
        return
    if _is_poll_due(turn):
        state.polled_at_ms = turn.now_ms
        state.read_id = _next_id(state)
        turn.commands.append(Read(state.read_id))


def _is_poll_due(turn: _Turn) -> bool:
    state = turn.state
    if state.polled_at_ms is None or (state.must_read and state.quiet is None):
        return True
    return turn.now_ms - state.polled_at_ms >= turn.policy.poll_ms


def _greet(turn: _Turn) -> None:
    state = turn.state
    if state.settled:
        return
    missing = [peer for peer in state.peers if peer not in state.statuses]
    if missing:
        if turn.now_ms >= state.hello_at_ms:
            state.hello_at_ms = turn.now_ms + turn.policy.retry_ms
            hello = Hello(_participants(state))
            for peer in missing:
                _send(turn, peer, hello)
        return
    state.settled = t.cast(EngineView, state.view).map is not None


def _join(turn: _Turn) -> None:
    state = turn.state
    if any(peer not in state.statuses for peer in state.peers):
        return
    views = [state.statuses[peer].view for peer in state.peers]
    install = choose_install(views, _initial(state))
    if install is None:
        state.statuses.clear()
        return
    _order(turn, install)
    _report(turn, events.MAP_INSTALLED, map_version=install.map.version)


def _initial(state: State) -> bytes | None:
    # Another agent may yet install what it heard from one that is gone, unless it
    # has met every incarnation that this agent has met.
    met = _participants(state)
    agreed = all(one.participants == met for one in state.statuses.values())
    return state.initial if state.host == state.hosts[0] and agreed else None


def _close(turn: _Turn, view: EngineView) -> None:
    state = turn.state
    staged = None if view.staged is None else view.staged.ballot
    if state.announce is not None and state.announce.ballot != staged:
        _tell(turn, state.announce)
        state.announce = None
    if state.proposal is not None and state.proposal.change.ballot != staged:
        _end_proposal(turn, view)


def _tell(turn: _Turn, outcome: Outcome) -> None:
    for peer in turn.state.peers:
        _send(turn, peer, outcome)


def _end_proposal(turn: _Turn, view: EngineView) -> None:
    change = t.cast(Proposal, turn.state.proposal).change
    turn.state.proposal = None
    if view.version >= change.map.version:
        turn.commands.append(Closed(change.ballot, Closure.COMMITTED))
    else:
        turn.commands.append(Closed(change.ballot, Closure.ABORTED))


def _resolve(turn: _Turn, view: EngineView) -> None:
    state = turn.state
    staged = view.staged
    if staged is None:
        state.tally = None
        return
    tally = state.tally
    if tally is None or tally.ballot != staged.ballot:
        tally = state.tally = Tally(staged.ballot, since_ms=turn.now_ms)
        _report(turn, events.MAP_STAGED, staged.ballot, staged.map.version)
    if not state.settled:
        return
    commit = tally.told
    if commit is None:
        commit = verdict(tally.answers, state.peers, staged.ballot)
        if commit is None:
            _chase(turn, tally, staged)
            return
        state.announce = Outcome(staged.ballot, commit)
    event = events.MAP_COMMITTED if commit else events.MAP_ABORTED
    _report(turn, event, staged.ballot, staged.map.version)
    _order(turn, ResolveOrder(staged.ballot, commit))


def _chase(turn: _Turn, tally: Tally, staged: Change) -> None:
    if turn.now_ms < tally.next_send_ms:
        return
    proposal = turn.state.proposal
    is_own = proposal is not None and proposal.change.ballot == staged.ballot
    open_ms = turn.now_ms - tally.since_ms
    if is_own and open_ms < turn.policy.patience_ms:
        messages = _stages(t.cast(Proposal, proposal))
    elif _is_overdue(turn, staged, open_ms):
        messages = _asks(turn, tally, staged)
    else:
        return
    tally.next_send_ms = turn.now_ms + turn.policy.retry_ms
    for peer, message in messages.items():
        if peer not in tally.answers:
            _send(turn, peer, message)


def _stages(proposal: Proposal) -> dict[str, Message]:
    change = proposal.change
    base_version = change.map.version - 1
    return {
        peer: Stage(change, base_version, incarnation)
        for peer, incarnation in proposal.voters.items()
    }


def _is_overdue(turn: _Turn, staged: Change, open_ms: int) -> bool:
    state, policy = turn.state, turn.policy
    wait_ms = policy.stagger_ms * state.hosts.index(state.host)
    near_step = staged.hold_step - policy.near_steps
    if t.cast(EngineView, state.view).step < near_step:
        wait_ms += policy.patience_ms
    return open_ms >= wait_ms


def _asks(turn: _Turn, tally: Tally, staged: Change) -> dict[str, Message]:
    if not tally.asked:
        tally.asked = True
        _report(turn, events.MAP_ASKED, staged.ballot, staged.map.version)
    ask = Ask(staged.ballot, staged.map.version)
    return {peer: ask for peer in turn.state.peers}


def _answer(turn: _Turn, view: EngineView) -> None:
    state = turn.state
    for host, hello in state.greetings.items():
        _send(turn, host, Status(hello.participants, view))
    state.greetings.clear()
    if view.map is None:  # may yet stage the ballot as it joins
        return
    for host, question in state.questions.items():
        answer = _vote(state, view, question)
        _send(turn, host, Vote(question.ballot, answer, state.floor))
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


# Incarnations and commands


def _lose_engine(turn: _Turn) -> None:
    _report(turn, events.ENGINE_REPLACED)
    turn.state.denied.clear()
    _begin_incarnation(turn)


def _begin_incarnation(turn: _Turn) -> None:
    state = turn.state
    state.incarnation += 1
    state.settled = False
    state.statuses.clear()
    state.hello_at_ms = turn.now_ms
    state.tally = None
    state.announce = None
    if state.proposal is not None:
        ballot = state.proposal.change.ballot
        turn.commands.append(Closed(ballot, Closure.UNKNOWN))
        state.proposal = None


def _next_id(state: State) -> int:
    state.last_id += 1
    return state.last_id


def _order(turn: _Turn, action: Action) -> None:
    state = turn.state
    if state.order_id is not None:
        raise InvariantError("two orders are open at one engine")
    state.fence = max(state.fence + 1, state.incarnation)
    state.order_id = _next_id(state)
    state.read_id = None  # opened before the order
    state.must_read = True
    turn.commands.append(Order(state.order_id, state.fence, action))


def _send(turn: _Turn, host: str, message: Message) -> None:
    envelope = Envelope(turn.state.host, turn.state.incarnation, message)
    turn.commands.append(Send(host, envelope))


def _report(
    turn: _Turn,
    event: events.Event,
    ballot: Ballot | None = None,
    map_version: int | None = None,
) -> None:
    turn.commands.append(Report(event, turn.state.host, ballot, map_version))


_HANDLERS: dict[type, t.Callable[[_Turn, t.Any], None]] = {
    Tick: _on_tick,
    Received: _on_received,
    OrderDone: _on_order_done,
    OrderLost: _on_order_lost,
    ReadDone: _on_read_done,
    ReadLost: _on_read_lost,
    Propose: _on_propose,
}

_MESSAGE_HANDLERS: dict[type, t.Callable[[_Turn, str, t.Any], None]] = {
    Hello: _on_hello,
    Status: _on_status,
    Stale: _on_stale,
    Stage: _on_stage,
    Ask: _on_ask,
    Vote: _on_vote,
    Outcome: _on_outcome,
}
