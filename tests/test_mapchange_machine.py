import collections

import testtools
from hypothesis import settings, stateful, strategies as st

from dotterelplank.models import soak
from dotterelplank.models.mapchange_model import Model

INDEX = st.integers(0, 63)
MAX_FAULTS = 4
REACHED_COUNTS = collections.Counter()
REQUIRED_SITUATIONS = (
    "maps changed",
    "aborts",
    "proposals refused",
    "hosts replaced",
    "late orders",
    "late orders of a dead agent",
    "changes joined",
    "settled",
)


def fault(**strategies):
    """Return a decorator that makes a fault a rule of the state machine.

    At most ``MAX_FAULTS`` faults are injected between two repairs.
    """

    def decorate(function):
        def rule(self, **arguments):
            self.faults += 1
            function(self, **arguments)

        rule.__name__ = function.__name__
        guard = stateful.precondition(lambda self: self.faults < MAX_FAULTS)
        return guard(stateful.rule(**strategies)(rule))

    return decorate


class MapChangeMachine(stateful.RuleBasedStateMachine):
    """Injects faults in an order that Hypothesis chooses.

    At the end the group is repaired and must settle.
    """

    @stateful.initialize(size=st.integers(2, 4), fences=st.booleans())
    def build(self, size, fences):
        self.faults = 0
        self.model = Model(size, fences, soak.POLICY)
        self.model.settle()

    def host(self, index):
        return self.model.hosts[index % len(self.model.hosts)]

    @stateful.rule(index=INDEX)
    def propose(self, index):
        self.model.propose(self.host(index))

    @stateful.rule(index=INDEX)
    def propose_two_at_once(self, index):
        self.model.propose(self.host(index))
        self.model.propose(self.host(index + 1))

    @stateful.rule(index=INDEX)
    def deliver_in_any_order(self, index):
        self.model.deliver(index)

    @stateful.rule(index=INDEX)
    def duplicate(self, index):
        self.model.deliver(index, keep=True)

    @stateful.rule(index=INDEX)
    def drop(self, index):
        self.model.drop(index)

    @fault(left=INDEX, right=INDEX)
    def cut(self, left, right):
        if self.host(left) != self.host(right):
            self.model.cut(self.host(left), self.host(right))

    @stateful.rule()
    def heal(self):
        self.model.heal()

    @stateful.rule()
    def mend(self):
        self.faults = 0
        self.model.mend()

    @fault(index=INDEX)
    def crash(self, index):
        self.model.crash(self.host(index))

    @fault(index=INDEX)
    def crash_with_an_order_open(self, index):
        if self.model.orders:
            order = self.model.orders[index % len(self.model.orders)]
            self.model.crash(order.host)

    @stateful.rule(index=INDEX)
    def restart(self, index):
        if self.model.agents[self.host(index)] is None:
            self.model.start(self.host(index))

    @fault(index=INDEX)
    def replace(self, index):
        self.model.replace(self.host(index))

    @fault(index=INDEX)
    def kill_engine(self, index):
        self.model.kill_engine(self.host(index))

    @fault(index=INDEX)
    def pause(self, index):
        self.model.pause(self.host(index))

    @stateful.rule(index=INDEX)
    def wake(self, index):
        self.model.wake(self.host(index))

    @fault(index=INDEX)
    def stall(self, index):
        self.model.stall(self.host(index))

    @stateful.rule(index=INDEX)
    def unstall(self, index):
        self.model.unstall(self.host(index))

    @stateful.rule(index=INDEX)
    def run_a_superseded_process(self, index):
        self.model.stir(index)

    @stateful.rule(index=INDEX)
    def apply_an_order(self, index):
        self.model.land(index)

    @stateful.rule(index=INDEX)
    def time_out_an_order(self, index):
        self.model.lose_order(index)

    @stateful.rule(index=INDEX)
    def read(self, index):
        self.model.read(index)

    @stateful.rule(duration_ms=st.sampled_from((1, 25, 60, 250, 600)))
    def advance_clock(self, duration_ms):
        self.model.advance(duration_ms)
        for host in self.model.hosts:
            self.model.tick(host)

    @stateful.rule(rounds=st.integers(1, 4))
    def run_rounds(self, rounds):
        for _ in range(rounds):
            self.model.round()

    @stateful.rule(rounds=st.integers(1, 12))
    def run_rounds_with_time(self, rounds):
        for _ in range(rounds):
            self.advance_clock(soak.POLICY.retry_ms)
            self.model.round()

    @stateful.rule(index=INDEX)
    def propose_until_it_is_staged(self, index):
        self.advance_clock(soak.POLICY.poll_ms)
        for _ in range(2 * len(self.model.reads)):
            self.model.read(0)
        self.model.propose(self.host(index))
        self.run_rounds(2)

    def teardown(self):
        if hasattr(self, "model"):
            self.model.settle()
            REACHED_COUNTS.update(self.model.reach)


class MapChangeMachineTests(testtools.TestCase):
    def test_random_faults_violate_no_invariant(self):
        REACHED_COUNTS.clear()
        stateful.run_state_machine_as_test(
            MapChangeMachine,
            settings=settings(max_examples=200, stateful_step_count=80),
        )
        self.assertEqual(
            [], [name for name in REQUIRED_SITUATIONS if not REACHED_COUNTS[name]]
        )


class SoakTests(testtools.TestCase):
    def test_long_runs_keep_one_map_in_every_step(self):
        for seed in (1, 2, 3, 4, 5, 6):
            reach = soak.run_map_changes(seed, 60_000)
            self.assertEqual([], soak.missing(reach), f"seed {seed}")

    def test_runs_with_the_same_seed_are_equal(self):
        first = soak.run_map_changes(7, 2_000)
        self.assertEqual(first, soak.run_map_changes(7, 2_000))
