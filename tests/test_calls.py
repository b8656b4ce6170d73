import testtools

from dotterelplank import defaults, results
from dotterelplank.daemons import calls, tickets
from dotterelplank.daemons.calls import CallRefusedError
from dotterelplank.daemons.tickets import Ticket

KEY = tickets.mint(
    Ticket("a", 1, 1, "orders", "crew", b"n" * 12), b"a secret of sixteen bytes"
)


class TicketedRefusalTests(testtools.TestCase):
    def told(self, result, key=KEY):
        return calls.adjust_for_ticket(key, CallRefusedError(result, "why", 7.0))

    def test_an_entry_never_says_not_run_of_a_ticket(self):
        for result in (results.OVERLOADED, results.STOPPING, results.UNKNOWN_TEAM):
            told = self.told(result)
            self.assertIs(results.TICKET_HOME_NOT_ASKED, told.result)
            self.assertEqual((f"{result.name}: why", 7.0), _rest(told))

    def test_without_a_ticket_an_entry_refuses_as_it_is(self):
        self.assertIs(results.OVERLOADED, self.told(results.OVERLOADED, "").result)
        mine = self.told(results.OVERLOADED, "my-own-key")
        self.assertIs(results.OVERLOADED, mine.result)

    def test_a_ticket_of_another_team_is_refused_as_it_is(self):
        told = self.told(results.TICKET_OTHER_TEAM)
        self.assertIs(results.TICKET_OTHER_TEAM, told.result)

    def test_only_service_calls_come_under_a_ticket(self):
        environ = {"HTTP_IDEMPOTENCY_KEY": KEY, "PATH_INFO": "/services/orders/a"}
        self.assertEqual(KEY, calls.ticket_of(environ))
        environ["PATH_INFO"] = defaults.CHAT_PATH
        self.assertEqual("", calls.ticket_of(environ))


def _rest(error):
    return error.detail, error.retry_after_ms
