"""A model of orders under failures, which runs the decision code of the daemons.

Entries and agents of two failure domains are plain objects around
:mod:`~dotterelplank.daemons.exchanges`, :mod:`~dotterelplank.daemons.jobs` and the
ledger. Streams, services and callers are fakes that lose, delay or abort requests on
demand. The model checks that each order runs at most once, that every outcome reported
to a caller is true, and that the ledgers stay within their bounds.
"""

import collections
import hashlib

from .. import results
from ..daemons import exchanges, jobs, ledger as ledgers, tickets
from ..daemons.calls import CallRefusedError, adjust_for_ticket
from ..daemons.exchanges import (
    CancelAt,
    Choose,
    Chosen,
    Complete,
    Exchange,
    GiveUp,
    Lost,
    Send,
)
from ..daemons.jobs import AgentState
from ..daemons.ledger import Answer, Ledger
from ..daemons.tickets import Ticket
from ..errors import InvariantError
from ..links.messages import Begin, Cancel, Chunk, End, Message, Refuse, Submit
from ..results import Outcome
from .order_parts import (
    POLICY,
    SECRET,
    SLOTS,
    TARGET,
    TEAM,
    AgentProcess,
    AgentView,
    Call,
    EntryProcess,
    Job,
    Order,
    Wire,
    expected_answer,
    expected_body,
    submit_frame,
)

TRACE_LENGTH = 40


class OrderModel:
    """Entries ``e1`` to ``e3`` and agents ``a1`` to ``a3`` in the domains d1 and d2.

    :param reach: how often each kind of event occurred.
    :param trace: the last events, newest last.
    :param is_cut: whether the two domains are cut off from each other.
    :param earlier: agent processes that were replaced.
    :param wires: all streams that are open at the entry or hold frames for the agent.
    :param calls: the calls in progress.
    :param orders: all orders, newest last.
    :param jobs: the requests that agents or their services have not finished.
    """

    def __init__(self) -> None:
        self.now_ms = 1.0
        self.reach: collections.Counter[str] = collections.Counter()
        self.trace: collections.deque[str] = collections.deque(maxlen=TRACE_LENGTH)
        self.is_cut = False
        self.entries: dict[str, EntryProcess] = {}
        self.agents: dict[str, AgentProcess] = {}
        self.earlier: list[AgentProcess] = []
        self.wires: list[Wire] = []
        self.calls: list[Call] = []
        self.orders: list[Order] = []
        self.jobs: list[Job] = []
        self._incarnations = 0
        self._orders_by_key: dict[str, Order] = {}
        for number, domain in enumerate(("d1", "d1", "d2"), 1):
            self.start_agent(f"a{number}", domain)
        for number, domain in enumerate(("d1", "d1", "d2"), 1):
            self.start_entry(f"e{number}", domain)

    def note(self, text: str) -> None:
        """Add a line to the trace."""
        self.trace.append(f"{self.now_ms:.0f} ms: {text}")

    # Processes

    def start_agent(self, host: str, domain: str) -> None:
        """Start an agent with an empty ledger. Its predecessor may still be paused."""
        self._incarnations += 1
        ledger = Ledger(host, self._incarnations, epoch_started_ms=self.now_ms)
        state = AgentState(ledger, SECRET, POLICY, SLOTS)
        predecessor = self.agents.get(host)
        if predecessor is not None:
            self.reach["agents restarted"] += 1
            self.earlier.append(predecessor)
        self.agents[host] = AgentProcess(host, domain, state)
        self.note(f"agent {host} starts as {self._incarnations}")

    def start_entry(self, host: str, domain: str) -> None:
        """Start an entry that selects every agent and connects to them."""
        entry = EntryProcess(host, domain, selected=set(self.agents))
        self.reach["entries restarted"] += host in self.entries
        self.entries[host] = entry
        self.note(f"entry {host} starts")
        for agent in self.agents:
            self.connect(host, agent)

    def crash_agent(self, host: str) -> None:
        """Kill an agent. Its service keeps the requests that it already has."""
        agent = self.agents[host]
        if not agent.alive:
            return
        self.note(f"agent {host} dies")
        agent.alive = False
        self._close_agent_end(agent)
        in_service = (job.at_service for job in self.jobs if job.agent is agent)
        self.reach["agents died with a call out"] += any(in_service)

    def crash_entry(self, host: str) -> None:
        """Kill an entry. Its callers receive no response."""
        entry = self.entries[host]
        if not entry.alive:
            return
        self.note(f"entry {host} dies")
        entry.alive = False
        for wire in entry.wires.values():
            wire.entry_open = False
        for call in self.open_calls(entry):
            call.caller_gone = True
            call.order.unknown = True
        self.calls = [call for call in self.calls if call.entry is not entry]

    def pause(self, process: EntryProcess | AgentProcess) -> None:
        """Pause a process, which keeps its state."""
        process.paused = process.alive
        self.reach["pauses"] += 1
        self.note(f"{process.host} is paused")

    def wake(self, process: EntryProcess | AgentProcess, noticed: bool) -> None:
        """Resume a paused process.

        :param noticed: whether an agent notices the pause. It then closes its streams
            and drops the frames that it has not read.
        """
        if not process.paused:
            return
        process.paused = False
        self.note(f"{process.host} wakes, noticed: {noticed}")
        if not isinstance(process, AgentProcess):
            return
        self.reach["predecessors woken"] += process in self.earlier
        if noticed:
            self._close_agent_end(process)
        else:
            pending = [wire for wire in self.wires if wire.agent is process and wire.up]
            self.reach["stale frames read"] += bool(pending)

    def leave(self, host: str) -> None:
        """Begin the graceful stop of an agent."""
        self.agents[host].state.is_leaving = True
        self.note(f"agent {host} leaves")

    def finish_leaving(self, host: str) -> None:
        """End the process of a leaving agent that has no request in progress."""
        agent = self.agents[host]
        state = agent.state
        if agent.alive and not agent.paused and state.is_leaving and not state.running:
            self.reach["graceful stops"] += 1
            agent.alive = False
            self._close_agent_end(agent)

    def _close_agent_end(self, agent: AgentProcess) -> None:
        for wire in self.wires:
            if wire.agent is agent:
                wire.agent_open = False
                wire.up.clear()

    # Streams

    def connect(self, entry_host: str, agent_host: str) -> None:
        """Open a stream, on which the agent reports its incarnation and epoch."""
        entry, agent = self.entries[entry_host], self.agents[agent_host]
        existing = entry.wires.get(agent_host)
        if (
            existing is not None
            and existing.entry_open
            or not self._can_connect(entry, agent)
        ):
            return
        wire = Wire(entry, agent)
        self.wires.append(wire)
        entry.wires[agent_host] = wire
        self.report(entry_host, agent_host)

    def report(self, entry_host: str, agent_host: str) -> None:
        """Deliver an agent's current incarnation and ticket epoch to an entry."""
        entry = self.entries[entry_host]
        wire = entry.wires.get(agent_host)
        if wire is None or not wire.entry_open or not wire.agent_open:
            return
        if self._can_connect(entry, wire.agent):
            ledger = wire.agent.state.ledger
            ledgers.advance(self.now_ms, ledger, POLICY)
            entry.agent_views[agent_host] = AgentView(ledger.incarnation, ledger.epoch)

    def _can_connect(self, entry: EntryProcess, agent: AgentProcess) -> bool:
        is_up = entry.alive and agent.alive and not entry.paused and not agent.paused
        return is_up and (not self.is_cut or entry.domain == agent.domain)

    def break_wire(self, index: int, by_entry: bool) -> None:
        """Let one end of a stream notice that it broke. The other end may still read.

        :param by_entry: whether the entry is the end that notices it.
        """
        if not self.wires:
            return
        wire = self.wires[index % len(self.wires)]
        if by_entry and wire.entry_open and not wire.entry.paused:
            self.note(f"{wire.entry.host} loses its stream to {wire.agent.host}")
            wire.entry_open = False
            wire.down.clear()
            for call in self.open_calls(wire.entry):
                if call.wire is wire:
                    self.dispatch(call, Lost(written=True))
        elif not by_entry and not wire.agent.paused:
            wire.agent_open = False
            wire.up.clear()

    def hold(self, index: int, up: bool, held: bool) -> None:
        """Hold back the frames of one direction of a stream, or release them.

        :param up: whether the direction is from the entry to the agent.
        :param held: whether the frames are held back.
        """
        if not self.wires:
            return
        wire = self.wires[index % len(self.wires)]
        if up:
            wire.up_held = held
        else:
            wire.down_held = held

    def deliver(self, index: int, up: bool) -> None:
        """Let one stream's reader read the next frame.

        :param up: whether the reader is an agent.
        """
        ready = [wire for wire in self.wires if self._may_read(wire, up)]
        if not ready:
            return
        wire = ready[index % len(ready)]
        if up:
            self._on_frame_at_agent(wire, wire.up.popleft())
        else:
            self._on_frame_at_entry(wire, wire.down.popleft())

    def _may_read(self, wire: Wire, up: bool) -> bool:
        if self.is_cut and wire.entry.domain != wire.agent.domain:
            return False
        reader = wire.agent if up else wire.entry
        if not reader.alive or reader.paused:
            return False
        if up:
            return bool(wire.up) and wire.agent_open and not wire.up_held
        return bool(wire.down) and wire.entry_open and not wire.down_held

    def _send_to_entry(self, wire: Wire, *messages: Message) -> None:
        if wire.agent_open:
            wire.down.extend(messages)

    # Callers

    def take_ticket(self, entry_host: str, index: int) -> None:
        """Create an order with a ticket that names an agent known to the entry.

        The agent is one of those that the entry selects.
        """
        entry = self.entries[entry_host]
        known = sorted(entry.selected & set(entry.agent_views))
        if not known or not entry.alive or entry.paused:
            return
        host = known[index % len(known)]
        view = entry.agent_views[host]
        nonce = len(self.orders).to_bytes(tickets.NONCE_SIZE_BYTES, "big")
        ticket = Ticket(host, view.incarnation, view.epoch, TARGET, TEAM, nonce)
        order = Order(tickets.mint(ticket, SECRET), ticket)
        self.orders.append(order)
        self._orders_by_key[order.key] = order

    def submit(
        self, entry_host: str, index: int, body: bytes, send_fails: bool, wait_ms: float
    ) -> None:
        """Submit an order through an entry.

        :param index: how many orders are newer than this one.
        :param send_fails: whether the stream to the home agent breaks before the send.
        :param wait_ms: time until the deadline of the call.
        """
        entry = self.entries[entry_host]
        if not self.orders or not entry.alive or entry.paused:
            return
        order = self.orders[-1 - index % len(self.orders)]
        home = order.ticket.host
        exchange = Exchange(False, False, home, False, self.now_ms + wait_ms)
        call = Call(order, body, entry, exchange)
        self.calls.append(call)
        self.note(f"order {order.ticket.nonce[-1]} {body!r} through {entry_host}")
        for command in exchanges.start(exchange):
            self._execute_command(call, command, send_fails)

    def refuse_at_entry(self, index: int, body: bytes, result: results.Result) -> None:
        """Let an entry refuse an order before it looks up the home agent."""
        if not self.orders:
            return
        order = self.orders[-1 - index % len(self.orders)]
        refusal = adjust_for_ticket(order.key, CallRefusedError(result))
        self._check_result(order, body, refusal.result)

    def hang_up(self, index: int) -> None:
        """Let a caller disconnect before it receives its response."""
        if self.calls:
            call = self.calls[index % len(self.calls)]
            if call.entry.alive and not call.entry.paused:
                call.caller_gone = True
                call.order.unknown = True
                self.dispatch(call, exchanges.CallerGone())

    def tick(self, entry_host: str) -> None:
        """Dispatch a tick of the clock to the calls of an entry."""
        entry = self.entries[entry_host]
        if entry.alive and not entry.paused:
            for call in self.open_calls(entry):
                self.dispatch(call, exchanges.Tick())

    def open_calls(self, entry: EntryProcess) -> list[Call]:
        """Return the calls in progress at an entry."""
        return [call for call in self.calls if call.entry is entry]

    def dispatch(self, call: Call, event: exchanges.Event) -> None:
        """Dispatch an event to a call and execute the resulting commands.

        :raises InvariantError: if the call ended without a response to its caller.
        """
        for command in exchanges.decide(self.now_ms, call.exchange, event):
            self._execute_command(call, command, False)
        if call.exchange.phase is exchanges.Phase.OVER and call in self.calls:
            self.calls.remove(call)
            if call.final is None and not call.caller_gone:
                raise InvariantError("a request ended without a response")

    def _execute_command(
        self, call: Call, command: exchanges.Command, send_fails: bool
    ) -> None:
        match command:
            case Choose(home=home):
                wire = call.entry.wires.get(home or "")
                is_linked = wire is not None and wire.entry_open
                self.reach["homes out of reach"] += not is_linked
                chosen = Chosen(home if is_linked else None)
                if send_fails and wire is not None:
                    wire.entry_open = False
                self.dispatch(call, chosen)
            case Send(host):
                self._send(call, host)
            case CancelAt():
                if call.wire is not None and call.wire.entry_open:
                    call.wire.up.append(Cancel(call.request_id))
            case Complete() | GiveUp():
                self._finish(call, command)

    def _send(self, call: Call, host: str) -> None:
        wire = call.entry.wires[host]
        if not wire.entry_open:
            self.dispatch(call, Lost(written=False))
            return
        call.wire, call.request_id = wire, wire.next_id
        wire.next_id += 1
        wire.up.append(submit_frame(call))

    def _on_frame_at_entry(self, wire: Wire, message: Message) -> None:
        for call in self.open_calls(wire.entry):
            if call.wire is wire and call.request_id == message.request_id:
                self.dispatch(call, message)
                return
        self.reach["late answers dropped"] += 1

    def _finish(self, call: Call, final: Complete | GiveUp) -> None:
        if call.final is not None or call.caller_gone:
            raise InvariantError("a request got a second response")
        call.final = final
        if isinstance(final, GiveUp):
            self._check_result(call.order, call.body, final.result)
            return
        self.reach["orders done"] += not call.order.done
        self.reach["answers repeated"] += call.order.done
        call.order.done = True
        if call.order.executions != [call.body] or final.body != expected_answer(call):
            raise InvariantError(f"answered {final.body!r} to {call.body!r}")

    def _check_result(self, order: Order, body: bytes, result: results.Result) -> None:
        self.note(f"order {order.ticket.nonce[-1]} gets {result.name}")
        self.reach[f"told {result.name}"] += 1
        if result.outcome is Outcome.UNKNOWN:
            order.unknown = True
        elif result.outcome is Outcome.DONE and body not in order.executions:
            raise InvariantError("reported as done, but it did not run")
        elif result.outcome is Outcome.NOT_RUN:
            order.not_run.add(body)
            self.reach["told not run"] += 1
            if body in order.executions:
                raise InvariantError(f"told {result.name}, but it ran")

    # Agents and their services

    def _on_frame_at_agent(self, wire: Wire, message: Message) -> None:
        match message:
            case Submit():
                self._on_submit(wire, message)
            case Cancel(request_id):
                for job in self.jobs:
                    is_match = job.wire is wire and job.submit.request_id == request_id
                    if is_match and not job.ended:
                        jobs.cancel(job.progress)

    def _on_submit(self, wire: Wire, submit: Submit) -> None:
        agent = wire.agent
        digest = hashlib.sha256(submit.body).digest()
        verdict = jobs.accept(self.now_ms, agent.state, submit, digest)
        match verdict:
            case jobs.Start(ticket):
                self.jobs.append(Job(agent, wire, submit, ticket))
            case jobs.SendAnswer(answer):
                self.reach["answers from memory"] += 1
                self._send_response(wire, submit, answer)
            case jobs.Reject(result):
                self.reach["refusals"] += 1
                self._send_to_entry(wire, Refuse(submit.request_id, result.number, 0.0))
        self._check_limits(agent.state)

    def _send_response(self, wire: Wire, submit: Submit, answer: Answer) -> None:
        request_id = submit.request_id
        half = len(answer.body) // 2
        self._send_to_entry(
            wire,
            Begin(request_id, 200, ()),
            Chunk(request_id, 0, 0, answer.body[:half]),
        )
        self._send_to_entry(
            wire, Chunk(request_id, 1, 0, answer.body[half:]), End(request_id, 2)
        )

    def hand_on(self, index: int, reached: bool) -> None:
        """Let an agent send an accepted request to its service.

        :param reached: whether the service can be reached.
        """
        unsent = [job for job in self.jobs if self._is_unsent(job)]
        if not unsent:
            return
        job = unsent[index % len(unsent)]
        if not jobs.may_send(job.progress):
            self.reach["cancels proved"] += 1
            self._end(job, results.DEADLINE_BEFORE_START, None)
        elif reached:
            job.at_service = True
        else:
            self._end(job, results.ENDPOINT_UNREACHABLE, None)

    def _is_unsent(self, job: Job) -> bool:
        is_up = job.agent.alive and not job.agent.paused
        return is_up and not job.ended and not job.progress.sent

    def execute(self, index: int) -> None:
        """Let a service run a request, even if nobody waits for the response any more.

        :raises InvariantError: if the order ran before, or was reported as not run.
        """
        pending = [job for job in self.jobs if job.at_service]
        if not pending:
            return
        job = pending[index % len(pending)]
        job.at_service = False
        order = self._orders_by_key[job.submit.ticket.decode()]
        order.executions.append(job.submit.body)
        self.note(f"order {order.ticket.nonce[-1]} {job.submit.body!r} runs")
        self.reach["ran after its agent died"] += not job.agent.alive
        if len(order.executions) > 1:
            raise InvariantError(f"ran {len(order.executions)} times")
        if job.submit.body in order.not_run:
            raise InvariantError("reported as not run, but it runs later")
        job.answer = Answer(200, (), expected_body(order, job.submit.body))

    def answer(self, index: int, lost: bool) -> None:
        """Deliver a service's response to its agent.

        :param lost: whether the agent instead loses its connection to the service.
        """
        if lost:
            matching = [
                job for job in self.jobs if job.progress.sent and self._is_up(job)
            ]
        else:
            matching = [job for job in self.jobs if job.answer and self._is_up(job)]
        if not matching:
            return
        job = matching[index % len(matching)]
        if lost:
            self._end(job, results.ENDPOINT_LOST, None)
        else:
            self._end(job, results.DONE, job.answer)

    def _is_up(self, job: Job) -> bool:
        return job.agent.alive and not job.agent.paused and not job.ended

    def _end(self, job: Job, result: results.Result, answer: Answer | None) -> None:
        job.ended = True
        state = job.agent.state
        jobs.record_outcome(self.now_ms, state, job.ticket, result, answer)
        jobs.release_slot(state)
        if answer is not None:
            self._send_response(job.wire, job.submit, answer)
        else:
            self._send_to_entry(
                job.wire, Refuse(job.submit.request_id, result.number, 0.0)
            )
        self._check_limits(state)

    def _check_limits(self, state: AgentState) -> None:
        ledger = state.ledger
        sizes = [len(records) for records in ledger.records_by_epoch.values()]
        if (
            len(sizes) > POLICY.epochs_remembered
            or max(sizes) > POLICY.tickets_per_epoch
        ):
            raise InvariantError(f"the ledger holds {sizes} tickets")
        if ledger.answers_size_bytes > POLICY.answers_bound_bytes:
            raise InvariantError(f"{ledger.answers_size_bytes} bytes of answers")
        if not 0 <= state.running <= state.slots:
            raise InvariantError(f"{state.running} requests hold {state.slots} slots")

    # Clock and recovery

    def advance(self, duration_ms: float) -> None:
        """Advance the clock and discard jobs and streams without further effect."""
        self.now_ms += duration_ms
        self.jobs = [
            job for job in self.jobs if job.at_service or self._is_in_progress(job)
        ]
        self.wires = [wire for wire in self.wires if wire.entry_open or wire.up]

    def _is_in_progress(self, job: Job) -> bool:
        return not job.ended and job.agent.alive

    def mend(self) -> None:
        """End the faults: resume paused processes, restart dead ones, connect all."""
        self.is_cut = False
        for process in [*self.entries.values(), *self.agents.values()]:
            self.wake(process, True)
        for host, agent in list(self.agents.items()):
            self.finish_leaving(host)
            if not agent.alive:
                self.start_agent(host, agent.domain)
        for index, wire in enumerate(self.wires):
            wire.up_held = wire.down_held = False
            if not wire.agent_open or self.agents[wire.agent.host] is not wire.agent:
                self.break_wire(index, by_entry=True)
        for host, entry in list(self.entries.items()):
            if not entry.alive:
                self.start_entry(host, entry.domain)
            for agent_host in self.agents:
                self.connect(host, agent_host)
                self.report(host, agent_host)

    def settle(self) -> None:
        """End the faults and check that no call is left without a response.

        :raises InvariantError: if calls are still in progress after their deadlines.
        """
        self.mend()
        for wait_ms in (10_000.0, 1_000.0):
            self.advance(wait_ms)
            for host in self.entries:
                self.tick(host)
        if self.calls:
            raise InvariantError(f"{len(self.calls)} requests have no response")

    def count_unknown(self) -> None:
        """Count how many orders with an unknown outcome ran and how many did not."""
        for order in self.orders:
            if order.unknown:
                ran = "ran" if order.executions else "did not run"
                self.reach[f"unknown that {ran}"] += 1
