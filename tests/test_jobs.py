import testtools

from dotterelplank import results
from dotterelplank.daemons import jobs, ledger as ledgers, tickets
from dotterelplank.daemons.jobs import AgentState, Progress, Reject, SendAnswer, Start
from dotterelplank.daemons.ledger import Answer, Ledger
from dotterelplank.daemons.tickets import Ticket
from dotterelplank.links.messages import Submit

SECRET = b"a secret of sixteen bytes or more"
TICKET = Ticket("crew-ops-1", 1, 1, "orders", "crew", b"n" * 12)
ANSWER = Answer(200, (), b"answer")


def submit(ticket=TICKET, team="crew", secret=SECRET, target="orders"):
    key = tickets.mint(ticket, secret).encode() if ticket else b""
    fields = ("POST", "/closures", (), b"lane 2", False, 0)
    return Submit(1, target, team, key, 100.0, 0, "", *fields)


class JobTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.state = AgentState(Ledger("crew-ops-1", 1), SECRET, slots=1)

    def accept(self, asked, now_ms=0.0):
        return jobs.accept(now_ms, self.state, asked, b"digest")

    def record_outcome(self, result, answer=None):
        jobs.record_outcome(1.0, self.state, TICKET, result, answer)
        jobs.release_slot(self.state)

    def assert_turned_away(self, result, asked):
        verdict = self.accept(asked)
        self.assertIsInstance(verdict, Reject)
        self.assertIs(result, verdict.result)

    def test_a_full_agent_turns_idempotent_work_away(self):
        self.assertEqual(Start(None), self.accept(submit(None)))
        self.assert_turned_away(results.ENDPOINT_FULL, submit(None))

    def test_a_ticket_turned_away_as_full_does_not_run_when_there_is_room(self):
        self.accept(submit(None))
        self.assert_turned_away(results.ENDPOINT_FULL, submit())
        jobs.release_slot(self.state)
        self.assert_turned_away(results.TICKET_CANCELLED, submit())

    def test_a_leaving_agent_answers_a_known_ticket_and_starts_no_other(self):
        self.accept(submit())
        self.record_outcome(results.DONE, ANSWER)
        self.state.is_leaving = True
        self.assertEqual(SendAnswer(ANSWER), self.accept(submit()))
        other = Ticket("crew-ops-1", 1, 1, "orders", "crew", b"m" * 12)
        self.assert_turned_away(results.ENDPOINT_LEAVING, submit(other))

    def test_a_full_agent_answers_a_known_ticket(self):
        self.accept(submit())
        self.record_outcome(results.DONE, ANSWER)
        self.accept(submit(None))
        self.assertEqual(SendAnswer(ANSWER), self.accept(submit()))

    def test_an_endpoint_that_was_not_reached_leaves_the_ticket_spent(self):
        self.accept(submit())
        self.record_outcome(results.ENDPOINT_UNREACHABLE)
        self.assert_turned_away(results.TICKET_CANCELLED, submit())

    def test_a_lost_call_leaves_the_outcome_unknown_for_good(self):
        self.accept(submit())
        self.record_outcome(results.ENDPOINT_LOST)
        self.assert_turned_away(results.ENDPOINT_LOST, submit())

    def test_a_ticket_of_another_secret_or_team_is_not_run(self):
        forged = submit(secret=b"another secret of theirs")
        self.assert_turned_away(results.TICKET_INVALID, forged)
        self.assert_turned_away(results.TICKET_OTHER_TEAM, submit(team="audit"))

    def test_a_ticket_of_another_service_is_not_run(self):
        asked = submit(target="stock")
        self.assert_turned_away(results.TICKET_OTHER_REQUEST, asked)

    def test_a_cancel_before_the_start_proves_that_nothing_runs(self):
        progress = Progress()
        self.assertFalse(jobs.cancel(progress))
        self.assertFalse(jobs.may_send(progress))

    def test_a_cancel_after_the_start_proves_nothing(self):
        progress = Progress()
        self.assertTrue(jobs.may_send(progress))
        self.assertTrue(jobs.cancel(progress))

    def test_a_cancelled_ticket_stays_cancelled(self):
        self.accept(submit())
        self.record_outcome(results.DEADLINE_BEFORE_START)
        policy = self.state.ledger_policy
        self.assertTrue(ledgers.cancel(2.0, self.state.ledger, TICKET, policy))
        self.assert_turned_away(results.TICKET_CANCELLED, submit())
