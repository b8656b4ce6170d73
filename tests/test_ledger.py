import collections

import testtools
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from dotterelplank import results
from dotterelplank.daemons import ledger as ledgers
from dotterelplank.daemons.ledger import Answer, Ledger, Policy, Refused, Replay, Run
from dotterelplank.daemons.tickets import Ticket
from dotterelplank.results import Outcome

POLICY = Policy(
    epoch_ms=100.0,
    epochs_accepted=2,
    epochs_remembered=4,
    tickets_per_epoch=5,
    answer_bound_bytes=10,
    answers_bound_bytes=25,
)
ANSWER = Answer(200, (), b"answer")
DIGEST = b"digest"
REACH = collections.Counter()


def ticket(nonce=b"n", epoch=1, incarnation=1, team="crew"):
    return Ticket("crew-ops-1", incarnation, epoch, "orders", team, nonce)


class LedgerTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.ledger = Ledger("crew-ops-1", 1)

    def begin(self, now_ms, used, digest=DIGEST):
        return ledgers.begin(now_ms, self.ledger, used, digest, POLICY)

    def refusal(self, now_ms, used, digest=DIGEST):
        decision = self.begin(now_ms, used, digest)
        self.assertIsInstance(decision, Refused)
        return decision.result

    def test_a_ticket_runs_once_and_is_then_answered_from_the_ledger(self):
        self.assertEqual(Run(), self.begin(0, ticket()))
        self.assertIs(results.IN_PROGRESS, self.refusal(1, ticket()))
        ledgers.finish(2, self.ledger, ticket(), ANSWER, POLICY)
        self.assertEqual(Replay(ANSWER), self.begin(3, ticket()))

    def test_a_ticket_of_an_earlier_incarnation_does_not_run(self):
        old = ticket(incarnation=0)
        self.assertIs(results.TICKET_OF_EARLIER_INCARNATION, self.refusal(0, old))

    def test_another_request_under_the_ticket_is_not_run(self):
        self.begin(0, ticket())
        result = self.refusal(1, ticket(), b"other")
        self.assertIs(results.TICKET_OTHER_REQUEST, result)

    def test_another_team_does_not_get_the_stored_answer(self):
        self.begin(0, ticket())
        ledgers.finish(1, self.ledger, ticket(), ANSWER, POLICY)
        result = self.refusal(2, ticket(team="other"))
        self.assertIs(results.TICKET_OTHER_TEAM, result)

    def test_an_unused_ticket_of_a_retained_epoch_is_reported_as_expired(self):
        self.begin(0, ticket(b"used"))
        for now_ms in (100, 200):
            ledgers.advance(now_ms, self.ledger, POLICY)
        self.assertIs(results.TICKET_EXPIRED, self.refusal(200, ticket(b"unused")))
        self.assertIs(results.IN_PROGRESS, self.refusal(200, ticket(b"used")))

    def test_a_ticket_of_a_dropped_epoch_is_refused(self):
        self.begin(0, ticket())
        for now_ms in (100, 200, 300, 400):
            ledgers.advance(now_ms, self.ledger, POLICY)
        self.assertIs(results.TICKET_FORGOTTEN, self.refusal(400, ticket()))

    def test_a_cancel_that_overtakes_its_request_is_recorded(self):
        self.assertTrue(ledgers.cancel(0, self.ledger, ticket(), POLICY))
        self.assertIs(results.TICKET_CANCELLED, self.refusal(1, ticket()))

    def test_a_started_request_cannot_be_cancelled(self):
        self.begin(0, ticket())
        self.assertFalse(ledgers.cancel(1, self.ledger, ticket(), POLICY))

    def test_a_full_epoch_refuses_new_tickets(self):
        for number in range(5):
            self.begin(0, ticket(bytes([number])))
        self.assertIs(results.ENDPOINT_FULL, self.refusal(0, ticket(b"sixth")))

    def test_a_request_without_a_stored_answer_is_reported_as_done(self):
        self.begin(0, ticket())
        ledgers.finish(1, self.ledger, ticket(), Answer(200, (), b"x" * 11), POLICY)
        self.assertIs(results.DONE_ANSWER_DROPPED, self.refusal(2, ticket()))

    def test_a_request_marked_as_not_run_never_runs_later(self):
        self.begin(0, ticket())
        ledgers.mark_not_run(1, self.ledger, ticket(), POLICY)
        self.assertIs(results.TICKET_CANCELLED, self.refusal(2, ticket()))

    def test_cancels_in_a_full_epoch_hold_without_a_record(self):
        for number in range(5):
            self.begin(0, ticket(bytes([number])))
        self.assertTrue(ledgers.cancel(0, self.ledger, ticket(b"sixth"), POLICY))
        self.assertEqual(5, len(self.ledger.records_by_epoch[1]))
        self.assertIs(results.ENDPOINT_FULL, self.refusal(0, ticket(b"sixth")))


class LedgerMachine(RuleBasedStateMachine):
    """Callers repeat tickets in any order while the agent ages and restarts."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.incarnation = 1
        self.ledger = Ledger("crew-ops-1", 1)
        self.runs = {}
        self.running = {}
        self.minted = []

    @rule(number=st.integers(0, 255))
    def mint(self, number):
        self.minted.append(ticket(bytes([number]), self.ledger.epoch, self.incarnation))

    @precondition(lambda self: self.minted)
    @rule(place=st.integers(0, 5))
    def submit(self, place):
        used = self.minted[-1 - place % len(self.minted)]
        decision = ledgers.begin(self.now_ms, self.ledger, used, DIGEST, POLICY)
        if isinstance(decision, Run):
            self.runs[used] = self.runs.get(used, 0) + 1
            self.running[used] = True
            REACH["run"] += 1
        elif isinstance(decision, Refused):
            told_not_run = decision.result.outcome is Outcome.NOT_RUN
            assert not (told_not_run and used in self.runs), decision
            REACH[decision.result.outcome.value] += 1
        else:
            REACH["repeat"] += 1

    @precondition(lambda self: self.running)
    @rule(place=st.integers(0, 5), size_bytes=st.integers(0, 12))
    def finish(self, place, size_bytes):
        used = sorted(self.running, key=repr)[place % len(self.running)]
        del self.running[used]
        answer = Answer(200, (), b"x" * size_bytes)
        ledgers.finish(self.now_ms, self.ledger, used, answer, POLICY)

    @precondition(lambda self: self.minted)
    @rule(place=st.integers(0, 5))
    def cancel(self, place):
        used = self.minted[-1 - place % len(self.minted)]
        proved = ledgers.cancel(self.now_ms, self.ledger, used, POLICY)
        assert not (proved and used in self.runs)
        REACH["cancelled"] += proved

    @rule(elapsed_ms=st.integers(0, 60))
    def wait(self, elapsed_ms):
        self.now_ms += elapsed_ms
        ledgers.advance(self.now_ms, self.ledger, POLICY)

    @rule(die=st.integers(1, 6))
    def restart(self, die):
        if die < 6:
            return
        self.incarnation += 1
        self.ledger = Ledger("crew-ops-1", self.incarnation, 1, self.now_ms)
        self.running.clear()

    @invariant()
    def each_ticket_ran_at_most_once(self):
        assert all(count == 1 for count in self.runs.values())

    @invariant()
    def memory_is_bounded(self):
        assert len(self.ledger.records_by_epoch) <= POLICY.epochs_remembered
        assert self.ledger.answers_size_bytes <= POLICY.answers_bound_bytes
        kept = [
            len(record.answer.body)
            for records in self.ledger.records_by_epoch.values()
            for record in records.values()
            if record.answer
        ]
        assert sum(kept) == self.ledger.answers_size_bytes


class LedgerMachineTests(testtools.TestCase):
    def test_at_most_once_through_repeats_age_and_restarts(self):
        REACH.clear()
        run_state_machine_as_test(
            LedgerMachine,
            settings=settings(max_examples=150, stateful_step_count=60),
        )
        for reached in ("run", "repeat", "not-run", "outcome-unknown", "cancelled"):
            self.assertGreater(REACH[reached], 20, REACH)
