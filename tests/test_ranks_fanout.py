import typing as t

import msgpack
import testtools
from hypothesis import given, strategies as st

from dotterelplank.ranks import deltas, fanout, heartbeats, messages, sampling, tasks
from dotterelplank.ranks.views import Formation

LAYERS, RANKS, EXPERTS = 2, 3, 200
KIND_POSITION = 6
"""The position of the task's kind in an encoded ``TaskRequest``."""
ROWS = st.lists(st.integers(0, EXPERTS - 1), min_size=1, max_size=4)
MAPS = st.lists(
    st.lists(ROWS, min_size=RANKS, max_size=RANKS), min_size=LAYERS, max_size=LAYERS
)


class DeltaTests(testtools.TestCase):
    @given(MAPS, MAPS)
    def test_applying_the_diff_of_two_maps_yields_the_second(self, before, after):
        delta = deltas.diff(before, after)
        self.assertEqual(after, deltas.apply_delta(before, delta))

    def test_the_diff_of_equal_maps_is_empty(self):
        self.assertEqual(deltas.Delta([], []), deltas.diff([[[1]]], [[[1]]]))

    def test_positions_outside_the_map_are_refused(self):
        for delta in (deltas.Delta([1, 5], []), deltas.Delta([], [[1, 5]])):
            self.assertRaises(ValueError, deltas.apply_delta, [[[1]]], delta)


class EncodedMapTests(testtools.TestCase):
    BEFORE, AFTER = [[[1, 2], [3]]], [[[1, 4], [3]]]

    def test_a_delta_is_decoded_with_its_base_map(self):
        encoded = messages.encode_map(self.AFTER, (7, self.BEFORE))
        self.assertEqual([], encoded.full_map)
        self.assertEqual(self.AFTER, messages.decode_map(encoded, {7: self.BEFORE}))

    def test_a_delta_isnt_decoded_with_an_unknown_or_wrong_base_map(self):
        encoded = messages.encode_map(self.AFTER, (7, self.BEFORE))
        self.assertIsNone(messages.decode_map(encoded, {}))
        self.assertIsNone(messages.decode_map(encoded, {7: [[[1, 2], [5]]]}))

    def test_a_task_is_decoded_from_its_message(self):
        task = tasks.Prepare(9, self.AFTER)
        encoded = messages.encode_map(task.map, (7, self.BEFORE))
        data = messages.CODEC.encode(
            messages.task_request("ip", 1, Formation("g", 2), task, encoded)
        )
        received = messages.CODEC.decode(data)
        self.assertEqual(task, messages.decode_task(received, {7: self.BEFORE}))
        self.assertIsNone(messages.decode_task(received, {}))

    def test_each_task_is_encoded_with_its_kind(self):
        """Agents of other versions know tasks by these names, not by the classes'."""
        expected = {
            "look": tasks.QueryState(),
            "prepare": tasks.Prepare(9, self.AFTER),
            "hold": tasks.Hold(12),
            "arm": tasks.Arm(9, 12),
            "void": tasks.Supersede(10, (7, 9)),
            "release": tasks.Release(12),
        }
        self.assertEqual(
            set(t.get_args(tasks.Task)), {type(task) for task in expected.values()}
        )
        for kind, task in expected.items():
            encoded = messages.encode_map(self.AFTER) if kind == "prepare" else None
            formation = Formation("g", 2)
            request = messages.task_request("ip", 1, formation, task, encoded)
            self.assertEqual(kind, request.kind)
            data = messages.CODEC.encode(request)
            self.assertEqual(kind, msgpack.unpackb(data)[KIND_POSITION])
            received = messages.CODEC.decode(data)
            self.assertEqual(kind, received.kind)
            self.assertEqual(task, messages.decode_task(received, {}))


class FanoutTests(testtools.TestCase):
    def _hops(self, targets, limit):
        """Return how many hops a message takes to each target along the tree."""
        hops_by_target = {}
        branches = [(1, branch) for branch in fanout.split_branches(targets, limit)]
        while branches:
            hops, (first, *rest) = branches.pop()
            hops_by_target[first] = hops
            branches += [
                (hops + 1, branch) for branch in fanout.split_branches(rest, limit)
            ]
        return hops_by_target

    def test_all_targets_are_reached_with_few_sends_per_host(self):
        for size in (0, 1, 16, 72, 128, 1_000):
            hops = self._hops(list(range(size)), fanout.MAX_BRANCHES)
            self.assertEqual(set(range(size)), set(hops))
            self.assertLessEqual(max(hops.values(), default=0), 4)
            sends = fanout.split_branches(list(range(size)), fanout.MAX_BRANCHES)
            self.assertLessEqual(len(sends), fanout.MAX_BRANCHES)

    def test_long_messages_go_to_fewer_hosts_at_once(self):
        for size, mbps in ((300, 4.0), (4_500, 4.0), (4_500, 100.0)):
            branches = fanout.branch_count(size, mbps)
            self.assertLessEqual(branches, fanout.MAX_BRANCHES)
            sending_ms = branches * size * 8 / (mbps * 1_000)
            self.assertLessEqual(sending_ms, fanout.MAX_SEND_MS)
        self.assertEqual(fanout.MIN_BRANCHES, fanout.branch_count(50_000, 4.0))


class HeartbeatScheduleTests(testtools.TestCase):
    """Guards against overloaded links in large groups.

    Each agent sends heartbeats to all others.
    """

    def test_heartbeats_are_in_time_and_few_are_sent_at_once(self):
        for others, mbps in ((15, 10.0), (71, 4.0), (255, 4.0)):
            ips = [f"ip{number}" for number in range(others)]
            period_ms = heartbeats.interval_ms(others, mbps)
            heartbeat_schedule = heartbeats.HeartbeatSchedule()
            sent_ms = {ip: [] for ip in ips}
            for now_ms in range(0, 5_000, 75):
                due = heartbeat_schedule.due(now_ms, ips, period_ms, 75.0)
                sent_mbps = len(due) * heartbeats.HEARTBEAT_BYTES * 8 / (75.0 * 1_000)
                self.assertLessEqual(sent_mbps, mbps * heartbeats.LINK_RATIO * 1.1)
                for ip in due:
                    sent_ms[ip].append(now_ms)
            for times in sent_ms.values():
                gaps = [later - earlier for earlier, later in zip(times, times[1:])]
                self.assertLessEqual(max(gaps), period_ms + 2 * 75.0)


class QuantizationTests(testtools.TestCase):
    @given(st.lists(st.integers(0, 5_000_000), min_size=1, max_size=50))
    def test_counts_are_sent_in_a_byte_each_accurate_to_half_a_unit(self, counts):
        quantized = sampling.quantize(counts)
        self.assertEqual(len(counts), len(quantized.counts))
        self.assertLessEqual(quantized.unit, max(counts) / sampling.LARGEST_COUNT + 1)
        for count, restored in zip(counts, sampling.dequantize(quantized)):
            self.assertLessEqual(abs(count - restored), quantized.unit / 2)
