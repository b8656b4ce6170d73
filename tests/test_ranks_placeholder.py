import testtools
from hypothesis import given, settings, strategies as st

from dotterelplank.ranks.placeholder import placeholder


@st.composite
def _own_parts(draw):
    """Draw a rank, its group's size, the places per rank, and the rank's rows."""
    size = draw(st.integers(2, 24))
    places = draw(st.integers(1, 6))
    experts = draw(st.integers(places, size * places))
    rank = draw(st.integers(0, size - 1))
    # The other ranks must be able to hold the remaining experts.
    least = max(1, experts - (size - 1) * places)
    row = st.lists(
        st.integers(0, experts - 1), min_size=least, max_size=places, unique=True
    )
    rows = draw(st.lists(row, min_size=1, max_size=3))
    return rank, size, places, experts, rows


class PlaceholderTests(testtools.TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(_own_parts())
    def test_it_is_valid_and_asks_nothing_new_of_its_rank(self, part):
        rank, size, places, experts, rows = part
        for layer, own in zip(placeholder(rank, size, rows, experts), rows):
            self.assertEqual(size, len(layer))
            self.assertEqual(own, layer[rank])
            self.assertEqual(set(range(experts)), {one for row in layer for one in row})
            self.assertTrue(all(0 < len(row) <= places for row in layer))

    def test_the_only_rank_of_a_group_holds_all_experts(self):
        self.assertEqual([[[0, 1]]], placeholder(0, 1, [[0, 1]], 2))
