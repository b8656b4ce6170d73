import pathlib
import re

import testtools

ROOT = pathlib.Path(__file__).resolve().parent.parent


class DocsTests(testtools.TestCase):
    def test_the_example_for_embedders_runs(self):
        page = (ROOT / "docs" / "DESIGN.md").read_text(encoding="utf-8")
        (example,) = re.findall(r"```python\n(.*?)```", page, re.S)
        exec(compile(example, "docs/DESIGN.md", "exec"), {})

    def test_pages_mention_only_existing_files(self):
        pages = [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]
        for page in pages:
            text = page.read_text(encoding="utf-8")
            for name in re.findall(r"`((?:docs|examples|tests)/[\w./-]+)`", text):
                self.assertTrue((ROOT / name).exists(), f"{page.name}: {name}")
