import dataclasses
import random

import testtools

from dotterelplank.gateway import admission, pacing
from dotterelplank.gateway.directory import Change, Directory, Endpoint, GroupPlace
from dotterelplank.gateway.loads import Loads
from dotterelplank.gateway.pacing import Paces

RANKS, SLOTS = 24, 5
GAP_MS, GOAL_MS = 150.0, 500.0
EVENTS = 19
FIRST_PASSES = 2
SHIFT_MS, UNEVEN_MS = 2_100.0, 700.0
BASE_MS, CALL_MS = 25.0, 0.6
"""Length of a pass without calls, and what each call of an even load adds."""
UNEVEN, EVEN = 2.5, 1.2


@dataclasses.dataclass
class _Stream:
    endpoint: str
    arrived_ms: float
    passes: int = 0
    is_late: bool = False


class _Group:
    """One entry's calls at a group whose load is uneven after each shift of demand."""

    def __init__(self, paces):
        self.paces, self.loads, self.directory = paces, Loads(), Directory()
        self.random = random.Random(4)
        self.streams, self.on_time, self.late, self.refused = [], 0, 0, 0
        for rank in range(RANKS):
            place = GroupPlace("g", 1, rank, RANKS, True)
            one = Endpoint(f"e{rank}", "s", "ip", 1, "a", SLOTS, False, 1, place)
            self.directory.apply(0.0, Change(one.id, 1, one))

    def taken_share(self):
        return pacing.taken_share(self.directory.of_service("s"), self.loads)

    def play(self, a_second, until_ms):
        now_ms = due_ms = 0.0
        while now_ms < until_ms:
            uneven = UNEVEN if now_ms % SHIFT_MS < UNEVEN_MS else EVEN
            pass_ms = BASE_MS + CALL_MS * uneven * len(self.streams)
            now_ms += pass_ms
            while due_ms < now_ms:
                self._arrive(due_ms)
                due_ms += self.random.expovariate(a_second / 1000)
            for stream in list(self.streams):
                self._step(now_ms, pass_ms, stream)

    def _arrive(self, now_ms):
        ask = admission.Ask("s", frozenset(), self.random.random())
        answer = admission.choose(
            now_ms, ask, self.directory, self.loads, "a", 0, self.paces
        )
        if not isinstance(answer, admission.Admit):
            self.refused += 1
            return
        self.loads.begin(answer.endpoint.id)
        self.streams.append(_Stream(answer.endpoint.id, now_ms))

    def _step(self, now_ms, pass_ms, stream):
        stream.passes += 1
        if stream.passes == FIRST_PASSES:
            stream.is_late = now_ms - stream.arrived_ms > GOAL_MS
        elif stream.passes > FIRST_PASSES:
            stream.is_late = stream.is_late or pass_ms > GAP_MS
            self.paces.hear(now_ms, "g", pass_ms, GAP_MS, self.taken_share)
        if stream.passes == FIRST_PASSES + EVENTS:
            self.streams.remove(stream)
            self.loads.end(stream.endpoint)
            self.late += stream.is_late
            self.on_time += not stream.is_late


class PacingTests(testtools.TestCase):
    """The load: more calls than a group serves in time, whose demand shifts."""

    def _play(self, paces, a_second):
        group = _Group(paces)
        group.play(a_second, 40_000.0)
        return group

    def test_most_calls_of_an_overloaded_group_are_served_on_time(self):
        class Unbounded(Paces):
            def share(self, group):
                return 1.0

        before, after = (self._play(paces, 60.0) for paces in (Unbounded(), Paces()))
        self.assertGreater(before.late, before.on_time)
        self.assertGreater(after.on_time, 2 * before.on_time)
        self.assertGreater(after.on_time, 4 * after.late)

    def test_a_group_that_keeps_up_refuses_nobody(self):
        group = self._play(Paces(), 20.0)
        self.assertEqual((0, 0), (group.refused, group.late))

    def test_long_passes_bound_the_places_and_short_ones_give_them_back(self):
        paces = Paces()
        now_ms = 0.0
        shares = []
        for pass_ms in [100.0, 300.0, 300.0] + [60.0] * 400:
            now_ms += pass_ms
            paces.hear(now_ms, "g", pass_ms, GAP_MS, lambda: paces.share("g"))
            shares.append(paces.share("g"))
        self.assertEqual(pacing.LEAST_SHARE, min(shares))
        self.assertEqual(1.0, shares[-1])

    def test_a_pass_that_is_held_for_a_change_or_a_lost_rank_bounds_nothing(self):
        paces = Paces()
        for now_ms, pass_ms in ((100.0, 60.0), (4_100.0, 4_000.0), (4_200.0, 60.0)):
            paces.hear(now_ms, "g", pass_ms, GAP_MS, lambda: 1.0)
        self.assertEqual(1.0, paces.share("g"))

    def test_a_call_that_would_be_late_anyway_isnt_kept_waiting(self):
        longest_ms = admission.longest_wait_ms(GOAL_MS, 8_000.0, 300.0)
        self.assertLessEqual(longest_ms + 300.0, GOAL_MS)
        self.assertEqual(0.0, admission.longest_wait_ms(GOAL_MS, 8_000.0, 700.0))
