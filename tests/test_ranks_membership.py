import testtools

from dotterelplank.gateway.host import Address
from dotterelplank.gateway.tables import ExpertLayout
from dotterelplank.ranks import messages
from dotterelplank.ranks.membership import REQUEST_INTERVAL_MS, Members, Membership

LAYOUT = ExpertLayout(layers=2, experts=8, places=5, spare=2, copy_ms=16.0)
NOW_MS = 1_000.0


def _members(size, revision=1):
    addresses = {rank: Address(f"10.0.0.{rank + 1}", 80) for rank in range(size)}
    ips = {address.ip for address in addresses.values()}
    return Members(addresses, LAYOUT, 150.0, ips, revision)


class MembershipTests(testtools.TestCase):
    """Covers a store that refuses some hosts, whose agents then ask other agents."""

    def test_an_agent_that_knows_no_members_repeats_its_request(self):
        membership = Membership(link_mbps=10.0)
        self.assertTrue(membership.may_request(NOW_MS, 2))
        self.assertFalse(membership.may_request(NOW_MS + 1, 2))
        self.assertTrue(membership.may_request(NOW_MS + REQUEST_INTERVAL_MS, 2))

    def test_an_agent_that_knows_all_ranks_sends_no_request(self):
        membership = Membership(link_mbps=10.0)
        membership.merge(_members(2))
        self.assertFalse(membership.may_request(NOW_MS, 2))
        self.assertTrue(membership.may_request(NOW_MS, 3))

    def test_an_agent_without_a_layout_sends_no_reply(self):
        membership = Membership(link_mbps=10.0)
        self.assertFalse(membership.may_reply(NOW_MS))
        membership.merge(_members(2))
        self.assertTrue(membership.may_reply(NOW_MS))

    def test_replies_use_only_a_fraction_of_the_link(self):
        membership = Membership(link_mbps=4.0)
        membership.merge(_members(2))
        membership.record_reply(NOW_MS, 1_000)
        self.assertFalse(membership.may_reply(NOW_MS + 19))
        self.assertTrue(membership.may_reply(NOW_MS + 20))

    def test_older_members_are_refused_and_known_addresses_are_kept(self):
        membership = Membership(link_mbps=10.0)
        membership.add_ip("10.0.0.99")
        self.assertTrue(membership.merge(_members(2, revision=5)))
        self.assertFalse(membership.merge(_members(1, revision=4)))
        self.assertEqual(2, len(membership.members.ranks))
        self.assertIn("10.0.0.99", membership.members.ips)

    def test_members_are_decoded_from_their_message(self):
        reply = messages.encode_members("drafts", _members(3, revision=7))
        data = messages.CODEC.encode(reply)
        self.assertEqual(
            _members(3, revision=7),
            messages.decode_members(messages.CODEC.decode(data)),
        )

    def test_a_reply_for_the_largest_group_fits_into_a_fraction_of_a_slow_link(self):
        reply = messages.encode_members("drafts", _members(128))
        # In 100 ms a link of 4 Mbit/s carries 50 KB.
        self.assertLess(len(messages.CODEC.encode(reply)), 5_000)
