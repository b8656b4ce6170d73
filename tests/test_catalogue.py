import pathlib

import testtools

from dotterelplank import catalogue

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"


class CatalogueTests(testtools.TestCase):
    def test_result_codes_page_lists_exactly_the_codes(self):
        page = (DOCS / "RESULT-CODES.md").read_text(encoding="utf-8")
        self.assertTrue(page.endswith("\n\n" + catalogue.result_table()))

    def test_events_page_lists_exactly_the_events(self):
        page = (DOCS / "EVENTS.md").read_text(encoding="utf-8")
        self.assertTrue(page.endswith("\n\n" + catalogue.event_table()))
