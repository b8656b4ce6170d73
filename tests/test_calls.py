import testtools

from dotterelplank import defaults, results
from dotterelplank.daemons import calls, tickets
from dotterelplank.daemons.calls import CallRefusedError
from dotterelplank.daemons.tickets import Ticket

KEY = tickets.mint(
    Ticket("a", 1, 1, "orders", "crew", b"n" * 12), b"a secret of sixteen bytes"
)


class TicketedRefusalTests(testtools.TestCase):
    def refused(self, result, key=KEY):
        return calls.adjust_for_ticket(key, CallRefusedError(result, "why", 7.0))

    def test_an_entry_does_not_report_not_run_for_a_ticket(self):
        for result in (results.OVERLOADED, results.STOPPING, results.UNKNOWN_TEAM):
            refused = self.refused(result)
            self.assertIs(results.TICKET_HOME_NOT_ASKED, refused.result)
            self.assertEqual(
                (f"{result.name}: why", 7.0), _detail_and_retry_after(refused)
            )

    def test_a_refusal_without_a_ticket_is_unchanged(self):
        self.assertIs(results.OVERLOADED, self.refused(results.OVERLOADED, "").result)
        refused = self.refused(results.OVERLOADED, "my-own-key")
        self.assertIs(results.OVERLOADED, refused.result)

    def test_a_refusal_of_another_teams_ticket_is_unchanged(self):
        refused = self.refused(results.TICKET_OTHER_TEAM)
        self.assertIs(results.TICKET_OTHER_TEAM, refused.result)

    def test_only_service_calls_have_a_ticket(self):
        environ = {"HTTP_IDEMPOTENCY_KEY": KEY, "PATH_INFO": "/services/orders/a"}
        self.assertEqual(KEY, calls.ticket_of(environ))
        environ["PATH_INFO"] = defaults.CHAT_PATH
        self.assertEqual("", calls.ticket_of(environ))


def _detail_and_retry_after(error):
    return error.detail, error.retry_after_ms
