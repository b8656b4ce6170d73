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

    def accept(self, request, now_ms=0.0):
        return jobs.accept(now_ms, self.state, request, b"digest")

    def record_outcome(self, result, answer=None):
        jobs.record_outcome(1.0, self.state, TICKET, result, answer)
        jobs.release_slot(self.state)

    def assert_rejected(self, result, request):
        decision = self.accept(request)
        self.assertIsInstance(decision, Reject)
        self.assertIs(result, decision.result)

    def test_a_full_agent_rejects_an_idempotent_request(self):
        self.assertEqual(Start(None), self.accept(submit(None)))
        self.assert_rejected(results.ENDPOINT_FULL, submit(None))

    def test_a_ticket_rejected_by_a_full_agent_never_runs(self):
        self.accept(submit(None))
        self.assert_rejected(results.ENDPOINT_FULL, submit())
        jobs.release_slot(self.state)
        self.assert_rejected(results.TICKET_CANCELLED, submit())

    def test_a_leaving_agent_answers_a_known_ticket_and_starts_no_other(self):
        self.accept(submit())
        self.record_outcome(results.DONE, ANSWER)
        self.state.is_leaving = True
        self.assertEqual(SendAnswer(ANSWER), self.accept(submit()))
        other = Ticket("crew-ops-1", 1, 1, "orders", "crew", b"m" * 12)
        self.assert_rejected(results.ENDPOINT_LEAVING, submit(other))

    def test_a_full_agent_answers_a_known_ticket(self):
        self.accept(submit())
        self.record_outcome(results.DONE, ANSWER)
        self.accept(submit(None))
        self.assertEqual(SendAnswer(ANSWER), self.accept(submit()))

    def test_a_ticket_is_cancelled_if_the_endpoint_was_not_reached(self):
        self.accept(submit())
        self.record_outcome(results.ENDPOINT_UNREACHABLE)
        self.assert_rejected(results.TICKET_CANCELLED, submit())

    def test_the_outcome_of_a_lost_call_stays_unknown(self):
        self.accept(submit())
        self.record_outcome(results.ENDPOINT_LOST)
        self.assert_rejected(results.ENDPOINT_LOST, submit())

    def test_a_ticket_of_another_secret_or_team_is_not_run(self):
        forged = submit(secret=b"another secret of theirs")
        self.assert_rejected(results.TICKET_INVALID, forged)
        self.assert_rejected(results.TICKET_OTHER_TEAM, submit(team="audit"))

    def test_a_ticket_of_another_service_is_not_run(self):
        request = submit(target="stock")
        self.assert_rejected(results.TICKET_OTHER_REQUEST, request)

    def test_a_request_cancelled_before_the_start_is_not_sent(self):
        progress = Progress()
        self.assertFalse(jobs.cancel(progress))
        self.assertFalse(jobs.may_send(progress))

    def test_a_request_cancelled_after_the_start_may_have_been_sent(self):
        progress = Progress()
        self.assertTrue(jobs.may_send(progress))
        self.assertTrue(jobs.cancel(progress))

    def test_a_cancelled_ticket_stays_cancelled(self):
        self.accept(submit())
        self.record_outcome(results.DEADLINE_BEFORE_START)
        policy = self.state.ledger_policy
        self.assertTrue(ledgers.cancel(2.0, self.state.ledger, TICKET, policy))
        self.assert_rejected(results.TICKET_CANCELLED, submit())
