"""Test settings: fixed seeds, and deselection of the tests in KNOWN-RED.txt."""

import pathlib

import hypothesis

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("ci")


def _known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split()[0] for line in lines if line.startswith("tests/")}


def pytest_collection_modifyitems(config, items):
    red = _known_red()
    deselected = [item for item in items if item.nodeid in red]
    if deselected:
        items[:] = [item for item in items if item.nodeid not in red]
        config.hook.pytest_deselected(items=deselected)
