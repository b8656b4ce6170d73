import collections

import testtools
from hypothesis import settings, stateful, strategies as st

from dotterelplank import results
from dotterelplank.models import order_soak
from dotterelplank.models.order_model import OrderModel

INDEX = st.integers(0, 63)
ENTRY = st.sampled_from(("e1", "e2", "e3"))
AGENT = st.sampled_from(("a1", "a2", "a3"))
BODY = st.sampled_from((b"lane 1", b"lane 1", b"lane 2"))
FAULTS_AT_ONCE = 3
DOMAINS = {"1": "d1", "2": "d1", "3": "d2"}
REACH = collections.Counter()
MUST_REACH = (
    "orders done",
    "answers from memory",
    "agents restarted",
    "homes out of reach",
    "refusals",
    "told not run",
    "unknown that ran",
    "unknown that did not run",
)


def when(condition):
    """Return a precondition that ``condition`` holds for the model."""
    return stateful.precondition(lambda self: condition(self.model))


def fault(**strategies):
    """Return a decorator that makes a fault a rule of the state machine.

    At most FAULTS_AT_ONCE faults are injected between two calls of ``mend``.
    """

    def decorate(function):
        def rule(self, **drawn):
            self.faults += 1
            function(self, **drawn)

        rule.__name__ = function.__name__
        guard = stateful.precondition(lambda self: self.faults < FAULTS_AT_ONCE)
        return guard(stateful.rule(**strategies)(rule))

    return decorate


class OrderMachine(stateful.RuleBasedStateMachine):
    """Any order of requests and faults that hypothesis finds."""

    def __init__(self):
        super().__init__()
        self.model = OrderModel()
        self.faults = 0

    @stateful.rule(entry=ENTRY, index=INDEX)
    def take_a_ticket(self, entry, index):
        self.model.take_ticket(entry, index)

    @when(lambda model: model.orders)
    @stateful.rule(
        entry=ENTRY,
        index=st.integers(0, 5),
        body=BODY,
        fails=st.booleans(),
        wait_ms=st.sampled_from((20.0, 300.0, 2_000.0)),
    )
    def submit(self, entry, index, body, fails, wait_ms):
        self.model.submit(entry, index, body, fails, wait_ms)

    @stateful.rule(entry=ENTRY, index=INDEX)
    def order(self, entry, index):
        self.model.take_ticket(entry, index)
        self.model.submit(entry, 0, b"lane 1", False, 2_000.0)

    @when(lambda model: model.wires)
    @stateful.rule(index=INDEX, up=st.booleans())
    def deliver(self, index, up):
        self.model.deliver(index, up)

    @when(lambda model: model.jobs)
    @stateful.rule(index=INDEX, reached=st.booleans())
    def hand_on(self, index, reached):
        self.model.hand_on(index, reached)

    @when(lambda model: model.jobs)
    @stateful.rule(index=INDEX)
    def execute(self, index):
        self.model.execute(index)

    @when(lambda model: model.jobs)
    @stateful.rule(index=INDEX, lost=st.booleans())
    def answer(self, index, lost):
        self.model.answer(index, lost)

    @stateful.rule(indexes=st.lists(INDEX, min_size=4, max_size=12))
    def go_on(self, indexes):
        for index in indexes:
            self.step(index)

    @when(lambda model: model.calls)
    @stateful.rule(index=INDEX)
    def hang_up(self, index):
        self.model.hang_up(index)

    @when(lambda model: model.orders)
    @stateful.rule(index=st.integers(0, 3), body=BODY)
    def refuse_at_entry(self, index, body):
        self.model.refuse_at_entry(index, body, results.OVERLOADED)

    @fault(index=INDEX, by_entry=st.booleans())
    def break_a_stream(self, index, by_entry):
        self.model.break_wire(index, by_entry)

    @fault(index=INDEX, up=st.booleans())
    def hold_a_stream(self, index, up):
        self.model.hold(index, up, True)

    @fault()
    def cut(self):
        self.model.is_cut = True

    @stateful.rule()
    def mend(self):
        self.faults = 0
        self.model.mend()

    @stateful.rule(entries=st.lists(ENTRY, min_size=2, max_size=3), index=INDEX)
    def order_and_repeat(self, entries, index):
        self.model.take_ticket(entries[0], index)
        for entry in entries:
            self.model.submit(entry, 0, b"lane 1", False, 2_000.0)
            for _ in range(8):
                self.step(index)

    def step(self, index):
        self.model.deliver(index, True)
        self.model.hand_on(index, True)
        self.model.execute(index)
        self.model.answer(index, False)
        self.model.deliver(index, False)

    @stateful.rule(entry=ENTRY, agent=AGENT)
    def connect(self, entry, agent):
        self.model.connect(entry, agent)
        self.model.report(entry, agent)

    @fault(entry=ENTRY, agents=st.sets(AGENT, min_size=1))
    def move_what_one_side_selects(self, entry, agents):
        self.model.entries[entry].selected = agents

    @fault(agent=AGENT, dies=st.booleans())
    def replace_an_agent(self, agent, dies):
        if dies:
            self.model.crash_agent(agent)
        else:
            self.model.pause(self.model.agents[agent])
        self.model.start_agent(agent, DOMAINS[agent[1]])

    @fault(entry=ENTRY)
    def restart_an_entry(self, entry):
        self.model.crash_entry(entry)
        self.model.start_entry(entry, DOMAINS[entry[1]])

    @fault(index=INDEX)
    def pause(self, index):
        processes = [*self.model.entries.values(), *self.model.agents.values()]
        self.model.pause(processes[index % len(processes)])

    @stateful.rule(noticed=st.booleans())
    def wake_all(self, noticed):
        model = self.model
        for process in [*model.entries.values(), *model.agents.values()]:
            model.wake(process, noticed)
        for process in model.earlier:
            model.wake(process, noticed)

    @fault(agent=AGENT)
    def leave(self, agent):
        self.model.leave(agent)
        self.model.finish_leaving(agent)

    @stateful.rule(duration_ms=st.sampled_from((1.0, 60.0, 200.0, 1_500.0, 4_000.0)))
    def move_the_clock(self, duration_ms):
        self.model.advance(duration_ms)
        for entry in self.model.entries:
            self.model.tick(entry)

    def teardown(self):
        self.model.settle()
        self.model.count_unknown()
        REACH.update(self.model.reach)


class OrderMachineTests(testtools.TestCase):
    def test_state_machine_finds_no_violated_invariant(self):
        REACH.clear()
        stateful.run_state_machine_as_test(
            OrderMachine,
            settings=settings(max_examples=200, stateful_step_count=80),
        )
        self.assertEqual([], [name for name in MUST_REACH if REACH[name] < 10], REACH)


class SoakTests(testtools.TestCase):
    def test_long_runs_violate_no_invariant_of_requests(self):
        for seed in (1, 2, 3, 4, 5, 6):
            reach = order_soak.run_orders(seed, 40_000)
            self.assertEqual([], order_soak.missing(reach), f"seed {seed}")
            self.assertGreater(reach["orders done"], 500)

    def test_the_same_seed_gives_the_same_run(self):
        first = order_soak.run_orders(7, 3_000)
        self.assertEqual(first, order_soak.run_orders(7, 3_000))
