import testtools

from dotterelplank.gateway.host import Address
from dotterelplank.gateway.tables import ExpertLayout
from dotterelplank.ranks import messages
from dotterelplank.ranks.membership import REQUEST_INTERVAL_MS, Members, Membership

LAYOUT = ExpertLayout(layers=2, experts=8, places=5, spare=2, copy_ms=16.0)
NOW_MS = 1_000.0


def _members(size, revision=1):
    places = {rank: Address(f"10.0.0.{rank + 1}", 80) for rank in range(size)}
    ips = {place.ip for place in places.values()}
    return Members(places, LAYOUT, 150.0, ips, revision)


class MembershipTests(testtools.TestCase):
    """The load: the platform's store turns some of a group's hosts away."""

    def test_an_agent_that_knows_nobody_asks_again_and_again(self):
        one = Membership(link_mbps=10.0)
        self.assertTrue(one.may_request(NOW_MS, 2))
        self.assertFalse(one.may_request(NOW_MS + 1, 2))
        self.assertTrue(one.may_request(NOW_MS + REQUEST_INTERVAL_MS, 2))

    def test_an_agent_that_knows_all_ranks_asks_nobody(self):
        one = Membership(link_mbps=10.0)
        one.merge(_members(2))
        self.assertFalse(one.may_request(NOW_MS, 2))
        self.assertTrue(one.may_request(NOW_MS, 3))

    def test_an_agent_without_a_layout_tells_nobody(self):
        one = Membership(link_mbps=10.0)
        self.assertFalse(one.may_reply(NOW_MS))
        one.merge(_members(2))
        self.assertTrue(one.may_reply(NOW_MS))

    def test_answers_take_a_part_of_the_link_only(self):
        one = Membership(link_mbps=4.0)
        one.merge(_members(2))
        one.record_reply(NOW_MS, 1_000)
        self.assertFalse(one.may_reply(NOW_MS + 19))
        self.assertTrue(one.may_reply(NOW_MS + 20))

    def test_what_is_older_is_refused_and_addresses_stay_known(self):
        one = Membership(link_mbps=10.0)
        one.add_ip("10.0.0.99")
        self.assertTrue(one.merge(_members(2, revision=5)))
        self.assertFalse(one.merge(_members(1, revision=4)))
        self.assertEqual(2, len(one.members.ranks))
        self.assertIn("10.0.0.99", one.members.ips)

    def test_what_is_told_is_what_was_known(self):
        told = messages.encode_members("drafts", _members(3, revision=7))
        data = messages.CODEC.encode(told)
        self.assertEqual(
            _members(3, revision=7),
            messages.decode_members(messages.CODEC.decode(data)),
        )

    def test_an_answer_for_the_largest_group_fits_a_part_of_a_thin_link(self):
        told = messages.encode_members("drafts", _members(128))
        # In 100 ms a link of 4 Mbit/s carries 50 KB.
        self.assertLess(len(messages.CODEC.encode(told)), 5_000)
