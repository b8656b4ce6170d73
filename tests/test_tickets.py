import testtools
from hypothesis import given, strategies as st

from dotterelplank.daemons import tickets
from dotterelplank.daemons.tickets import Ticket

SECRET = b"a secret of sixteen bytes or more"
TICKET = Ticket("crew-ops-1", 77, 3, "crew-operations", "crew-north", b"n" * 12)


class TicketTests(testtools.TestCase):
    def test_a_minted_ticket_is_read_unchanged(self):
        self.assertEqual(TICKET, tickets.read(tickets.mint(TICKET, SECRET), SECRET))

    def test_a_ticket_of_another_secret_is_not_read(self):
        text = tickets.mint(TICKET, b"another secret of theirs")
        self.assertIsNone(tickets.read(text, SECRET))

    @given(st.text(max_size=80))
    def test_no_text_of_a_caller_is_taken_for_a_ticket(self, text):
        self.assertIsNone(tickets.read(tickets.PREFIX + text, SECRET))
        self.assertIsNone(tickets.read(text, SECRET))

    @given(st.integers(0, 200), st.characters(codec="ascii"))
    def test_a_changed_ticket_is_not_read(self, place, character):
        text = tickets.mint(TICKET, SECRET)
        place %= len(text)
        changed = text[:place] + character + text[place + 1 :]
        read = tickets.read(changed, SECRET)
        self.assertIn(read, (None, TICKET))
        self.assertTrue(read is None or _same_bits(changed, text))


def _same_bits(changed, text):
    # The last character of base64 may contain bits that encode nothing.
    return changed[:-1] == text[:-1]
