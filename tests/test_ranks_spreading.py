import testtools
from hypothesis import given, strategies as st

from dotterelplank.ranks import deltas, heartbeats, messages, sampling, spreading, tasks

LAYERS, RANKS, EXPERTS = 2, 3, 200
ROWS = st.lists(st.integers(0, EXPERTS - 1), min_size=1, max_size=4)
MAPS = st.lists(
    st.lists(ROWS, min_size=RANKS, max_size=RANKS), min_size=LAYERS, max_size=LAYERS
)


class DeltaTests(testtools.TestCase):
    @given(MAPS, MAPS)
    def test_a_difference_turns_one_map_into_the_other(self, before, after):
        delta = deltas.difference(before, after)
        self.assertEqual(after, deltas.applied(before, delta))

    def test_equal_maps_differ_in_nothing(self):
        self.assertEqual(deltas.Delta([], []), deltas.difference([[[1]]], [[[1]]]))

    def test_places_that_a_map_hasnt_are_refused(self):
        for delta in (deltas.Delta([1, 5], []), deltas.Delta([], [[1, 5]])):
            self.assertRaises(ValueError, deltas.applied, [[[1]]], delta)


class MapTextTests(testtools.TestCase):
    BEFORE, AFTER = [[[1, 2], [3]]], [[[1, 4], [3]]]

    def test_a_map_is_told_from_the_one_that_it_differs_from(self):
        text = messages.map_text(self.AFTER, (7, self.BEFORE))
        self.assertEqual([], text.whole)
        self.assertEqual(self.AFTER, messages.map_of(text, {7: self.BEFORE}))

    def test_a_map_isnt_told_from_one_that_isnt_known_or_is_another(self):
        text = messages.map_text(self.AFTER, (7, self.BEFORE))
        self.assertIsNone(messages.map_of(text, {}))
        self.assertIsNone(messages.map_of(text, {7: [[[1, 2], [5]]]}))

    def test_a_task_survives_its_message(self):
        task = tasks.Prepare(9, self.AFTER)
        text = messages.map_text(task.map, (7, self.BEFORE))
        data = messages.CODEC.encode(messages.ask("ip", 1, 2, task, text))
        told = messages.CODEC.decode(data)
        self.assertEqual(task, messages.task_of(told, {7: self.BEFORE}))
        self.assertIsNone(messages.task_of(told, {}))


class SpreadingTests(testtools.TestCase):
    def _reached(self, names, most):
        """Return who is reached as each passes on to its part, and in how many hops."""
        found = {}
        parts = [(1, part) for part in spreading.branches(names, most)]
        while parts:
            hops, (first, *rest) = parts.pop()
            found[first] = hops
            parts += [(hops + 1, part) for part in spreading.branches(rest, most)]
        return found

    def test_all_are_reached_once_by_few_sends_each(self):
        for size in (0, 1, 16, 72, 128, 1_000):
            found = self._reached(list(range(size)), spreading.FANOUT)
            self.assertEqual(set(range(size)), set(found))
            self.assertLessEqual(max(found.values(), default=0), 4)
            sends = spreading.branches(list(range(size)), spreading.FANOUT)
            self.assertLessEqual(len(sends), spreading.FANOUT)

    def test_long_messages_go_to_fewer_hosts_at_once(self):
        for size, mbps in ((300, 4.0), (4_500, 4.0), (4_500, 100.0)):
            most = spreading.fanout(size, mbps)
            self.assertLessEqual(most, spreading.FANOUT)
            sending_ms = most * size * 8 / (mbps * 1_000)
            self.assertLessEqual(sending_ms, spreading.SENDING_MS)
        self.assertEqual(spreading.LEAST_FANOUT, spreading.fanout(50_000, 4.0))


class RotaTests(testtools.TestCase):
    """The load: all agents of a large group tell all others."""

    def test_each_is_told_in_time_and_few_at_once(self):
        for others, mbps in ((15, 10.0), (71, 4.0), (255, 4.0)):
            ips = [f"ip{number}" for number in range(others)]
            every_ms = heartbeats.interval_ms(others, mbps)
            rota = heartbeats.Rota()
            told = {ip: [] for ip in ips}
            for now_ms in range(0, 5_000, 75):
                due = rota.due(now_ms, ips, every_ms, 75.0)
                sent_mbps = len(due) * heartbeats.PACKET_BYTES * 8 / (75.0 * 1_000)
                self.assertLessEqual(sent_mbps, mbps * heartbeats.LINK_PART * 1.1)
                for ip in due:
                    told[ip].append(now_ms)
            for times in told.values():
                gaps = [later - one for one, later in zip(times, times[1:])]
                self.assertLessEqual(max(gaps), every_ms + 2 * 75.0)


class CoarseTests(testtools.TestCase):
    @given(st.lists(st.integers(0, 5_000_000), min_size=1, max_size=50))
    def test_counts_are_told_to_half_a_unit_in_a_byte_each(self, counts):
        told = sampling.coarse(counts)
        self.assertEqual(len(counts), len(told.counts))
        self.assertLessEqual(told.unit, max(counts) / sampling.LARGEST_COUNT + 1)
        for count, found in zip(counts, sampling.counts_of(told)):
            self.assertLessEqual(abs(count - found), told.unit / 2)
