"""Planning of expert maps by the agents of a group, on a virtual clock."""

import dataclasses

import testtools

from dotterelplank import events
from dotterelplank.config.planned_maps import Planning
from dotterelplank.links.messages import ExpertLoad, RankSample, SampleTaken
from dotterelplank.maps import orders as maporders, planner as mapplanner
from dotterelplank.maps.messages import Propose
from dotterelplank.maps.orders import PublishedMap
from dotterelplank.maps.planner_state import (
    Compute,
    Load,
    Loaded,
    MapChanged,
    Received,
    Report,
    Sampled,
    Send,
    Tick,
    policy_of,
)

HOSTS = ("rank-1", "rank-2", "rank-3")
FIRST = {"experts_by_rank": [[0, 1], [2, 3], [4, 5]]}
PLANNING = Planning(6, 1, 4, 1_000_000, 1e9, 5.0, 5_000.0)
STORED = dataclasses.replace(PLANNING, store_url="http://127.0.0.1:1")
POLICY = policy_of(PLANNING, 0.8, 3, maporders.digest_of(FIRST))
EVEN = (1.0,) * 6
SKEWED = (6.0, 1.0, 1.0, 1.0, 1.0, 1.0)
TOKENS_PER_STEP = 6_000
TOKEN_MS = 0.01
STEPS_PER_S = 50


class Group:
    """The agents of one group; a message arrives at once unless its link is cut."""

    def __init__(self, planning=PLANNING):
        self.now_ms = 0.0
        self.policy = dataclasses.replace(POLICY, planning=planning)
        self.loads = []
        self.states = {host: mapplanner.new_state(0.0, host, HOSTS) for host in HOSTS}
        self.weights = EVEN
        self.cut_links = set()
        self.every_agent_plans = False
        self.proposals = []
        self.reports = []
        self.maps = []
        self.computations = []
        self.delays_computations = False
        self.put_in_use(FIRST, revision=3)

    def put_in_use(self, value, revision, origin=maporders.digest_of(FIRST)):
        self.maps.append(value)
        self.version = len(self.maps)
        self.since_step = self.step = STEPS_PER_S * int(self.now_ms / 1000)
        self.tokens = [dict.fromkeys(held, 0.0) for held in value["experts_by_rank"]]
        self.busy_ms = [0.0] * len(HOSTS)
        for host in self.states:
            published = PublishedMap(revision, origin, value)
            self.handle(host, MapChanged(self.version, published))

    def handle(self, host, event):
        commands = mapplanner.decide(self.now_ms, self.states[host], event, self.policy)
        for command in commands:
            self.execute(host, command)

    def execute(self, host, command):
        match command:
            case Send(to, message):
                if frozenset((host, to)) not in self.cut_links:
                    self.handle(to, Received(host, message))
            case Compute():
                self.computations.append((host, command))
                if not self.delays_computations:
                    self.finish_computations()
            case Load():
                self.loads.append((host, command))
            case Propose():
                self.proposals.append((host, command))
            case Report():
                self.reports.append(command.event)

    def finish_computations(self):
        pending, self.computations = self.computations, []
        for host, command in pending:
            self.handle(host, mapplanner.compute(command))

    def finish_loads(self, is_complete):
        pending, self.loads = self.loads, []
        for host, load in pending:
            self.handle(host, Loaded(load.host, load.request.plan, is_complete))

    def adopt(self):
        """Put the map of the last proposal in use, as if all agents had voted yes."""
        _, proposal = self.proposals[-1]
        published = maporders.published_map(proposal.payload)
        self.proposals.clear()
        self.put_in_use(published.value, published.revision)

    def sample(self, number):
        loads = [
            ExpertLoad(expert, int(tokens))
            for expert, tokens in self.tokens[number].items()
        ]
        return RankSample(
            self.version,
            self.since_step,
            self.step,
            self.busy_ms[number],
            tuple(loads),
        )

    def run(self, seconds):
        """Run for ``seconds``; each proposed map is in use before the next second."""
        for _ in range(seconds):
            self.run_second()
            if self.proposals:
                self.adopt()

    def run_second(self):
        self.now_ms += 1_000
        self.step += STEPS_PER_S
        for number, time_ms in enumerate(self.times_ms(count=True)):
            self.busy_ms[number] += time_ms * STEPS_PER_S
        for number, host in enumerate(HOSTS):
            self.handle(host, Sampled(self.sample(number)))
            if self.every_agent_plans:
                self.share_with_all(host, self.sample(number))
        for host in HOSTS:
            self.handle(host, Tick())

    def share_with_all(self, host, sample):
        """Give a sample to all agents, and mark all their peers as unresponsive."""
        for other in HOSTS:
            if other != host:
                self.handle(other, Received(host, sample))
        for state in self.states.values():
            state.last_seen_ms = dict.fromkeys(state.last_seen_ms, -1e9)

    def cut_off(self, host):
        self.cut_links = {frozenset((host, other)) for other in HOSTS}

    def times_ms(self, count=False):
        """Return the step time of each rank in milliseconds.

        :param count: whether to add the step's tokens to the counts of the ranks.
        """
        value = self.maps[-1]
        times = []
        for number, held in enumerate(value["experts_by_rank"]):
            shares = value.get("shares_by_rank", [[1.0] * len(held)] * 3)[number]
            total = 0.0
            for expert, share in zip(held, shares):
                part = self.weights[expert] / sum(self.weights)
                tokens = TOKENS_PER_STEP * part * share
                total += tokens
                if count:
                    self.tokens[number][expert] += tokens * STEPS_PER_S
            times.append(5.0 + TOKEN_MS * total)
        return times

    def skew(self):
        times = self.times_ms()
        return max(times) / min(times)

    def planners(self):
        return {state.planner for state in self.states.values()}


class PlannerTests(testtools.TestCase):
    def test_the_first_host_plans(self):
        group = Group()
        group.run(3)
        self.assertEqual({"rank-1"}, group.planners())

    def test_another_host_replaces_an_unresponsive_planner_until_it_returns(self):
        group = Group()
        group.run(3)
        group.cut_off("rank-1")
        group.run(7)
        self.assertEqual("rank-2", group.states["rank-2"].planner)
        self.assertEqual("rank-2", group.states["rank-3"].planner)
        group.cut_links = set()
        group.run(60)
        self.assertEqual({"rank-1"}, group.planners())

    def test_planner_without_links_plans_nothing(self):
        group = Group()
        group.weights = SKEWED
        group.cut_off("rank-1")
        group.run(30)
        # No agent receives samples of all ranks.
        self.assertEqual([FIRST], group.maps)

    def test_agent_that_reaches_the_whole_group_becomes_the_planner(self):
        group = Group()
        group.cut_links = {frozenset(("rank-1", "rank-3"))}
        group.weights = SKEWED
        group.run(60)
        self.assertLess(group.skew(), 1.1)

    def test_samples_are_answered(self):
        state = mapplanner.new_state(0.0, "rank-1", HOSTS)
        message = RankSample(1, 0, 7, 1.0, ())
        received = Received("rank-2", message)
        commands = mapplanner.decide(0.0, state, received, POLICY)
        self.assertIn(Send("rank-2", SampleTaken(7, True)), commands)


class PlanTests(testtools.TestCase):
    def test_even_load_causes_no_proposal(self):
        group = Group()
        group.run(60)
        self.assertEqual([FIRST], group.maps)

    def test_popularity_jump_leads_to_a_map_with_less_skew(self):
        group = Group()
        group.run(12)
        group.weights = SKEWED
        before = group.skew()
        group.run(40)
        self.assertGreater(before, 2.0)
        self.assertLess(group.skew(), 1.1)

    def test_proposal_contains_the_digest_of_its_published_map(self):
        group = Group()
        group.weights = SKEWED
        while not group.proposals:
            group.run_second()
        host, proposal = group.proposals[-1]
        published = maporders.published_map(proposal.payload)
        self.assertEqual(("rank-1", 1), (host, proposal.base_version))
        self.assertEqual(3, published.revision)
        self.assertEqual(maporders.digest_of(FIRST), published.planned_from)

    def test_a_plan_from_an_older_map_is_dropped(self):
        group = Group()
        group.weights = SKEWED
        group.delays_computations = True
        while not group.computations:
            group.run_second()
        other = {"experts_by_rank": [[0, 5], [1, 4], [2, 3]]}
        group.put_in_use(other, revision=3)
        group.finish_computations()
        self.assertEqual([], group.proposals)
        self.assertIn(events.PLAN_DROPPED, group.reports)

    def test_an_agent_with_an_older_configuration_plans_nothing(self):
        group = Group()
        group.put_in_use(FIRST, revision=4)
        group.weights = SKEWED
        group.run(30)
        self.assertEqual(2, len(group.maps))

    def test_no_plan_is_made_from_a_map_of_an_earlier_published_one(self):
        group = Group()
        group.put_in_use(FIRST, revision=2, origin="an earlier published map")
        group.weights = SKEWED
        group.run(30)
        self.assertEqual(2, len(group.maps))

    def test_map_of_another_size_stays_in_use(self):
        group = Group()
        group.put_in_use({"experts_by_rank": [[0], [1], [2]]}, revision=3)
        group.weights = SKEWED
        group.run(30)
        self.assertEqual(2, len(group.maps))
        self.assertIn(events.MAP_UNPLANNABLE, group.reports)

    def test_a_slot_is_emptied_under_an_interim_map_before_it_is_filled(self):
        group = Group()
        full = {"experts_by_rank": [[0, 1, 2, 3], [2, 3, 4, 5], [4, 5, 0, 2]]}
        group.put_in_use(full, revision=3)
        group.weights = (1.0, 12.0, 1.0, 1.0, 1.0, 1.0)
        before = group.skew()
        group.run(60)
        sizes = [sum(map(len, value["experts_by_rank"])) for value in group.maps[1:4]]
        self.assertEqual(12, sizes[0])
        self.assertLess(sizes[1], 12)
        self.assertEqual(12, sizes[2])
        self.assertLess(group.skew(), before)

    def test_concurrent_planners_do_not_keep_changing_the_map(self):
        group = Group()
        group.weights = SKEWED
        group.every_agent_plans = True
        group.run(60)
        settled_count = len(group.maps)
        self.assertLess(group.skew(), 1.1)
        group.run(120)
        self.assertEqual(set(HOSTS), group.planners())
        self.assertEqual(settled_count, len(group.maps))

    def test_every_agent_locks_the_experts_that_another_has_moved(self):
        group = Group()
        group.weights = SKEWED
        group.run(60)
        for state in group.states.values():
            locked = state.rebalancing_state.gained_ms[0] > 0
            self.assertEqual([True] + [False] * 5, locked.tolist())

    def test_alternating_planners_do_not_keep_changing_the_map(self):
        group = Group()
        group.weights = SKEWED
        group.run(60)
        settled_count = len(group.maps)
        for iteration in range(6):
            group.cut_links = {frozenset(HOSTS[::2])} if iteration % 2 == 0 else set()
            group.run(40)
        self.assertEqual(settled_count, len(group.maps))


class LoadTests(testtools.TestCase):
    def start(self):
        group = Group(STORED)
        group.weights = SKEWED
        while not group.loads:
            group.run_second()
        return group

    def test_every_rank_loads_its_experts_before_the_map_is_proposed(self):
        group = self.start()
        requested = {host: load.request.experts for host, load in group.loads}
        self.assertEqual({"rank-2": (0,), "rank-3": (0,)}, requested)
        group.run(3)
        self.assertEqual([FIRST], group.maps)
        group.finish_loads(is_complete=True)
        group.run(1)
        self.assertLess(group.skew(), 1.1)

    def test_failed_load_keeps_the_map(self):
        group = self.start()
        group.finish_loads(is_complete=False)
        group.run(2)
        self.assertEqual([FIRST], group.maps)
        self.assertIn(events.PLAN_DROPPED, group.reports)

    def test_lost_answer_is_sent_again(self):
        group = self.start()
        group.cut_off("rank-2")
        group.finish_loads(is_complete=True)
        group.cut_links = set()
        group.run(2)
        self.assertEqual([], group.loads)
        self.assertLess(group.skew(), 1.1)

    def test_without_a_store_only_shares_are_planned(self):
        group = Group(STORED)
        group.weights = SKEWED
        group.delays_computations = True
        while not group.computations:
            group.run_second()
        _, command = group.computations[0]
        self.assertIsNone(mapplanner.compute(command, may_move=False).decision.plan)
