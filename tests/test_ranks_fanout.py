import testtools
from hypothesis import given, strategies as st

from dotterelplank.ranks import deltas, fanout, heartbeats, messages, sampling, tasks

LAYERS, RANKS, EXPERTS = 2, 3, 200
ROWS = st.lists(st.integers(0, EXPERTS - 1), min_size=1, max_size=4)
MAPS = st.lists(
    st.lists(ROWS, min_size=RANKS, max_size=RANKS), min_size=LAYERS, max_size=LAYERS
)


class DeltaTests(testtools.TestCase):
    @given(MAPS, MAPS)
    def test_a_difference_turns_one_map_into_the_other(self, before, after):
        delta = deltas.diff(before, after)
        self.assertEqual(after, deltas.apply_delta(before, delta))

    def test_equal_maps_differ_in_nothing(self):
        self.assertEqual(deltas.Delta([], []), deltas.diff([[[1]]], [[[1]]]))

    def test_places_that_a_map_hasnt_are_refused(self):
        for delta in (deltas.Delta([1, 5], []), deltas.Delta([], [[1, 5]])):
            self.assertRaises(ValueError, deltas.apply_delta, [[[1]]], delta)


class EncodedMapTests(testtools.TestCase):
    BEFORE, AFTER = [[[1, 2], [3]]], [[[1, 4], [3]]]

    def test_a_map_is_told_from_the_one_that_it_differs_from(self):
        encoded = messages.encode_map(self.AFTER, (7, self.BEFORE))
        self.assertEqual([], encoded.full_map)
        self.assertEqual(self.AFTER, messages.decode_map(encoded, {7: self.BEFORE}))

    def test_a_map_isnt_told_from_one_that_isnt_known_or_is_another(self):
        encoded = messages.encode_map(self.AFTER, (7, self.BEFORE))
        self.assertIsNone(messages.decode_map(encoded, {}))
        self.assertIsNone(messages.decode_map(encoded, {7: [[[1, 2], [5]]]}))

    def test_a_task_survives_its_message(self):
        task = tasks.Prepare(9, self.AFTER)
        encoded = messages.encode_map(task.map, (7, self.BEFORE))
        data = messages.CODEC.encode(messages.task_request("ip", 1, 2, task, encoded))
        told = messages.CODEC.decode(data)
        self.assertEqual(task, messages.decode_task(told, {7: self.BEFORE}))
        self.assertIsNone(messages.decode_task(told, {}))


class FanoutTests(testtools.TestCase):
    def _reached(self, names, most):
        """Return who is reached as each passes on to its part, and in how many hops."""
        found = {}
        parts = [(1, part) for part in fanout.split_branches(names, most)]
        while parts:
            hops, (first, *rest) = parts.pop()
            found[first] = hops
            parts += [(hops + 1, part) for part in fanout.split_branches(rest, most)]
        return found

    def test_all_are_reached_once_by_few_sends_each(self):
        for size in (0, 1, 16, 72, 128, 1_000):
            found = self._reached(list(range(size)), fanout.MAX_BRANCHES)
            self.assertEqual(set(range(size)), set(found))
            self.assertLessEqual(max(found.values(), default=0), 4)
            sends = fanout.split_branches(list(range(size)), fanout.MAX_BRANCHES)
            self.assertLessEqual(len(sends), fanout.MAX_BRANCHES)

    def test_long_messages_go_to_fewer_hosts_at_once(self):
        for size, mbps in ((300, 4.0), (4_500, 4.0), (4_500, 100.0)):
            most = fanout.branch_count(size, mbps)
            self.assertLessEqual(most, fanout.MAX_BRANCHES)
            sending_ms = most * size * 8 / (mbps * 1_000)
            self.assertLessEqual(sending_ms, fanout.MAX_SEND_MS)
        self.assertEqual(fanout.MIN_BRANCHES, fanout.branch_count(50_000, 4.0))


class HeartbeatScheduleTests(testtools.TestCase):
    """The load: all agents of a large group tell all others."""

    def test_each_is_told_in_time_and_few_at_once(self):
        for others, mbps in ((15, 10.0), (71, 4.0), (255, 4.0)):
            ips = [f"ip{number}" for number in range(others)]
            period_ms = heartbeats.interval_ms(others, mbps)
            heartbeat_schedule = heartbeats.HeartbeatSchedule()
            told = {ip: [] for ip in ips}
            for now_ms in range(0, 5_000, 75):
                due = heartbeat_schedule.due(now_ms, ips, period_ms, 75.0)
                sent_mbps = len(due) * heartbeats.HEARTBEAT_BYTES * 8 / (75.0 * 1_000)
                self.assertLessEqual(sent_mbps, mbps * heartbeats.LINK_RATIO * 1.1)
                for ip in due:
                    told[ip].append(now_ms)
            for times in told.values():
                gaps = [later - one for one, later in zip(times, times[1:])]
                self.assertLessEqual(max(gaps), period_ms + 2 * 75.0)


class QuantizationTests(testtools.TestCase):
    @given(st.lists(st.integers(0, 5_000_000), min_size=1, max_size=50))
    def test_counts_are_told_to_half_a_unit_in_a_byte_each(self, counts):
        told = sampling.quantize(counts)
        self.assertEqual(len(counts), len(told.counts))
        self.assertLessEqual(told.unit, max(counts) / sampling.LARGEST_COUNT + 1)
        for count, found in zip(counts, sampling.dequantize(told)):
            self.assertLessEqual(abs(count - found), told.unit / 2)
