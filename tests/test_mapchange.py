import testtools

from dotterelplank import events
from dotterelplank.errors import InvariantError
from dotterelplank.maps.ballots import Ballot, Change, EncodedMap
from dotterelplank.maps.change import decide
from dotterelplank.maps.join import choose_install
from dotterelplank.maps.messages import (
    Answer,
    Ask,
    EngineView,
    Envelope,
    Hello,
    InstallOrder,
    Order,
    OrderDone,
    OrderUnanswered,
    Outcome,
    Participant,
    Probe,
    ProposalClosed,
    ProposalResult,
    Propose,
    Read,
    ReadDone,
    Ready,
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
from dotterelplank.maps.state import new_state
from dotterelplank.maps.tally import decide_outcome
from dotterelplank.models import soak
from dotterelplank.models.mapchange_model import Model

POLICY = soak.POLICY
MAP = EncodedMap(1, b"one")
BALLOT = Ballot(5, "b", 10)
CHANGE = Change(BALLOT, EncodedMap(2, b"two"), 100)
IDLE = EngineView(50, MAP, None, None, 0)
STAGED = EngineView(50, MAP, CHANGE, None, 0)
STARTED = EngineView(100, CHANGE.map, None, None, 0)
COMMITTED = EngineView(50, MAP, None, CHANGE, 0)
EMPTY = EngineView(-1, None, None, None, 0)


class AgentHarness:
    """The agent of host ``a`` in the group ``a``, ``b`` and ``c``.

    The test supplies the agent's events.
    """

    def __init__(self, view, initial=None):
        self.now_ms = 0
        self.hosts = ("a", "b", "c")
        self.state = new_state("a", self.hosts, 10, initial)
        self.wait_out_orders(view)
        self.read(view)

    def handle(self, event):
        return decide(self.now_ms, self.state, event, POLICY)

    def wait_out_orders(self, view):
        """Answer reads with ``view`` until no earlier order can take effect."""
        commands = []
        while self.state.order_wait is not None:
            self.now_ms += POLICY.poll_ms
            commands += self.read(view)
        return commands

    def read(self, view):
        self.handle(Tick())
        return self.handle(ReadDone(self.state.read_id, view))

    def receive(self, host, message, incarnation=10):
        return self.handle(Received(Envelope(host, incarnation, message)))

    def receive_statuses(self, view=IDLE, incarnation=10):
        """Deliver the statuses of both other agents, and return the commands."""
        participants = [Participant("a", self.state.incarnation)]
        commands = []
        for host in "bc":
            commands += self.receive(
                host, Status(tuple(participants), view), incarnation
            )
        return commands

    def wait(self, duration_ms):
        self.now_ms += duration_ms
        return self.handle(Tick())


def joined_agent(view):
    agent = AgentHarness(view)
    agent.receive_statuses()
    return agent


def agent_with_staged_change(view):
    """Return an agent that has staged the change and then read ``view``."""
    agent = joined_agent(IDLE)
    agent.receive("b", Stage(CHANGE, 1, 10))
    agent.handle(OrderDone(agent.state.order_id))
    agent.read(view)
    return agent


def sent(commands, kind):
    return [
        command.envelope.message
        for command in commands
        if isinstance(command, Send) and isinstance(command.envelope.message, kind)
    ]


def actions(commands):
    return [command.action for command in commands if isinstance(command, Order)]


class VerdictTests(testtools.TestCase):
    def test_one_no_aborts_before_others_have_voted(self):
        self.assertIs(False, decide_outcome({"b": Answer.NO}, ("b", "c"), BALLOT))

    def test_majority_of_yes_votes_is_undecided(self):
        self.assertIsNone(decide_outcome({"b": Answer.YES}, ("b", "c"), BALLOT))

    def test_one_commit_commits_before_others_have_voted(self):
        self.assertIs(True, decide_outcome({"b": Answer.COMMITTED}, ("b", "c"), BALLOT))

    def test_no_and_commit_violate_an_invariant(self):
        answers = {"b": Answer.NO, "c": Answer.COMMITTED}
        self.assertRaises(InvariantError, decide_outcome, answers, ("b", "c"), BALLOT)


class JoinTests(testtools.TestCase):
    def test_replaced_engine_installs_the_oldest_map_and_the_change(self):
        expected = InstallOrder(MAP, CHANGE, True)
        self.assertEqual(expected, choose_install([STARTED, COMMITTED, EMPTY], None))
        self.assertEqual(expected, choose_install([STARTED, STAGED], None))

    def test_replaced_engine_stages_what_all_others_have_staged(self):
        expected = InstallOrder(MAP, CHANGE, False)
        self.assertEqual(expected, choose_install([STAGED, EMPTY, STAGED], None))

    def test_replaced_engine_does_not_stage_what_some_other_has_not_staged(self):
        self.assertEqual(InstallOrder(MAP), choose_install([STAGED, IDLE], None))

    def test_two_maps_of_one_version_violate_an_invariant(self):
        other = EngineView(50, EncodedMap(1, b"other"), None, None, 0)
        self.assertRaises(InvariantError, choose_install, [IDLE, other], None)

    def test_status_of_an_earlier_incarnation_is_discarded(self):
        agent = AgentHarness(EMPTY)
        participants = (Participant("a", 10),)
        agent.receive("b", Status(participants, IDLE))
        agent.receive("b", Hello((Participant("b", 11),)), 11)
        commands = agent.receive("c", Status(participants, EMPTY))
        self.assertEqual([], actions(commands))

    def test_first_map_waits_until_all_know_the_same_incarnations(self):
        agent = AgentHarness(EMPTY, b"first")
        self.assertEqual([], actions(agent.receive_statuses(EMPTY)))
        participants = (
            Participant("a", 10),
            Participant("b", 10),
            Participant("c", 10),
        )
        agent.receive("b", Status(participants, EMPTY))
        commands = agent.receive("c", Status(participants, EMPTY))
        self.assertEqual([InstallOrder(EncodedMap(0, b"first"))], actions(commands))


class VoteTests(testtools.TestCase):
    def test_agent_votes_yes_only_after_it_has_read_the_staged_change(self):
        agent = joined_agent(IDLE)
        commands = agent.receive("b", Stage(CHANGE, 1, 10))
        self.assertEqual([StageOrder(CHANGE)], actions(commands))
        commands = agent.handle(OrderDone(agent.state.order_id))
        self.assertEqual([], sent(commands, Vote))
        commands = agent.handle(ReadDone(agent.state.read_id, STAGED))
        self.assertEqual([Vote(BALLOT, Answer.YES, BALLOT)], sent(commands, Vote))

    def test_agent_never_stages_a_ballot_that_it_voted_no_on(self):
        agent = joined_agent(IDLE)
        commands = agent.receive("c", Ask(BALLOT, 2))
        self.assertEqual([Vote(BALLOT, Answer.NO, BALLOT)], sent(commands, Vote))
        commands = agent.receive("b", Stage(CHANGE, 1, 10))
        self.assertEqual([], actions(commands))
        self.assertEqual([Vote(BALLOT, Answer.NO, BALLOT)], sent(commands, Vote))

    def test_agent_votes_no_on_a_change_from_another_version(self):
        agent = joined_agent(IDLE)
        commands = agent.receive("b", Stage(CHANGE, 0, 10))
        self.assertEqual(Answer.NO, sent(commands, Vote)[0].answer)

    def test_agent_votes_no_on_a_ballot_for_an_earlier_incarnation(self):
        agent = joined_agent(IDLE)
        commands = agent.receive("b", Stage(CHANGE, 1, 9))
        self.assertEqual(Answer.NO, sent(commands, Vote)[0].answer)

    def test_agent_votes_no_on_a_second_ballot_while_one_is_open(self):
        agent = joined_agent(STAGED)
        second = Change(Ballot(6, "c", 10), EncodedMap(2, b"other"), 100)
        commands = agent.receive("c", Stage(second, 1, 10))
        self.assertEqual(Answer.NO, sent(commands, Vote)[0].answer)

    def test_agent_does_not_vote_while_its_engine_has_no_map(self):
        agent = AgentHarness(EMPTY)
        self.assertEqual([], sent(agent.receive("b", Ask(BALLOT, 2)), Vote))

    def test_staged_ballot_that_was_voted_down_violates_an_invariant(self):
        agent = joined_agent(IDLE)
        agent.receive("c", Ask(BALLOT, 2))
        agent.now_ms += POLICY.poll_ms
        self.assertRaises(InvariantError, agent.read, STAGED)


class ResolveTests(testtools.TestCase):
    def test_agent_asks_all_after_the_response_timeout(self):
        agent = agent_with_staged_change(STAGED)
        self.assertEqual([], sent(agent.wait(POLICY.retry_ms), Ask))
        self.assertEqual(2, len(sent(agent.wait(POLICY.response_timeout_ms), Ask)))

    def test_agent_asks_at_once_when_the_hold_step_is_near(self):
        agent = agent_with_staged_change(EngineView(99, MAP, CHANGE, None, 0))
        self.assertEqual(2, len(sent(agent.wait(POLICY.retry_ms), Ask)))

    def test_new_agent_asks_at_once_about_a_staged_change(self):
        agent = AgentHarness(STAGED)
        agent.state = new_state("a", agent.hosts, 11)
        agent.read(STAGED)
        self.assertEqual(2, len(sent(agent.receive_statuses(), Ask)))

    def test_unanimity_commits_and_the_outcome_is_sent_once_applied(self):
        agent = joined_agent(STAGED)
        agent.receive("b", Vote(BALLOT, Answer.YES))
        commands = agent.receive("c", Vote(BALLOT, Answer.YES))
        self.assertEqual([ResolveOrder(BALLOT, True)], actions(commands))
        self.assertEqual([], sent(commands, Outcome))
        agent.handle(OrderDone(agent.state.order_id))
        commands = agent.handle(ReadDone(agent.state.read_id, COMMITTED))
        self.assertEqual([Outcome(BALLOT, True)] * 2, sent(commands, Outcome))

    def test_outcome_is_not_sent_before_it_is_applied(self):
        agent = joined_agent(STAGED)
        agent.receive("b", Vote(BALLOT, Answer.COMMITTED))
        agent.handle(OrderUnanswered(agent.state.order_id))
        commands = agent.read(STAGED)
        self.assertEqual([], sent(commands, Outcome))
        self.assertEqual([ResolveOrder(BALLOT, True)], actions(commands))

    def test_vote_of_an_older_incarnation_is_not_counted(self):
        agent = joined_agent(STAGED)
        agent.receive("c", Hello((Participant("c", 11),)), 11)
        commands = agent.receive("c", Vote(BALLOT, Answer.NO), 10)
        self.assertEqual([], actions(commands))

    def test_recorded_vote_is_discarded_with_its_incarnation(self):
        agent = joined_agent(STAGED)
        agent.now_ms += POLICY.max_view_age_ms + 1
        agent.receive("c", Vote(BALLOT, Answer.NO))
        agent.receive("c", Hello((Participant("c", 11),)), 11)
        self.assertEqual([], actions(agent.read(STAGED)))

    def test_restarted_agent_ignores_outcomes_before_it_has_joined(self):
        agent = AgentHarness(STAGED)
        agent.receive("b", Outcome(BALLOT, False), 9)
        self.assertEqual([], actions(agent.receive_statuses(STAGED)))

    def test_status_for_an_earlier_incarnation_is_ignored(self):
        agent = joined_agent(IDLE)
        agent.now_ms += POLICY.poll_ms
        agent.read(EMPTY)
        for host in "bc":
            commands = agent.receive(host, Status((Participant("a", 10),), IDLE))
            self.assertEqual([], actions(commands))
        self.assertEqual([InstallOrder(MAP)], actions(agent.receive_statuses(IDLE)))

    def test_replaced_engine_begins_a_new_incarnation(self):
        agent = joined_agent(IDLE)
        agent.now_ms += POLICY.poll_ms
        hellos = sent(agent.read(EMPTY), Hello)
        self.assertEqual(
            [Participant("a", 11)] * 2, [hello.participants[0] for hello in hellos]
        )


class OrderTests(testtools.TestCase):
    def test_new_agent_sends_nothing_until_earlier_orders_expire(self):
        agent = AgentHarness(IDLE)
        agent.state = new_state("a", agent.hosts, 11)
        first_ms = agent.now_ms
        commands = agent.receive("b", Ask(BALLOT, 2)) + agent.wait_out_orders(IDLE)
        self.assertEqual({Read}, {type(command) for command in commands})
        self.assertTrue(agent.now_ms - first_ms >= POLICY.order_expiry_ms)

    def test_agent_sends_nothing_until_an_unanswered_order_expires(self):
        agent = joined_agent(IDLE)
        agent.receive("b", Stage(CHANGE, 1, 10))
        agent.handle(OrderUnanswered(agent.state.order_id))
        first_ms = agent.now_ms
        commands = agent.receive("c", Ask(BALLOT, 2)) + agent.wait_out_orders(IDLE)
        self.assertEqual({Read}, {type(command) for command in commands})
        self.assertTrue(agent.now_ms - first_ms >= POLICY.order_expiry_ms)

    def test_new_agent_votes_at_once_on_a_staged_change(self):
        agent = AgentHarness(STAGED)
        agent.state = new_state("a", agent.hosts, 11)
        commands = agent.receive("b", Ask(BALLOT, 2)) + agent.read(STAGED)
        self.assertEqual([Vote(BALLOT, Answer.YES)], sent(commands, Vote))

    def test_new_agent_sends_no_status_while_a_change_may_be_resolved(self):
        agent = AgentHarness(STAGED)
        agent.state = new_state("a", agent.hosts, 11)
        hello = Hello((Participant("b", 12),))
        commands = agent.read(STAGED) + agent.receive("b", hello, 12)
        self.assertEqual([], sent(commands, Status))
        self.assertEqual(1, len(sent(agent.wait_out_orders(STAGED), Status)))

    def test_stalled_engine_restarts_the_order_wait(self):
        agent = joined_agent(IDLE)
        agent.receive("b", Stage(CHANGE, 1, 10))
        agent.handle(OrderUnanswered(agent.state.order_id))
        agent.wait(POLICY.poll_ms)
        agent.read(IDLE)
        agent.wait(POLICY.order_expiry_ms)
        agent.read(IDLE)
        self.assertIsNotNone(agent.state.order_wait)

    def test_read_that_was_open_at_an_order_is_ignored(self):
        agent = joined_agent(IDLE)
        agent.wait(POLICY.poll_ms)
        open_before = agent.state.read_id
        agent.receive("b", Stage(CHANGE, 1, 10))
        agent.receive("c", Ask(BALLOT, 2))
        commands = agent.handle(ReadDone(open_before, IDLE))
        self.assertEqual([], sent(commands, Vote))

    def test_fencing_tokens_are_higher_than_those_of_the_predecessor(self):
        seen = EngineView(50, MAP, None, None, 77)
        agent = joined_agent(seen)
        commands = agent.receive("b", Stage(CHANGE, 1, agent.state.incarnation))
        fences = [order.fence for order in commands if isinstance(order, Order)]
        self.assertEqual([78], fences)

    def test_agent_stops_when_another_gives_orders_to_its_engine(self):
        agent = joined_agent(IDLE)
        agent.now_ms += POLICY.poll_ms
        commands = agent.read(EngineView(50, MAP, None, None, 500))
        self.assertIn(Stop(), commands)
        self.assertEqual([], agent.receive("b", Ask(BALLOT, 2)))

    def test_delayed_order_of_the_predecessor_does_not_stop_the_agent(self):
        agent = joined_agent(STAGED)
        agent.now_ms += POLICY.poll_ms
        commands = agent.read(EngineView(50, MAP, None, CHANGE, 9))
        self.assertNotIn(Stop(), commands)

    def test_resumed_agent_reads_its_engine_before_it_votes(self):
        agent = joined_agent(IDLE)
        agent.now_ms += POLICY.max_view_age_ms + 1
        commands = agent.receive("b", Ask(BALLOT, 2))
        self.assertEqual([Read], [type(command) for command in commands])

    def test_clock_set_back_raises_the_incarnation(self):
        agent = AgentHarness(IDLE)
        commands = agent.receive("b", Stale(10, 30))
        self.assertEqual(31, agent.state.incarnation)
        reported = [item.event for item in commands if isinstance(item, Report)]
        self.assertEqual([events.INCARNATION_RAISED], reported)
        self.assertEqual(2, len(sent(commands, Hello)))

    def test_two_clocks_set_back_are_both_noticed(self):
        agent = AgentHarness(IDLE)
        agent.receive("b", Hello((Participant("b", 40),)), 40)
        agent.receive("b", Stale(10, 30), 20)
        self.assertEqual(31, agent.state.incarnation)

    def test_delayed_message_of_the_predecessor_raises_no_incarnation(self):
        agent = joined_agent(IDLE)
        agent.receive("b", Stale(9, 10))
        self.assertEqual(10, agent.state.incarnation)

    def test_older_incarnation_receives_the_higher_one(self):
        agent = joined_agent(IDLE)
        for message in (Hello((Participant("b", 9),)), Ask(BALLOT, 2)):
            commands = agent.receive("b", message, 9)
            self.assertEqual([Stale(9, 10)], sent(commands, Stale))


class GroupHarness:
    """A simulated group of agents and engines.

    The test chooses which messages are delivered.
    """

    def __init__(self, size=3):
        self.model = Model(size, False, POLICY)
        self.model.settle()
        self.run_rounds()
        self.wait(POLICY.poll_ms)

    def run_rounds(self):
        for _ in range(6):
            self.model.round()

    def run_without_messages(self):
        """Execute orders, reads and ticks without delivering messages."""
        for _ in range(3):
            for _ in range(len(self.model.orders)):
                self.model.land(0)
            for _ in range(2 * len(self.model.reads)):
                self.model.read(0)
            for host in self.model.hosts:
                self.model.tick(host)

    def wait(self, duration_ms):
        self.model.advance(duration_ms)
        self.run_without_messages()

    def wait_out_orders(self):
        """Advance time until orders of earlier agents can no longer take effect."""
        for _ in range(POLICY.order_expiry_ms // POLICY.poll_ms + 2):
            self.wait(POLICY.poll_ms)

    def hold(self, kind, *hosts):
        """Withhold the messages of type ``kind`` to ``hosts``."""
        for index in reversed(range(len(self.model.messages))):
            entry = self.model.messages[index]
            if isinstance(entry.envelope.message, kind) and entry.host in hosts:
                self.model.hold(index)

    def propose(self, host):
        """Propose a change at ``host``, which stages it when all agents are ready."""
        self.model.propose(host)
        self.run_without_messages()
        for other in self.model.hosts:
            if other != host:
                self.deliver(Probe, host, other)
                self.deliver(Ready, other, host)

    def find(self, kind, source, host):
        for index, entry in enumerate(self.model.messages):
            ends = (entry.envelope.host, entry.host)
            if ends == (source, host) and isinstance(entry.envelope.message, kind):
                return index
        raise AssertionError(f"no {kind.__name__} from {source} to {host}")

    def deliver(self, kind, source, host):
        self.model.deliver(self.find(kind, source, host))
        self.run_without_messages()

    def exchange_hellos(self, joining_host, *hosts):
        for host in hosts:
            self.deliver(Hello, joining_host, host)
            self.deliver(Status, host, joining_host)

    def versions(self):
        return {engine.view().version for engine in self.model.engines.values()}


class GroupTests(testtools.TestCase):
    def test_change_takes_five_messages_for_each_other_agent(self):
        for size in (8, 32):
            harness = GroupHarness(size)
            before = dict(harness.model.reach)
            harness.model.propose("h0")
            harness.run_rounds()
            kinds = ("Probe", "Ready", "Stage", "Vote", "Outcome", "Ask", "Hello")
            reach = harness.model.reach
            counts = [reach[kind] - before.get(kind, 0) for kind in kinds]
            self.assertEqual([size - 1] * 5 + [0] * 2, counts)
            self.assertEqual({1}, harness.versions())

    def test_decided_change_survives_the_loss_of_the_only_engine_with_it(self):
        harness = GroupHarness()
        harness.propose("h0")
        for host in ("h1", "h2"):
            harness.deliver(Stage, "h0", host)
            harness.deliver(Vote, host, "h0")
        self.assertEqual(1, harness.model.reach["commits"])
        harness.model.messages.clear()
        harness.model.replace("h0")
        harness.model.settle()
        self.assertEqual({1}, harness.versions())

    def test_restarted_voter_does_not_reverse_a_no_of_its_predecessor(self):
        harness = GroupHarness()
        model = harness.model
        harness.propose("h0")
        harness.hold(Stage, "h2")
        harness.deliver(Stage, "h0", "h1")
        harness.deliver(Vote, "h1", "h0")
        harness.wait(POLICY.response_timeout_ms + POLICY.stagger_ms)
        harness.deliver(Ask, "h1", "h2")
        harness.deliver(Vote, "h2", "h1")
        self.assertEqual(1, model.reach["aborts"])
        model.messages.clear()
        model.crash("h2")
        model.start("h2")
        harness.wait_out_orders()
        harness.exchange_hellos("h2", "h0", "h1")
        model.release(0)
        model.settle()
        self.assertEqual({0}, harness.versions())

    def test_vote_of_a_lost_engine_does_not_complete_unanimity(self):
        harness = GroupHarness()
        model = harness.model
        harness.propose("h0")
        harness.hold(Stage, "h1")
        harness.deliver(Stage, "h0", "h2")
        harness.deliver(Vote, "h2", "h0")
        model.kill_engine("h2")
        harness.wait(POLICY.poll_ms)
        harness.exchange_hellos("h2", "h0", "h1")
        harness.hold(Stage, "h1")
        model.release(0)
        harness.run_without_messages()
        harness.deliver(Vote, "h1", "h0")
        model.settle()
        self.assertEqual({0}, harness.versions())

    def test_restarted_agent_ignores_the_outcome_of_a_replaced_agent(self):
        harness = GroupHarness()
        model = harness.model
        model.block(Outcome, "h1")
        model.block(Vote, "h1")
        harness.propose("h0")
        harness.deliver(Stage, "h0", "h1")
        harness.deliver(Vote, "h1", "h0")
        harness.wait(POLICY.response_timeout_ms)
        harness.deliver(Ask, "h0", "h2")
        harness.deliver(Vote, "h2", "h0")
        self.assertEqual(1, model.reach["aborts"])
        model.deliver(harness.find(Outcome, "h0", "h1"))
        model.messages.clear()
        model.replace("h0")
        model.replace("h2")
        harness.wait_out_orders()
        for _ in range(20):
            harness.wait(POLICY.retry_ms)
            harness.run_rounds()
        self.assertEqual(2, model.reach["changes joined"])
        self.assertEqual(1, model.engines["h0"].view().version)
        self.assertIsNotNone(model.engines["h1"].staged)
        model.blocked.clear()
        model.crash("h1")
        model.start("h1")
        harness.wait_out_orders()
        model.release(0)
        model.held.clear()
        model.settle()
        self.assertEqual({1}, harness.versions())

    def test_replaced_engine_joins_the_last_step_with_the_older_map(self):
        harness = GroupHarness()
        model = harness.model
        harness.propose("h0")
        for host in ("h1", "h2"):
            harness.deliver(Stage, "h0", host)
            harness.deliver(Vote, host, "h0")
        for host in ("h1", "h2"):
            harness.deliver(Outcome, "h0", host)
        last = model.engines["h0"].committed.hold_step - 1
        while min(engine.step for engine in model.engines.values()) < last:
            for host in model.hosts:
                if model.engines[host].step < last:
                    model.begin(host)
        model.begin("h2")
        model.kill_engine("h0")
        harness.wait(POLICY.poll_ms)
        harness.exchange_hellos("h0", "h1", "h2")
        model.kill_engine("h2")
        model.settle()
        self.assertEqual({1}, harness.versions())

    def test_nothing_is_staged_while_an_agent_is_dead(self):
        harness = GroupHarness()
        harness.model.crash("h2")
        harness.model.propose("h0")
        for _ in range(POLICY.response_timeout_ms // POLICY.poll_ms + 1):
            harness.run_rounds()
            harness.wait(POLICY.poll_ms)
        self.assertEqual(1, harness.model.reach["proposals refused"])
        self.assertEqual(0, harness.model.reach["Stage"])

    def test_two_proposals_at_once_leave_one_map(self):
        harness = GroupHarness()
        harness.model.propose("h0")
        harness.model.propose("h2")
        harness.model.settle()
        self.assertEqual(1, len(harness.versions()))

    def test_steps_continue_while_every_agent_is_dead(self):
        harness = GroupHarness()
        for host in harness.model.hosts:
            harness.model.crash(host)
        before = harness.model.reach["steps"]
        harness.run_rounds()
        self.assertEqual(before + 18, harness.model.reach["steps"])

    def test_proposal_from_an_old_version_is_refused(self):
        agent = joined_agent(IDLE)
        commands = agent.handle(Propose(0, b"late"))
        self.assertEqual([ProposalClosed(None, ProposalResult.REFUSED)], commands)
