import testtools

from dotterelplank.gateway.host import Address
from dotterelplank.gateway.revisions import Revision
from dotterelplank.gateway.tables import ExpertLayout
from dotterelplank.ranks import messages
from dotterelplank.ranks.membership import (
    REQUEST_INTERVAL_MS,
    Members,
    Membership,
    RankId,
)

LAYOUT = ExpertLayout(layers=2, experts=8, places=5, spare=2, copy_ms=16.0)
NOW_MS = 1_000.0
GROUP = "g"


def _members(size, revision=1, groups=(GROUP,), era=1):
    addresses = {
        RankId(group, rank): Address(f"10.0.{number}.{rank + 1}", 80)
        for number, group in enumerate(groups)
        for rank in range(size)
    }
    group_by_ip = {address.ip: rank_id.group for rank_id, address in addresses.items()}
    return Members(addresses, LAYOUT, 150.0, group_by_ip, Revision(era, revision))


class MembershipTests(testtools.TestCase):
    """Covers a store that refuses some hosts, whose agents then ask other agents."""

    def test_an_agent_that_knows_no_members_repeats_its_request(self):
        membership = Membership(link_mbps=10.0)
        self.assertTrue(membership.may_request(NOW_MS, GROUP, 2))
        self.assertFalse(membership.may_request(NOW_MS + 1, GROUP, 2))
        self.assertTrue(membership.may_request(NOW_MS + REQUEST_INTERVAL_MS, GROUP, 2))

    def test_an_agent_that_knows_all_ranks_sends_no_request(self):
        membership = Membership(link_mbps=10.0)
        membership.merge(_members(2))
        self.assertFalse(membership.may_request(NOW_MS, GROUP, 2))
        self.assertTrue(membership.may_request(NOW_MS, GROUP, 3))

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
        self.assertIn("10.0.0.99", membership.members.ips(GROUP))

    def test_ranks_of_the_same_number_are_known_for_each_group(self):
        membership = Membership(link_mbps=10.0)
        membership.merge(_members(2, groups=("g", "h")))
        members = membership.members
        self.assertEqual(Address("10.0.0.2", 80), members.addresses("g")[1])
        self.assertEqual(Address("10.0.1.2", 80), members.addresses("h")[1])

    def test_the_ranks_of_another_group_dont_count(self):
        membership = Membership(link_mbps=10.0)
        membership.merge(_members(2, groups=("h",)))
        self.assertFalse(membership.knows_all("g", 2))
        self.assertTrue(membership.knows_all("h", 2))

    def test_hosts_of_another_group_get_no_heartbeats(self):
        membership = Membership(link_mbps=10.0)
        membership.merge(_members(1, groups=("g", "h")))
        membership.add_ip("10.0.2.1")
        self.assertEqual({"10.0.0.1", "10.0.2.1"}, membership.members.ips("g"))
        membership.add_ip("10.0.2.1", "h")
        self.assertEqual({"10.0.0.1"}, membership.members.ips("g"))

    def test_members_of_a_restored_store_replace_those_of_a_later_number(self):
        membership = Membership(link_mbps=10.0)
        membership.merge(_members(3, revision=90))
        self.assertTrue(membership.merge(_members(2, revision=40, era=2)))
        self.assertFalse(membership.merge(_members(3, revision=95)))
        self.assertEqual(Revision(2, 40), membership.members.revision)
        # The copy lacks a rank, which is used until it is read again.
        self.assertTrue(membership.knows_all(GROUP, 3))

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
