"""Which agent plans a group's expert maps, and what it proposes, on a virtual clock."""

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
    InUse,
    Load,
    Loaded,
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
    """Agents of one group, whose messages arrive at once unless a host is cut off."""

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
        self.holds_computations = False
        self.put_in_use(FIRST, revision=3)

    def put_in_use(self, value, revision, origin=maporders.digest_of(FIRST)):
        self.maps.append(value)
        self.version = len(self.maps)
        self.since_step = self.step = STEPS_PER_S * int(self.now_ms / 1000)
        self.tokens = [dict.fromkeys(held, 0.0) for held in value["experts_by_rank"]]
        self.busy_ms = [0.0] * len(HOSTS)
        for host in self.states:
            published = PublishedMap(revision, origin, value)
            self.handle(host, InUse(self.version, published))

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
                if not self.holds_computations:
                    self.finish_computations()
            case Load():
                self.loads.append((host, command))
            case Propose():
                self.proposals.append((host, command))
            case Report():
                self.reports.append(command.event)

    def finish_computations(self):
        held, self.computations = self.computations, []
        for host, command in held:
            self.handle(host, mapplanner.compute(command))

    def finish_loads(self, is_complete):
        held, self.loads = self.loads, []
        for host, load in held:
            self.handle(host, Loaded(load.host, load.request.plan, is_complete))

    def adopt(self):
        """Bring the last proposal into use, as the vote of all ranks would."""
        _, proposal = self.proposals[-1]
        published = maporders.published_map(proposal.payload)
        self.proposals.clear()
        self.put_in_use(published.value, published.revision)

    def sample(self, number):
        loads = [ExpertLoad(e, int(t)) for e, t in self.tokens[number].items()]
        return RankSample(
            self.version,
            self.since_step,
            self.step,
            self.busy_ms[number],
            tuple(loads),
        )

    def run(self, seconds):
        """Let time pass; a proposal comes into use before the next second."""
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
                self.show_to_all(host, self.sample(number))
        for host in HOSTS:
            self.handle(host, Tick())

    def show_to_all(self, host, sample):
        """Let every agent have a sample, and believe that no other is heard."""
        for other in HOSTS:
            if other != host:
                self.handle(other, Received(host, sample))
        for state in self.states.values():
            state.last_seen_ms = dict.fromkeys(state.last_seen_ms, -1e9)

    def cut_off(self, host):
        self.cut_links = {frozenset((host, other)) for other in HOSTS}

    def times_ms(self, count=False):
        """Return the step time of each rank."""
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

    def test_another_host_takes_over_from_a_silent_planner_and_gives_back(self):
        group = Group()
        group.run(3)
        group.cut_off("rank-1")
        group.run(7)
        self.assertEqual("rank-2", group.states["rank-2"].planner)
        self.assertEqual("rank-2", group.states["rank-3"].planner)
        group.cut_links = set()
        group.run(60)
        self.assertEqual({"rank-1"}, group.planners())

    def test_a_planner_cut_off_plans_nothing(self):
        group = Group()
        group.weights = SKEWED
        group.cut_off("rank-1")
        group.run(30)
        # One rank's samples are missing on each side.
        self.assertEqual([FIRST], group.maps)

    def test_one_that_reaches_the_whole_group_plans_for_one_that_does_not(self):
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
    def test_even_load_brings_no_proposal(self):
        group = Group()
        group.run(60)
        self.assertEqual([FIRST], group.maps)

    def test_a_popularity_jump_brings_a_map_with_less_skew(self):
        group = Group()
        group.run(12)
        group.weights = SKEWED
        before = group.skew()
        group.run(40)
        self.assertGreater(before, 2.0)
        self.assertLess(group.skew(), 1.1)

    def test_a_proposal_names_what_it_was_planned_from(self):
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
        group.holds_computations = True
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

    def test_a_map_that_a_newer_published_one_replaces_is_not_planned_on(self):
        group = Group()
        group.put_in_use(FIRST, revision=2, origin="an earlier published map")
        group.weights = SKEWED
        group.run(30)
        self.assertEqual(2, len(group.maps))

    def test_a_map_of_another_size_is_left_as_it_is(self):
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
        sizes = [sum(map(len, one["experts_by_rank"])) for one in group.maps[1:4]]
        self.assertEqual(12, sizes[0])
        self.assertLess(sizes[1], 12)
        self.assertEqual(12, sizes[2])
        self.assertLess(group.skew(), before)

    def test_two_planners_at_once_do_not_swing_the_map(self):
        group = Group()
        group.weights = SKEWED
        group.every_agent_plans = True
        group.run(60)
        settled = len(group.maps)
        self.assertLess(group.skew(), 1.1)
        group.run(120)
        self.assertEqual(set(HOSTS), group.planners())
        self.assertEqual(settled, len(group.maps))

    def test_every_agent_locks_the_experts_that_another_has_moved(self):
        group = Group()
        group.weights = SKEWED
        group.run(60)
        for state in group.states.values():
            locked = state.rebalancing_state.gained_ms[0] > 0
            self.assertEqual([True] + [False] * 5, locked.tolist())

    def test_a_role_that_goes_to_and_fro_does_not_swing_the_map(self):
        group = Group()
        group.weights = SKEWED
        group.run(60)
        settled = len(group.maps)
        for turn in range(6):
            group.cut_links = {frozenset(HOSTS[::2])} if turn % 2 == 0 else set()
            group.run(40)
        self.assertEqual(settled, len(group.maps))


class LoadTests(testtools.TestCase):
    def start(self):
        group = Group(STORED)
        group.weights = SKEWED
        while not group.loads:
            group.run_second()
        return group

    def test_every_rank_loads_its_experts_before_the_map_is_proposed(self):
        group = self.start()
        asked = {host: load.request.experts for host, load in group.loads}
        self.assertEqual({"rank-2": (0,), "rank-3": (0,)}, asked)
        group.run(3)
        self.assertEqual([FIRST], group.maps)
        group.finish_loads(is_complete=True)
        group.run(1)
        self.assertLess(group.skew(), 1.1)

    def test_a_load_that_fails_leaves_the_map_as_it_is(self):
        group = self.start()
        group.finish_loads(is_complete=False)
        group.run(2)
        self.assertEqual([FIRST], group.maps)
        self.assertIn(events.PLAN_DROPPED, group.reports)

    def test_an_answer_that_was_lost_is_given_again(self):
        group = self.start()
        group.cut_off("rank-2")
        group.finish_loads(is_complete=True)
        group.cut_links = set()
        group.run(2)
        self.assertEqual([], group.loads)
        self.assertLess(group.skew(), 1.1)

    def test_without_a_store_only_the_split_is_planned(self):
        group = Group(STORED)
        group.weights = SKEWED
        group.holds_computations = True
        while not group.computations:
            group.run_second()
        _, command = group.computations[0]
        self.assertIsNone(mapplanner.compute(command, may_move=False).decision.plan)
