import ast
import pathlib

import testtools

SOURCES = pathlib.Path(__file__).resolve().parent.parent / "src" / "dotterelplank"
LEVELS = (
    ("",),
    ("config", "http1", "members", "routing"),
    ("links",),
    ("maps",),
    ("daemons", "gateway", "platform", "ranks"),
    ("standins",),
    ("benches", "demo", "models"),
)
"""Levels of subpackages, lowest first; none imports from a later level."""
TOP_MODULES = {"cli", "__main__"}
"""Top-level modules that may import from all levels."""
# The platform adapter creates types of the other two, and they call its clients.
MUTUAL_IMPORTS = {"gateway", "platform", "ranks"}


def _subpackage(path):
    parts = path.relative_to(SOURCES).parts
    return parts[0] if len(parts) > 1 else ""


def _imported_subpackages(path):
    """Yield the subpackages from which a module imports."""
    depth = len(path.relative_to(SOURCES).parts)
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.level != depth:
            continue
        names = [node.module] if node.module else [one.name for one in node.names]
        for name in names:
            first = name.partition(".")[0]
            yield first if (SOURCES / first).is_dir() else ""


class ImportLevelTests(testtools.TestCase):
    def test_every_subpackage_has_a_level(self):
        found = {path.parent.name for path in SOURCES.glob("*/__init__.py")}
        self.assertEqual(
            found, {subpackage for level in LEVELS for subpackage in level} - {""}
        )

    def test_imports_go_one_way(self):
        level_of = {
            subpackage: n for n, level in enumerate(LEVELS) for subpackage in level
        }
        violations = []
        for path in SOURCES.rglob("*.py"):
            subpackage = _subpackage(path)
            if not subpackage and path.stem in TOP_MODULES:
                continue
            for other in _imported_subpackages(path):
                if other == subpackage or {subpackage, other} <= MUTUAL_IMPORTS:
                    continue
                if level_of[other] > level_of[subpackage]:
                    violations.append(
                        f"{path.relative_to(SOURCES)} imports from {other}"
                    )
        self.assertEqual([], violations)

    def test_subpackages_of_one_level_do_not_import_each_other(self):
        violations = []
        for path in SOURCES.rglob("*.py"):
            subpackage = _subpackage(path)
            level = next(level for level in LEVELS if subpackage in level)
            for other in _imported_subpackages(path):
                if (
                    other in level
                    and other != subpackage
                    and not {subpackage, other} <= MUTUAL_IMPORTS
                ):
                    violations.append(
                        f"{path.relative_to(SOURCES)} imports from {other}"
                    )
        self.assertEqual([], violations)
