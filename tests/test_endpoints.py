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
            self.hear(item.host, item.domain, True)

    def hear(self, name, domain, is_usable):
        peer = Peer(name, domain, Role.AGENT)
        part = MemberPart(peer, MemberStatus.ALIVE, is_usable)
        self.board.members[name] = part

    def followed(self):
        return endpoints.hosts_to_follow(self.board, "fd-1", "entry-1")

    def test_only_what_is_scarce_at_home_is_followed_elsewhere(self):
        self.assertEqual({"orders-2", "orders-3"}, set(self.followed()))

    def test_the_most_needed_come_first(self):
        for number in range(4):
            self.hear(f"drafting-1-{number}", "fd-1", False)
        first = self.followed()[: defaults.FOLLOWED_PER_RULE]
        self.assertTrue(all(name.startswith("drafting-2") for name in first), first)

    def test_a_process_without_a_configuration_follows_nobody(self):
        self.board.configuration = ConfigurationPart()
        self.assertEqual((), self.followed())
