import hashlib
import json
import pathlib

import testtools
from hypothesis import given, strategies as st

from dotterelplank.config import configuration
from dotterelplank.errors import ConfigurationError

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"


def minimal(**changes):
    value = {
        "labels": {"app": ["drafting", "orders"]},
        "groups": [
            {
                "name": "drafting",
                "kind": "model",
                "servers": {"match_labels": {"app": "drafting"}},
            }
        ],
        "rules": [{"name": "all"}],
        "team_classes": [{"name": "small", "share": 1, "teams": ["crew", "audit"]}],
    }
    return json.dumps({**value, **changes})


class ConfigurationTests(testtools.TestCase):
    def faults(self, text):
        error = self.assertRaises(ConfigurationError, configuration.parse, text)
        return [str(fault) for fault in error.faults]

    def test_the_examples_are_accepted_with_ten_teams_each(self):
        for user in ("kaplan", "marisol"):
            text = (EXAMPLES / user / "configuration.json").read_text("utf-8")
            self.assertEqual(10, len(configuration.parse(text).share_by_team))

    def test_comments_are_ignored(self):
        text = "// a comment\n" + minimal()
        self.assertIn("drafting", configuration.parse(text).groups)

    def test_shares_sum_to_one(self):
        found = configuration.parse(minimal())
        self.assertAlmostEqual(1.0, sum(found.share_by_team.values()))

    def test_an_undeclared_label_is_reported_with_its_path(self):
        groups = [
            {
                "name": "drafting",
                "kind": "model",
                "servers": {"match_labels": {"app": "draftin"}},
            }
        ]
        (fault,) = self.faults(minimal(groups=groups))
        self.assertIn("groups[0].servers.match_labels.app: met draftin", fault)

    def test_a_selector_that_can_select_nothing_is_refused(self):
        contradiction = {
            "match_labels": {"app": "orders"},
            "match_expressions": [
                {"key": "app", "operator": "NotIn", "values": ["orders"]}
            ],
        }
        rules = [{"name": "none", "servers": contradiction}]
        (fault,) = self.faults(minimal(rules=rules))
        self.assertIn("rules[0].servers: met no value of label app", fault)

    def test_a_rule_after_one_that_matches_everything_is_refused(self):
        (fault,) = self.faults(minimal(rules=[{"name": "all"}, {"name": "late"}]))
        self.assertIn("rules[1]", fault)

    def test_unknown_targets_teams_and_fields_are_all_reported(self):
        rules = [{"name": "one", "when": {"targets": ["x"], "teams": ["y"]}}]
        self.assertEqual(2, len(self.faults(minimal(rules=rules))))
        (fault,) = self.faults(minimal(colour="red"))
        self.assertIn("colour", fault)

    def test_a_team_in_two_classes_is_refused(self):
        classes = [
            {"name": "a", "share": 1, "teams": ["crew"]},
            {"name": "b", "share": 1, "teams": ["crew"]},
        ]
        (fault,) = self.faults(minimal(team_classes=classes))
        self.assertIn("team_classes[1].teams[0]: met crew again", fault)

    def test_a_key_belongs_to_its_team(self):
        digest = hashlib.sha256(b"the key").hexdigest()
        keys = [{"sha256": digest, "team": "audit"}]
        found = configuration.parse(minimal(keys=keys))
        self.assertEqual("audit", found.team_by_key_sha256[digest])
        self.assertEqual(frozenset({"audit"}), found.teams_with_keys)

    def planned(self, expert_map, **settings):
        planned = {"experts": 2, "slots_per_rank": 2, **settings}
        planned = {"expert_bytes": 1000, "store_bytes_per_s": 1e6, **planned}
        group = {"name": "drafting", "hosts": ["rank-2", "rank-1"]}
        return minimal(rank_groups=[{**group, "map": expert_map, "planned": planned}])

    def test_a_planned_group_has_planning_settings(self):
        text = self.planned({"experts_by_rank": [[0, 2], [1, 3]]}, layers=2)
        (group,) = configuration.parse(text).rank_groups
        expected = configuration.Planning(2, 2, 2, 1000, 1e6, 0.0, 15_000.0)
        self.assertEqual(expected, group.planned)

    def test_an_invalid_first_map_is_reported_with_its_path(self):
        path = "rank_groups[0].map.experts_by_rank"
        for value, place in (
            ({}, path),
            ({"experts_by_rank": [[0, 1]]}, path),
            ({"experts_by_rank": [[0], [2]]}, f"{path}[1][0]"),
            ({"experts_by_rank": [[0], [0]]}, path),
            ({"experts_by_rank": [[0, 0], [1]]}, f"{path}[0]"),
            (
                {"experts_by_rank": [[0], [0, 1]], "shares_by_rank": [[1], [1, 1]]},
                "rank_groups[0].map.shares_by_rank",
            ),
            (
                {"experts_by_rank": [[0], [1]], "planned_from": "me"},
                "rank_groups[0].map.planned_from",
            ),
        ):
            (fault,) = self.faults(self.planned(value))
            self.assertTrue(fault.startswith(f"{place}:"), fault)

    def test_a_text_over_the_size_limit_is_refused(self):
        (fault,) = self.faults(minimal() + " " * 1_000_000)
        self.assertIn("expected at most 1000000 bytes", fault)

    @given(st.text(max_size=60))
    def test_any_text_is_accepted_or_refused_with_a_path(self, text):
        try:
            configuration.parse(text)
        except ConfigurationError as error:
            self.assertTrue(all(fault.path for fault in error.faults))
