"""Mutation tests: break one line of the source and check that a named test fails.

Run ``python tests/breaks.py [word ...]``; the words select mutations by name. The exit
status is 1 if a test passes despite its mutation or if a source line doesn't exist.
"""

import concurrent.futures
import dataclasses
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

import gateway_breaks
import request_breaks

ROOT = pathlib.Path(__file__).resolve().parent.parent
TIMEOUT_S = 300
WORKERS = 4
REASON_LENGTH = 120


@dataclasses.dataclass(frozen=True)
class Result:
    """The verdict on a mutation, ``red`` if the test failed, and the test's error."""

    verdict: str
    reason: str = ""


@dataclasses.dataclass(frozen=True)
class Mutation:
    """A changed or removed source line and the test that must detect it.

    :param module: module of the package, without its suffix.
    :param line: the source line without its indentation; it must be unique.
    :param replacement: the line that replaces it.
    :param test: the pytest id of the test that must fail.
    """

    name: str
    module: str
    line: str
    replacement: str
    test: str


SOAK = "tests/test_mapchange_machine.py::SoakTests"
FOCUSED = "tests/test_mapchange.py"
VERDICT = f"{FOCUSED}::VerdictTests"
JOIN = f"{FOCUSED}::JoinTests"
VOTE = f"{FOCUSED}::VoteTests"
RESOLVE = f"{FOCUSED}::ResolveTests"
ORDER = f"{FOCUSED}::OrderTests"
GROUP = f"{FOCUSED}::GroupTests"
LONG_RUNS = f"{SOAK}::test_long_runs_keep_one_map_in_every_step"

MAP_CHANGE = (
    Mutation(
        "an older ballot is staged",
        "maps/votes",
        "and (state.floor is None or ballot > state.floor)",
        "and True",
        LONG_RUNS,
    ),
    Mutation(
        "a no is forgotten by its voter",
        "maps/votes",
        "state.floor = ask.ballot",
        "pass",
        LONG_RUNS,
    ),
    Mutation(
        "a no is forgotten by the one who asked",
        "maps/tally",
        "if Answer.NO in votes:",
        "if False:",
        LONG_RUNS,
    ),
    Mutation(
        "a majority decides",
        "maps/tally",
        "if all(peer in answers for peer in peers):",
        "if 2 * len(answers) > len(peers):",
        LONG_RUNS,
    ),
    Mutation(
        "a commit elsewhere is not believed",
        "maps/tally",
        "if Answer.COMMITTED in votes:",
        "if False:",
        f"{VERDICT}::test_one_commit_commits_before_others_have_voted",
    ),
    Mutation(
        "messages of an old incarnation count",
        "maps/change",
        "if envelope.incarnation < known:",
        "if False:",
        f"{RESOLVE}::test_vote_of_an_older_incarnation_is_not_counted",
    ),
    Mutation(
        "counted votes outlive their incarnation",
        "maps/state",
        "state.tally.answers.pop(peer.host, None)",
        "pass",
        f"{GROUP}::test_vote_of_a_lost_engine_does_not_complete_unanimity",
    ),
    Mutation(
        "statuses outlive their incarnation",
        "maps/state",
        "state.statuses.pop(peer.host, None)",
        "pass",
        f"{JOIN}::test_status_of_an_earlier_incarnation_is_discarded",
    ),
    Mutation(
        "a ballot for an earlier incarnation is staged",
        "maps/votes",
        "and state.incarnation == message.voter_incarnation",
        "and True",
        f"{GROUP}::test_restarted_voter_does_not_reverse_a_no_of_its_predecessor",
    ),
    Mutation(
        "an agent is told outcomes before it has met the others",
        "maps/votes",
        "if not state.has_joined:  # the sender may have ended already",
        "if False:",
        f"{GROUP}::test_restarted_agent_ignores_the_outcome_of_a_replaced_agent",
    ),
    Mutation(
        "a status for an earlier incarnation counts",
        "maps/change",
        "if own in message.participants and not state.has_joined:",
        "if not state.has_joined:",
        f"{RESOLVE}::test_status_for_an_earlier_incarnation_is_ignored",
    ),
    Mutation(
        "the version that a change starts from is not checked",
        "maps/votes",
        "and view.version == message.base_version",
        "and True",
        f"{VOTE}::test_agent_votes_no_on_a_change_from_another_version",
    ),
    Mutation(
        "a dead predecessor's order is not waited out",
        "maps/state",
        "order_wait: OrderWait | None = dataclasses.field(default_factory=OrderWait)",
        "order_wait: OrderWait | None = None",
        LONG_RUNS,
    ),
    Mutation(
        "an unanswered order is not waited out",
        "maps/change",
        "state.order_wait = OrderWait()",
        "pass",
        LONG_RUNS,
    ),
    Mutation(
        "a stalled engine is waited out like any other",
        "maps/change",
        "if order_wait.since_ms is None or gap_ms > context.policy.max_view_age_ms:",
        "if order_wait.since_ms is None:",
        f"{ORDER}::test_stalled_engine_restarts_the_order_wait",
    ),
    Mutation(
        "an agent speaks from a read before its order",
        "maps/state",
        "and not state.must_read",
        "and True",
        LONG_RUNS,
    ),
    Mutation(
        "a read from before an order counts as one after it",
        "maps/state",
        "state.read_id = None  # the open read was sent before this order",
        "pass",
        LONG_RUNS,
    ),
    Mutation(
        "an engine without a map votes",
        "maps/votes",
        "if view.map is None:  # it may still stage the ballot when it joins",
        "if False:",
        LONG_RUNS,
    ),
    Mutation(
        "a replaced engine keeps its incarnation",
        "maps/state",
        "state.incarnation += 1",
        "pass",
        f"{RESOLVE}::test_replaced_engine_begins_a_new_incarnation",
    ),
    Mutation(
        "a replaced engine forgets the change to come",
        "maps/join",
        "return InstallOrder(oldest, decided, True)",
        "return InstallOrder(oldest)",
        LONG_RUNS,
    ),
    Mutation(
        "a replaced engine takes the newest map at once",
        "maps/join",
        "oldest, newest = min(by_version), max(by_version)",
        "oldest, newest = max(by_version), max(by_version)",
        f"{GROUP}::test_replaced_engine_joins_the_last_step_with_the_older_map",
    ),
    Mutation(
        "a replaced engine denies what the others have staged",
        "maps/join",
        "if all(view.staged == change for view in views_with_map):",
        "if False:",
        LONG_RUNS,
    ),
    Mutation(
        "the first map is brought without agreement",
        "maps/change",
        "agreed = all("
        "reply.participants == known for reply in state.statuses.values())",
        "agreed = True",
        f"{JOIN}::test_first_map_waits_until_all_know_the_same_incarnations",
    ),
    Mutation(
        "any agent brings a first map",
        "maps/change",
        "return state.initial if state.host == state.hosts[0] and agreed else None",
        "return state.initial",
        LONG_RUNS,
    ),
    Mutation(
        "an engine does not hold",
        "models/mapengine",
        "return self.staged is None or step < self.staged.hold_step",
        "return True",
        LONG_RUNS,
    ),
    Mutation(
        "an engine stages past the hold",
        "models/mapengine",
        "if self.step >= action.change.hold_step:",
        "if False:",
        LONG_RUNS,
    ),
    Mutation(
        "an agent speaks from an old read",
        "maps/state",
        "and context.now_ms - state.read_at_ms <= context.policy.max_view_age_ms",
        "and True",
        f"{ORDER}::test_resumed_agent_reads_its_engine_before_it_votes",
    ),
    Mutation(
        "a superseded agent goes on",
        "maps/change",
        "state.superseded = True",
        "pass",
        f"{ORDER}::test_agent_stops_when_another_gives_orders_to_its_engine",
    ),
    Mutation(
        "a denied ballot found staged is passed over",
        "maps/change",
        "if view.staged is not None and view.staged.ballot in state.denied:",
        "if False:",
        f"{VOTE}::test_staged_ballot_that_was_voted_down_violates_an_invariant",
    ),
    Mutation(
        "fencing tokens start anew with the agent",
        "maps/change",
        "if before is None and view.highest_fence >= state.incarnation:",
        "if False:",
        f"{ORDER}::test_fencing_tokens_are_higher_than_those_of_the_predecessor",
    ),
    Mutation(
        "a clock set back is not noticed",
        "maps/change",
        "if message.incarnation == context.state.incarnation:",
        "if False:",
        f"{ORDER}::test_clock_set_back_raises_the_incarnation",
    ),
    Mutation(
        "a predecessor's late message raises the incarnation",
        "maps/change",
        "if message.incarnation == context.state.incarnation:",
        "if message.highest_incarnation >= context.state.incarnation:",
        f"{ORDER}::test_delayed_message_of_the_predecessor_raises_no_incarnation",
    ),
    Mutation(
        "a higher incarnation is believed only from one that is current",
        "maps/change",
        "if isinstance(envelope.message, Stale):",
        "if isinstance(envelope.message, Stale) and envelope.incarnation >= known:",
        f"{ORDER}::test_two_clocks_set_back_are_both_noticed",
    ),
    Mutation(
        "a change is proposed while an agent is silent",
        "maps/proposals",
        "elif all(peer in draft.ready for peer in state.peers):",
        "elif True:",
        f"{GROUP}::test_nothing_is_staged_while_an_agent_is_dead",
    ),
    Mutation(
        "a newcomer is told of a change that may be resolved",
        "maps/votes",
        "if state.order_wait is None:",
        "if True:",
        f"{ORDER}::test_new_agent_sends_no_status_while_a_change_may_be_resolved",
    ),
    Mutation(
        "a change found staged waits for its proposer",
        "maps/votes",
        "if tally.found:",
        "if False:",
        f"{RESOLVE}::test_new_agent_asks_at_once_about_a_staged_change",
    ),
    Mutation(
        "the outcome is told before the engine has taken it",
        "maps/votes",
        "if decision is not None and decision.change.ballot != staged:",
        "if decision is not None:",
        f"{RESOLVE}::test_outcome_is_not_sent_before_it_is_applied",
    ),
    Mutation(
        "a proposal may start from any version",
        "maps/proposals",
        "and view.version == base_version",
        "and True",
        f"{GROUP}::test_proposal_from_an_old_version_is_refused",
    ),
    Mutation(
        "holders never ask",
        "maps/votes",
        "return context.now_ms - tally.since_ms >= wait_ms",
        "return False",
        f"{RESOLVE}::test_agent_asks_all_after_the_response_timeout",
    ),
)

MUTATIONS = MAP_CHANGE + request_breaks.table(Mutation) + gateway_breaks.table(Mutation)


def _apply(copy: pathlib.Path, mutation: Mutation) -> None:
    path = copy / "src" / "dotterelplank" / f"{mutation.module}.py"
    lines = path.read_text(encoding="utf-8").splitlines()
    matches = [
        index for index, line in enumerate(lines) if line.strip() == mutation.line
    ]
    if len(matches) != 1:
        raise LookupError(
            f"{mutation.module} holds {len(matches)} times: {mutation.line}"
        )
    line = lines[matches[0]]
    indent = line[: len(line) - len(line.lstrip())]
    lines[matches[0]] = indent + mutation.replacement
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def _run(mutation: Mutation) -> Result:
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder)
        for name in ("src", "tests", "examples"):
            shutil.copytree(ROOT / name, copy / name)
        shutil.copy(ROOT / "pyproject.toml", copy)
        try:
            _apply(copy, mutation)
        except LookupError as error:
            return Result("STALE", str(error))
        return _verdict(copy, mutation)


def _verdict(copy: pathlib.Path, mutation: Mutation) -> Result:
    command = [sys.executable, "-m", "pytest", "-x", "--tb=short", mutation.test]
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
        return Result("HUNG")
    if done.returncode == 0:
        return Result("GREEN")
    if done.returncode == 1:
        return Result("red", _reason(done.stdout))
    return Result("NOT RUN", f"pytest ended with {done.returncode}")


def _reason(output: str) -> str:
    lines = [line for line in output.splitlines() if "Error: " in line]
    return lines[-1].split("Error: ")[-1][:REASON_LENGTH] if lines else ""


def main(words: list[str]) -> int:
    """Run the selected mutations, print a table and return the exit status."""
    chosen = [
        mutation
        for mutation in MUTATIONS
        if all(word in mutation.name for word in words)
    ]
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(_run, chosen))
    for mutation, result in zip(chosen, results):
        print(f"{result.verdict:8} {mutation.module}: {mutation.name}")
        print(f"{'':8} {mutation.test.split('::')[-1]}: {result.reason}")
    failed = [result for result in results if result.verdict != "red"]
    print(f"{len(chosen) - len(failed)} of {len(chosen)} breaks turned their test red")
    return 1 if failed or not chosen else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
