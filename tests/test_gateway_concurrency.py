import dataclasses
import random

import testtools

from dotterelplank.gateway import admission, concurrency
from dotterelplank.gateway.concurrency import ConcurrencyLimits
from dotterelplank.gateway.directory import (
    Directory,
    Endpoint,
    EndpointChange,
    GroupKey,
    GroupPlace,
)
from dotterelplank.gateway.loads import Loads
from dotterelplank.gateway.revisions import Revision

RANKS, SLOTS = 24, 5
GROUP = GroupKey("s", "g")
GAP_MS, GOAL_MS = 150.0, 500.0
EVENTS = 19
PREFILL_PASSES = 2
SHIFT_MS, HIGH_IMBALANCE_MS = 2_100.0, 700.0
BASE_MS, CALL_MS = 25.0, 0.6
"""Length of a pass without calls, and the time that each call of an even load adds."""
HIGH_IMBALANCE_RATIO, LOW_IMBALANCE_RATIO = 2.5, 1.2


@dataclasses.dataclass
class _SimulatedStream:
    endpoint: str
    arrived_ms: float
    passes: int = 0
    is_late: bool = False


class _SimulatedGroup:
    """A group that serves the calls of one entry.

    After each shift of demand, the load of its ranks is uneven and passes take longer.
    """

    def __init__(self, concurrency_limits):
        self.concurrency_limits, self.loads, self.directory = (
            concurrency_limits,
            Loads(),
            Directory(),
        )
        self.random = random.Random(4)
        self.streams, self.on_time, self.late, self.refused = [], 0, 0, 0
        for rank in range(RANKS):
            place = GroupPlace("g", 1, rank, RANKS, True)
            one = Endpoint(
                f"e{rank}", "s", f"ip-{rank}", 1, "a", SLOTS, False, 1, place
            )
            self.directory.apply(0.0, EndpointChange(one.id, Revision(1, 1), one))

    def used_share(self):
        return concurrency.used_share(self.directory.of_service("s"), self.loads)

    def run(self, calls_per_s, until_ms):
        now_ms = due_ms = 0.0
        while now_ms < until_ms:
            imbalance = (
                HIGH_IMBALANCE_RATIO
                if now_ms % SHIFT_MS < HIGH_IMBALANCE_MS
                else LOW_IMBALANCE_RATIO
            )
            pass_ms = BASE_MS + CALL_MS * imbalance * len(self.streams)
            now_ms += pass_ms
            while due_ms < now_ms:
                self._on_call(due_ms)
                due_ms += self.random.expovariate(calls_per_s / 1000)
            for stream in list(self.streams):
                self._on_pass(now_ms, pass_ms, stream)

    def _on_call(self, now_ms):
        slot_request = admission.SlotRequest("s", frozenset(), self.random.random())
        decision = admission.choose(
            now_ms,
            slot_request,
            self.directory,
            self.loads,
            "a",
            0,
            self.concurrency_limits,
        )
        if not isinstance(decision, admission.Admitted):
            self.refused += 1
            return
        self.loads.begin(decision.endpoint.id)
        self.streams.append(_SimulatedStream(decision.endpoint.id, now_ms))

    def _on_pass(self, now_ms, pass_ms, stream):
        stream.passes += 1
        if stream.passes == PREFILL_PASSES:
            stream.is_late = now_ms - stream.arrived_ms > GOAL_MS
        elif stream.passes > PREFILL_PASSES:
            stream.is_late = stream.is_late or pass_ms > GAP_MS
            self.concurrency_limits.record_event_gap(
                now_ms, GROUP, pass_ms, GAP_MS, self.used_share
            )
        if stream.passes == PREFILL_PASSES + EVENTS:
            self.streams.remove(stream)
            self.loads.end(stream.endpoint)
            self.late += stream.is_late
            self.on_time += not stream.is_late


class ConcurrencyTests(testtools.TestCase):
    """A group gets more calls than it can serve in time, and its demand shifts."""

    def _simulate(self, concurrency_limits, calls_per_s):
        group = _SimulatedGroup(concurrency_limits)
        group.run(calls_per_s, 40_000.0)
        return group

    def test_most_calls_of_an_overloaded_group_are_served_on_time(self):
        class Unbounded(ConcurrencyLimits):
            def share(self, group):
                return 1.0

        before, after = (
            self._simulate(concurrency_limits, 60.0)
            for concurrency_limits in (Unbounded(), ConcurrencyLimits())
        )
        self.assertGreater(before.late, before.on_time)
        self.assertGreater(after.on_time, 2 * before.on_time)
        self.assertGreater(after.on_time, 4 * after.late)

    def test_a_group_with_enough_capacity_refuses_no_calls(self):
        group = self._simulate(ConcurrencyLimits(), 20.0)
        self.assertEqual((0, 0), (group.refused, group.late))

    def test_long_passes_lower_the_limit_and_short_ones_raise_it(self):
        concurrency_limits = ConcurrencyLimits()
        now_ms = 0.0
        shares = []
        for pass_ms in [100.0, 300.0, 300.0] + [60.0] * 400:
            now_ms += pass_ms
            concurrency_limits.record_event_gap(
                now_ms, GROUP, pass_ms, GAP_MS, lambda: concurrency_limits.share(GROUP)
            )
            shares.append(concurrency_limits.share(GROUP))
        self.assertEqual(concurrency.MIN_SHARE, min(shares))
        self.assertEqual(1.0, shares[-1])

    def test_a_stalled_pass_does_not_lower_the_limit(self):
        concurrency_limits = ConcurrencyLimits()
        for now_ms, pass_ms in ((100.0, 60.0), (4_100.0, 4_000.0), (4_200.0, 60.0)):
            concurrency_limits.record_event_gap(
                now_ms, GROUP, pass_ms, GAP_MS, lambda: 1.0
            )
        self.assertEqual(1.0, concurrency_limits.share(GROUP))

    def test_groups_of_the_same_name_in_two_services_have_limits_of_their_own(self):
        concurrency_limits = ConcurrencyLimits()
        for now_ms in (100.0, 400.0, 700.0):
            concurrency_limits.record_event_gap(
                now_ms, GROUP, 2 * GAP_MS, GAP_MS, lambda: 1.0
            )
        self.assertLess(concurrency_limits.share(GROUP), 1.0)
        self.assertEqual(1.0, concurrency_limits.share(GroupKey("other", "g")))

    def test_a_call_that_would_be_late_is_not_kept_waiting(self):
        max_wait_ms = admission.max_wait_ms(GOAL_MS, 8_000.0, 300.0)
        self.assertLessEqual(max_wait_ms + 300.0, GOAL_MS)
        self.assertEqual(0.0, admission.max_wait_ms(GOAL_MS, 8_000.0, 700.0))
