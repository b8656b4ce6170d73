"""Check of the checks: break one line of the source and see a named test turn red.

Run ``python tests/breaks.py [word ...]``; words select breaks by their name. It
exits with 1 if a broken source stays green or a line is no longer there.
"""

import concurrent.futures
import dataclasses
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
TIMEOUT_S = 300
WORKERS = 4


@dataclasses.dataclass(frozen=True)
class Break:
    """One line taken out or bent.

    :param module: module of the package, without its suffix.
    :param line: the line as it stands, without its indent; it must be unique.
    :param broken: what replaces it.
    :param test: the test that must turn red, as pytest names it.
    """

    name: str
    module: str
    line: str
    broken: str
    test: str


SOAK = "tests/test_mapchange_machine.py::SoakTests"
LONG_RUNS = f"{SOAK}::test_long_runs_keep_one_map_in_every_step"

MAP_CHANGE = (
    Break(
        "an older ballot is staged",
        "mapchange",
        "and (state.floor is None or ballot > state.floor)",
        "and True",
        LONG_RUNS,
    ),
    Break(
        "a no is forgotten by its voter",
        "mapchange",
        "state.floor = question.ballot",
        "pass",
        LONG_RUNS,
    ),
    Break(
        "a no is forgotten by the one who asked",
        "maptally",
        "if Answer.NO in met:",
        "if False:",
        LONG_RUNS,
    ),
    Break(
        "a majority decides",
        "maptally",
        "if all(peer in answers for peer in peers):",
        "if 2 * len(answers) > len(peers):",
        LONG_RUNS,
    ),
    Break(
        "a commit elsewhere is not believed",
        "maptally",
        "if Answer.COMMITTED in met:",
        "if False:",
        LONG_RUNS,
    ),
    Break(
        "messages of an old incarnation count",
        "mapchange",
        "if envelope.incarnation < known:",
        "if False:",
        LONG_RUNS,
    ),
    Break(
        "counted votes outlive their incarnation",
        "mapchange",
        "state.tally.answers.pop(peer.host, None)",
        "pass",
        LONG_RUNS,
    ),
    Break(
        "statuses outlive their incarnation",
        "mapchange",
        "state.statuses.pop(peer.host, None)",
        "pass",
        LONG_RUNS,
    ),
    Break(
        "a ballot may name old incarnations",
        "mapchange",
        "and all(_is_current(state, one) for one in message.participants)",
        "and True",
        LONG_RUNS,
    ),
    Break(
        "a ballot may name an old incarnation of the voter",
        "mapchange",
        "return participant.incarnation == state.incarnation",
        "return True",
        LONG_RUNS,
    ),
    Break(
        "a ballot may name an old incarnation of another agent",
        "mapchange",
        "return participant.incarnation >= state.known[participant.host]",
        "return True",
        LONG_RUNS,
    ),
    Break(
        "the version that a change starts from is not checked",
        "mapchange",
        "and view.version == message.base_version",
        "and True",
        LONG_RUNS,
    ),
    Break(
        "a dead predecessor's order is not waited out",
        "mapchange",
        "quiet_until_ms=now_ms + policy.order_bound_ms,",
        "quiet_until_ms=now_ms,",
        LONG_RUNS,
    ),
    Break(
        "an unanswered order is not waited out",
        "mapchange",
        "state.order_free_at_ms = turn.now_ms + turn.policy.order_bound_ms",
        "state.order_free_at_ms = turn.now_ms",
        LONG_RUNS,
    ),
    Break(
        "an agent speaks while an order is open",
        "mapchange",
        "and state.order_id is None",
        "and True",
        LONG_RUNS,
    ),
    Break(
        "an agent speaks from a read before its order",
        "mapchange",
        "and not state.must_read",
        "and True",
        LONG_RUNS,
    ),
    Break(
        "a read from before an order counts as one after it",
        "mapchange",
        "state.read_id = None  # opened before the order",
        "pass",
        LONG_RUNS,
    ),
    Break(
        "votes count before every agent has answered",
        "mapchange",
        "if state.settled and _is_open(state, message.ballot):",
        "if _is_open(state, message.ballot):",
        LONG_RUNS,
    ),
    Break(
        "an engine without a map votes",
        "mapchange",
        "if view.map is None:  # may yet stage the ballot as it joins",
        "if False:",
        LONG_RUNS,
    ),
    Break(
        "a replaced engine keeps its incarnation",
        "mapchange",
        "state.incarnation += 1",
        "pass",
        LONG_RUNS,
    ),
    Break(
        "a replaced engine forgets the change to come",
        "mapjoin",
        "return InstallOrder(oldest, decided, True)",
        "return InstallOrder(oldest)",
        LONG_RUNS,
    ),
    Break(
        "a replaced engine takes the newest map at once",
        "mapjoin",
        "oldest, newest = min(by_version), max(by_version)",
        "oldest, newest = max(by_version), max(by_version)",
        LONG_RUNS,
    ),
    Break(
        "a replaced engine denies what the others have staged",
        "mapjoin",
        "if all(view.staged == change for view in holders):",
        "if False:",
        LONG_RUNS,
    ),
    Break(
        "the first map is brought without agreement",
        "mapchange",
        "agreed = all(one.participants == met for one in state.statuses.values())",
        "agreed = True",
        LONG_RUNS,
    ),
    Break(
        "any agent brings a first map",
        "mapchange",
        "return state.initial if state.host == state.hosts[0] and agreed else None",
        "return state.initial",
        LONG_RUNS,
    ),
    Break(
        "an engine does not hold",
        "mapchange_model",
        "return self.staged is None or step < self.staged.hold_step",
        "return True",
        LONG_RUNS,
    ),
    Break(
        "an engine stages past the hold",
        "mapchange_model",
        "if self.step >= action.change.hold_step:",
        "if False:",
        LONG_RUNS,
    ),
)

BREAKS = MAP_CHANGE


def _apply(copy: pathlib.Path, one: Break) -> None:
    path = copy / "src" / "dotterelplank" / f"{one.module}.py"
    lines = path.read_text(encoding="utf-8").splitlines()
    places = [index for index, line in enumerate(lines) if line.strip() == one.line]
    if len(places) != 1:
        raise LookupError(f"{one.module} holds {len(places)} times: {one.line}")
    line = lines[places[0]]
    indent = line[: len(line) - len(line.lstrip())]
    lines[places[0]] = indent + one.broken
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def _run(one: Break) -> str:
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder)
        for name in ("src", "tests"):
            shutil.copytree(ROOT / name, copy / name)
        shutil.copy(ROOT / "pyproject.toml", copy)
        try:
            _apply(copy, one)
        except LookupError as error:
            return f"STALE: {error}"
        return _verdict(copy, one)


def _verdict(copy: pathlib.Path, one: Break) -> str:
    command = [sys.executable, "-m", "pytest", "-x", "--tb=line", one.test]
    environment = {**os.environ, "PYTHONPATH": str(copy / "src")}
    try:
        done = subprocess.run(
            command,
            cwd=copy,
            env=environment,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return "HUNG"
    if done.returncode == 0:
        return "GREEN"
    if done.returncode == 1:
        return "red"
    return f"NOT RUN: pytest ended with {done.returncode}"


def main(words: list[str]) -> int:
    """Run the selected breaks, print a table and return the exit code."""
    chosen = [one for one in BREAKS if all(word in one.name for word in words)]
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(_run, chosen))
    for one, result in zip(chosen, results):
        print(f"{result:8} {one.module:16} {one.name}: {one.test.split('::')[-1]}")
    failed = [result for result in results if result != "red"]
    print(f"{len(chosen) - len(failed)} of {len(chosen)} breaks turned their test red")
    return 1 if failed or not chosen else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
