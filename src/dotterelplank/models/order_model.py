"""A model of orders under failures, driven by the decisions that the daemons run.

Entries and agents of two failure domains are plain objects around
:mod:`exchanges`, :mod:`jobs` and the ledger. Streams, services and callers are fakes
that lose, delay and break at will. Each step checks the promises on requests.
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
    Call,
    EntryProcess,
    Job,
    Order,
    Seen,
    Wire,
    answer_body,
    answer_to,
    submit_of,
)

TRACE_LENGTH = 40


class OrderModel:
    """Entries ``e1`` to ``e3`` and agents ``a1`` to ``a3`` in the domains d1 and d2."""

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
        self._by_key: dict[str, Order] = {}
        for number, domain in enumerate(("d1", "d1", "d2"), 1):
            self.start_agent(f"a{number}", domain)
        for number, domain in enumerate(("d1", "d1", "d2"), 1):
            self.start_entry(f"e{number}", domain)

    def note(self, text: str) -> None:
        """Add to the trace of the last steps."""
        self.trace.append(f"{self.now_ms:.0f} ms: {text}")

    # Processes

    def start_agent(self, host: str, domain: str) -> None:
        """Start an agent without memory; its predecessor may be paused or dead."""
        self._incarnations += 1
        ledger = Ledger(host, self._incarnations, epoch_started_ms=self.now_ms)
        state = AgentState(ledger, SECRET, POLICY, SLOTS)
        earlier = self.agents.get(host)
        if earlier is not None:
            self.reach["agents restarted"] += 1
            self.earlier.append(earlier)
        self.agents[host] = AgentProcess(host, domain, state)
        self.note(f"agent {host} starts as {self._incarnations}")

    def start_entry(self, host: str, domain: str) -> None:
        """Start an entry that knows and selects every agent that runs."""
        entry = EntryProcess(host, domain, selected=set(self.agents))
        self.reach["entries restarted"] += host in self.entries
        self.entries[host] = entry
        self.note(f"entry {host} starts")
        for agent in self.agents:
            self.connect(host, agent)

    def crash_agent(self, host: str) -> None:
        """Kill an agent; what the service holds runs on."""
        agent = self.agents[host]
        if not agent.alive:
            return
        self.note(f"agent {host} dies")
        agent.alive = False
        self._close_agent_end(agent)
        in_service = (job.at_service for job in self.jobs if job.agent is agent)
        self.reach["agents died with a call out"] += any(in_service)

    def crash_entry(self, host: str) -> None:
        """Kill an entry; its callers are cut off."""
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
        """Stop a process; it keeps what it believes."""
        process.paused = process.alive
        self.reach["pauses"] += 1
        self.note(f"{process.host} is paused")

    def wake(self, process: EntryProcess | AgentProcess, noticed: bool) -> None:
        """Let a process go on; an agent that notices drops what its sockets hold."""
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
        """Begin an agent's graceful stop."""
        self.agents[host].state.is_leaving = True
        self.note(f"agent {host} leaves")

    def finish_leaving(self, host: str) -> None:
        """End a leaving agent that has no request in progress."""
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
        """Open a stream, and learn the agent's incarnation and epoch by it."""
        entry, agent = self.entries[entry_host], self.agents[agent_host]
        held = entry.wires.get(agent_host)
        if held is not None and held.entry_open or not self._meet(entry, agent):
            return
        wire = Wire(entry, agent)
        self.wires.append(wire)
        entry.wires[agent_host] = wire
        self.report(entry_host, agent_host)

    def report(self, entry_host: str, agent_host: str) -> None:
        """Bring an agent's ticket epoch to an entry."""
        entry = self.entries[entry_host]
        wire = entry.wires.get(agent_host)
        if wire is None or not wire.entry_open or not wire.agent_open:
            return
        if self._meet(entry, wire.agent):
            ledger = wire.agent.state.ledger
            ledgers.advance(self.now_ms, ledger, POLICY)
            entry.seen[agent_host] = Seen(ledger.incarnation, ledger.epoch)

    def _meet(self, entry: EntryProcess, agent: AgentProcess) -> bool:
        is_up = entry.alive and agent.alive and not entry.paused and not agent.paused
        return is_up and (not self.is_cut or entry.domain == agent.domain)

    def break_wire(self, index: int, by_entry: bool) -> None:
        """Let one end of a stream notice that it broke; the other may still read."""
        if not self.wires:
            return
        wire = self.wires[index % len(self.wires)]
        if by_entry and wire.entry_open and not wire.entry.paused:
            self.note(f"{wire.entry.host} loses its stream to {wire.agent.host}")
            wire.entry_open = False
            wire.down.clear()
            for call in self.open_calls(wire.entry):
                if call.wire is wire:
                    self.feed(call, Lost(written=True))
        elif not by_entry and not wire.agent.paused:
            wire.agent_open = False
            wire.up.clear()

    def hold(self, index: int, up: bool, held: bool) -> None:
        """Make a stream half open, or mend it."""
        if not self.wires:
            return
        wire = self.wires[index % len(self.wires)]
        if up:
            wire.up_held = held
        else:
            wire.down_held = held

    def deliver(self, index: int, up: bool) -> None:
        """Let the next frame of a stream be read."""
        ready = [wire for wire in self.wires if self._may_read(wire, up)]
        if not ready:
            return
        wire = ready[index % len(ready)]
        if up:
            self._at_agent(wire, wire.up.popleft())
        else:
            self._at_entry(wire, wire.down.popleft())

    def _may_read(self, wire: Wire, up: bool) -> bool:
        if self.is_cut and wire.entry.domain != wire.agent.domain:
            return False
        reader = wire.agent if up else wire.entry
        if not reader.alive or reader.paused:
            return False
        if up:
            return bool(wire.up) and wire.agent_open and not wire.up_held
        return bool(wire.down) and wire.entry_open and not wire.down_held

    def _tell(self, wire: Wire, *messages: Message) -> None:
        if wire.agent_open:
            wire.down.extend(messages)

    # Callers

    def take_ticket(self, entry_host: str, index: int) -> None:
        """Give a caller a ticket of an agent that the entry selects and knows."""
        entry = self.entries[entry_host]
        known = sorted(entry.selected & set(entry.seen))
        if not known or not entry.alive or entry.paused:
            return
        host = known[index % len(known)]
        seen = entry.seen[host]
        nonce = len(self.orders).to_bytes(tickets.NONCE_SIZE_BYTES, "big")
        ticket = Ticket(host, seen.incarnation, seen.epoch, TARGET, TEAM, nonce)
        order = Order(tickets.mint(ticket, SECRET), ticket)
        self.orders.append(order)
        self._by_key[order.key] = order

    def submit(
        self, entry_host: str, index: int, body: bytes, send_fails: bool, wait_ms: float
    ) -> None:
        """Submit one of the newest orders through an entry."""
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
            self._carry_out(call, command, send_fails)

    def refuse_at_entry(self, index: int, body: bytes, result: results.Result) -> None:
        """Let an entry refuse an order before it looks for the home."""
        if not self.orders:
            return
        order = self.orders[-1 - index % len(self.orders)]
        told = adjust_for_ticket(order.key, CallRefusedError(result))
        self._check_told(order, body, told.result)

    def hang_up(self, index: int) -> None:
        """Let a caller go away before its answer."""
        if self.calls:
            call = self.calls[index % len(self.calls)]
            if call.entry.alive and not call.entry.paused:
                call.caller_gone = True
                call.order.unknown = True
                self.feed(call, exchanges.CallerGone())

    def tick(self, entry_host: str) -> None:
        """Let an entry look at its clock."""
        entry = self.entries[entry_host]
        if entry.alive and not entry.paused:
            for call in self.open_calls(entry):
                self.feed(call, exchanges.Tick())

    def open_calls(self, entry: EntryProcess) -> list[Call]:
        """Return the calls in progress at an entry."""
        return [call for call in self.calls if call.entry is entry]

    def feed(self, call: Call, event: exchanges.Event) -> None:
        """Hand an event to a call and carry out what follows."""
        for command in exchanges.decide(self.now_ms, call.exchange, event):
            self._carry_out(call, command, False)
        if call.exchange.phase is exchanges.Phase.OVER and call in self.calls:
            self.calls.remove(call)
            if call.final is None and not call.caller_gone:
                raise InvariantError("a request ended without an answer")

    def _carry_out(
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
                self.feed(call, chosen)
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
            self.feed(call, Lost(written=False))
            return
        call.wire, call.request_id = wire, wire.next_id
        wire.next_id += 1
        wire.up.append(submit_of(call))

    def _at_entry(self, wire: Wire, message: Message) -> None:
        for call in self.open_calls(wire.entry):
            if call.wire is wire and call.request_id == message.request_id:
                self.feed(call, message)
                return
        self.reach["late answers dropped"] += 1

    def _finish(self, call: Call, final: Complete | GiveUp) -> None:
        if call.final is not None or call.caller_gone:
            raise InvariantError("a request got a second answer")
        call.final = final
        if isinstance(final, GiveUp):
            self._check_told(call.order, call.body, final.result)
            return
        self.reach["orders done"] += not call.order.done
        self.reach["answers repeated"] += call.order.done
        call.order.done = True
        if call.order.executions != [call.body] or final.body != answer_to(call):
            raise InvariantError(f"answered {final.body!r} to {call.body!r}")

    def _check_told(self, order: Order, body: bytes, result: results.Result) -> None:
        self.note(f"order {order.ticket.nonce[-1]} is told {result.name}")
        self.reach[f"told {result.name}"] += 1
        if result.outcome is Outcome.UNKNOWN:
            order.unknown = True
        elif result.outcome is Outcome.DONE and body not in order.executions:
            raise InvariantError("told done, but it did not run")
        elif result.outcome is Outcome.NOT_RUN:
            order.not_run.add(body)
            self.reach["told not run"] += 1
            if body in order.executions:
                raise InvariantError(f"told {result.name}, but it ran")

    # Agents and their services

    def _at_agent(self, wire: Wire, message: Message) -> None:
        match message:
            case Submit():
                self._on_submit(wire, message)
            case Cancel(request_id):
                for job in self.jobs:
                    is_it = job.wire is wire and job.submit.request_id == request_id
                    if is_it and not job.ended:
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
                self._give(wire, submit, answer)
            case jobs.Reject(result):
                self.reach["refusals"] += 1
                self._tell(wire, Refuse(submit.request_id, result.number, 0.0))
        self._check_memory(agent.state)

    def _give(self, wire: Wire, submit: Submit, answer: Answer) -> None:
        number = submit.request_id
        half = len(answer.body) // 2
        self._tell(
            wire, Begin(number, 200, ()), Chunk(number, 0, 0, answer.body[:half])
        )
        self._tell(wire, Chunk(number, 1, 0, answer.body[half:]), End(number, 2))

    def hand_on(self, index: int, reached: bool) -> None:
        """Let a started request go to the service, which may be out of reach."""
        waiting = [job for job in self.jobs if self._is_waiting(job)]
        if not waiting:
            return
        job = waiting[index % len(waiting)]
        if not jobs.may_send(job.progress):
            self.reach["cancels proved"] += 1
            self._end(job, results.DEADLINE_BEFORE_START, None)
        elif reached:
            job.at_service = True
        else:
            self._end(job, results.ENDPOINT_UNREACHABLE, None)

    def _is_waiting(self, job: Job) -> bool:
        is_up = job.agent.alive and not job.agent.paused
        return is_up and not job.ended and not job.progress.sent

    def execute(self, index: int) -> None:
        """Let the service run what it holds, whoever still waits for it."""
        held = [job for job in self.jobs if job.at_service]
        if not held:
            return
        job = held[index % len(held)]
        job.at_service = False
        order = self._by_key[job.submit.ticket.decode()]
        order.executions.append(job.submit.body)
        self.note(f"order {order.ticket.nonce[-1]} {job.submit.body!r} runs")
        self.reach["ran after its agent died"] += not job.agent.alive
        if len(order.executions) > 1:
            raise InvariantError(f"ran {len(order.executions)} times")
        if job.submit.body in order.not_run:
            raise InvariantError("told not run, but it runs later")
        job.answer = Answer(200, (), answer_body(order, job.submit.body))

    def answer(self, index: int, lost: bool) -> None:
        """Bring a service's answer to its agent, or lose the call to the service."""
        if lost:
            found = [job for job in self.jobs if job.progress.sent and self._is_up(job)]
        else:
            found = [job for job in self.jobs if job.answer and self._is_up(job)]
        if not found:
            return
        job = found[index % len(found)]
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
            self._give(job.wire, job.submit, answer)
        else:
            self._tell(job.wire, Refuse(job.submit.request_id, result.number, 0.0))
        self._check_memory(state)

    def _check_memory(self, state: AgentState) -> None:
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

    # Ends

    def advance(self, duration_ms: float) -> None:
        """Let time pass and forget what can have no effect any more."""
        self.now_ms += duration_ms
        self.jobs = [job for job in self.jobs if job.at_service or self._lives(job)]
        self.wires = [wire for wire in self.wires if wire.entry_open or wire.up]

    def _lives(self, job: Job) -> bool:
        return not job.ended and job.agent.alive

    def mend(self) -> None:
        """End the faults: wake, heal, replace what died or left, and connect anew."""
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
        """End the faults and check that every caller gets its one answer."""
        self.mend()
        for wait_ms in (10_000.0, 1_000.0):
            self.advance(wait_ms)
            for host in self.entries:
                self.tick(host)
        if self.calls:
            raise InvariantError(f"{len(self.calls)} requests have no answer")

    def count_unknown(self) -> None:
        """Count what became in truth of the orders told "outcome unknown"."""
        for order in self.orders:
            if order.unknown:
                ran = "ran" if order.executions else "did not run"
                self.reach[f"unknown that {ran}"] += 1
