import pathlib

import testtools

from dotterelplank.config import settings
from dotterelplank.config.settings import AgentSettings, EntrySettings
from dotterelplank.errors import SettingsError

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"


class SettingsTests(testtools.TestCase):
    def refusal(self, text, kind=EntrySettings):
        return str(self.assertRaises(SettingsError, settings.parse, kind, text))

    def changed(self, old, new):
        text = (EXAMPLES / "kaplan" / "entry.json").read_text("utf-8")
        self.assertIn(old, text)
        return text.replace(old, new)

    def test_the_examples_load(self):
        for user in ("kaplan", "marisol"):
            settings.load(EntrySettings, EXAMPLES / user / "entry.json")
            settings.load(AgentSettings, EXAMPLES / user / "agent.json")

    def test_an_invalid_port_is_reported_with_its_value(self):
        text = self.changed('"caller_port": 8080', '"caller_port": 80800')
        self.assertIn("caller_port: met 80800", self.refusal(text))

    def test_an_unknown_field_is_refused(self):
        text = self.changed('"host":', '"colour": "red", "host":')
        self.assertIn("colour", self.refusal(text))

    def test_a_seed_without_a_port_is_refused(self):
        text = self.changed('"host":', '"seed_peers": ["127.0.0.1"], "host":')
        self.assertIn("seed_peers", self.refusal(text))

    def test_a_secret_is_required(self):
        text = self.changed('"secret_file": "system.secret",', "")
        self.assertIn("exactly one of secret and secret_file", self.refusal(text))

    def test_a_missing_file_is_a_clear_error(self):
        missing = EXAMPLES / "no-such-file.json"
        error = self.assertRaises(SettingsError, settings.load, EntrySettings, missing)
        self.assertIn("no-such-file.json", str(error))
