import json
import pathlib

import testtools
from typer.testing import CliRunner

from dotterelplank.cli import app

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
KAPLAN = EXAMPLES / "kaplan"


def run(*arguments):
    return CliRunner().invoke(app, [str(argument) for argument in arguments])


class CommandLineTests(testtools.TestCase):
    def test_check_accepts_the_examples(self):
        for user in ("kaplan", "marisol"):
            result = run("check", EXAMPLES / user / "configuration.json", "--json")
            self.assertEqual(0, result.exit_code, result.output)
            self.assertEqual(10, json.loads(result.output)["teams"])

    def test_check_names_the_fault_and_fails(self):
        folder = self.useFixture(_Folder())
        path = folder.path / "bad.json"
        path.write_text('{"labels": {}, "groups": []}', encoding="utf-8")
        result = run("check", path)
        self.assertEqual(2, result.exit_code)
        self.assertIn("groups: met []", result.output)

    def explained(self, *arguments):
        result = run(
            "explain",
            "--config",
            KAPLAN / "configuration.json",
            "--hosts",
            KAPLAN / "hosts.json",
            *arguments,
        )
        self.assertEqual(0, result.exit_code, result.output)
        return result.output

    def test_explain_shows_each_rule_and_the_selected_endpoints(self):
        output = self.explained("--target", "drafting", "--team", "compliance")
        self.assertIn("rule compliance-narratives-on-large-servers: takes it", output)
        self.assertIn("endpoint drafting-1: remains", output)
        self.assertIn("endpoint drafting-2: out: label tier is standard", output)
        self.assertIn("endpoint crew-ops-1: out: not of group drafting", output)

    def test_explain_as_json_agrees_with_the_text(self):
        output = self.explained(
            "--target", "drafting", "--team", "audit", "--priority", "6", "--json"
        )
        value = json.loads(output)
        self.assertEqual("urgent-drafts-anywhere", value["taken_by"])
        remaining = [item for item in value["endpoints"] if item["remains"]]
        self.assertEqual(16, len(remaining))

    def test_soak_repeats_a_seed_and_reports_its_coverage(self):
        first = run("soak", "--seed", 3, "--steps", 4_000)
        self.assertIn("map-changes: seed 3, 4000 steps, no invariant", first.output)
        self.assertIn("orders: seed 3, 4000 steps, no invariant", first.output)
        second = run("soak", "--seed", 3, "--steps", 4_000)
        self.assertEqual(first.output, second.output)

    def test_every_bench_has_a_help_text(self):
        for name in ("path", "experts", "routing", "limits", "membership", "capacity"):
            result = run("bench", name, "--help")
            self.assertEqual(0, result.exit_code, name)
            self.assertIn("--json", result.output)

    def test_explain_refuses_an_unknown_team(self):
        result = run(
            "explain",
            "--config",
            KAPLAN / "configuration.json",
            "--target",
            "drafting",
            "--team",
            "nobody",
        )
        self.assertEqual(2, result.exit_code)
        self.assertIn("team: met nobody", result.output)


class _Folder:
    """A fixture with a temporary folder."""

    def setUp(self):
        import tempfile

        self._folder = tempfile.TemporaryDirectory()
        self.path = pathlib.Path(self._folder.name)

    def cleanUp(self):
        self._folder.cleanup()

    def getDetails(self):
        return {}
