import testtools

from dotterelplank import defaults
from dotterelplank.config import configuration
from dotterelplank.daemons import endpoints
from dotterelplank.daemons.blackboard import (
    Blackboard,
    ConfigurationPart,
    Host,
    HostsPart,
    MemberPart,
)
from dotterelplank.members.messages import MemberStatus
from dotterelplank.members.peers import Peer, Role

TEXT = """{
  "labels": {"app": ["drafting", "orders"]},
  "groups": [
    {"name": "drafting", "kind": "model",
     "servers": {"match_labels": {"app": "drafting"}}},
    {"name": "orders", "kind": "service",
     "servers": {"match_labels": {"app": "orders"}}},
  ],
  "rules": [
    {"name": "drafts", "when": {"targets": ["drafting"]}},
    {"name": "orders", "when": {"targets": ["orders"]}},
  ],
  "team_classes": [{"name": "all", "share": 1, "teams": ["crew"]}],
}"""


def host(name, domain, app):
    return Host(name, "127.0.0.1", 1, domain, "agent", False, {"app": app})


class FollowTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.hosts = [
            host(f"drafting-{domain}-{number}", f"fd-{domain}", "drafting")
            for domain in (1, 2)
            for number in range(4)
        ]
        self.hosts += [host(f"orders-{n}", f"fd-{n}", "orders") for n in (1, 2, 3)]
        self.board = Blackboard(
            configuration=ConfigurationPart(1, b"", configuration.parse(TEXT)),
            hosts=HostsPart(1, {item.host: item for item in self.hosts}),
        )
        for item in self.hosts:
            self.add_member(item.host, item.domain, True)

    def add_member(self, name, domain, is_usable):
        peer = Peer(name, domain, Role.AGENT)
        part = MemberPart(peer, MemberStatus.ALIVE, is_usable)
        self.board.members[name] = part

    def followed(self):
        return endpoints.hosts_to_follow(self.board, "fd-1", "entry-1")

    def test_remote_endpoints_are_followed_where_few_local_ones_are_usable(self):
        self.assertEqual({"orders-2", "orders-3"}, set(self.followed()))

    def test_endpoints_for_the_rules_with_the_fewest_come_first(self):
        for number in range(4):
            self.add_member(f"drafting-1-{number}", "fd-1", False)
        first = self.followed()[: defaults.FOLLOWED_PER_RULE]
        self.assertTrue(all(name.startswith("drafting-2") for name in first), first)

    def test_no_endpoint_is_followed_without_a_configuration(self):
        self.board.configuration = ConfigurationPart()
        self.assertEqual((), self.followed())
