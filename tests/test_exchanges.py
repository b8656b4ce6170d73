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
from dotterelplank.daemons import exchanges
from dotterelplank.daemons.exchanges import (
    CallerGone,
    CancelAt,
    Choose,
    Chosen,
    Complete,
    Exchange,
    GiveUp,
    Lost,
    Phase,
    RelayData,
    RelayHead,
    Send,
    Tick,
)
from dotterelplank.links.messages import Begin, Chunk, End, Refuse
from dotterelplank.results import Outcome

HEAD = Begin(1, 200, ())


def exchange(**changes):
    fields = {
        "repeatable": True,
        "resumable": True,
        "home": None,
        "stream": True,
        "deadline_at_ms": 1000.0,
    }
    return Exchange(**{**fields, **changes})


def last_commands(subject, *events, now_ms=0.0):
    """Return the commands that the last of ``events`` caused."""
    commands = exchanges.start(subject)
    for event in events:
        commands = exchanges.decide(now_ms, subject, event)
    return commands


def refuse(result):
    return Refuse(1, result.number, 700.0)


class ExchangeTests(testtools.TestCase):
    def test_a_stream_is_relayed_to_its_end(self):
        subject = exchange()
        self.assertEqual([Send("a", 0)], last_commands(subject, Chosen("a")))
        self.assertEqual([RelayHead(HEAD)], exchanges.decide(1, subject, HEAD))
        chunk = Chunk(1, 0, 2, b"tokens")
        self.assertEqual([RelayData(b"tokens")], exchanges.decide(2, subject, chunk))
        self.assertEqual([Complete(HEAD, b"")], exchanges.decide(3, subject, End(1, 1)))

    def test_a_lost_stream_is_resumed_after_the_tokens_relayed(self):
        subject = exchange()
        chunk = Chunk(1, 0, 2, b"tokens")
        commands = last_commands(subject, Chosen("a"), HEAD, chunk, Lost(written=True))
        self.assertEqual([Choose(None, frozenset({"a"}), is_retry=True)], commands)
        self.assertEqual([Send("b", 2)], exchanges.decide(0, subject, Chosen("b")))
        self.assertEqual([], exchanges.decide(0, subject, HEAD))

    def test_a_lost_stream_that_is_not_resumable_ends_with_a_result(self):
        subject = exchange(resumable=False)
        chunk = Chunk(1, 0, 2, b"tokens")
        (command,) = last_commands(
            subject, Chosen("a"), HEAD, chunk, Lost(written=True)
        )
        self.assertIs(results.ENDPOINT_LOST, command.result)

    def test_an_end_with_a_missing_chunk_is_not_a_complete_answer(self):
        subject = exchange(resumable=False)
        (command,) = last_commands(subject, Chosen("a"), HEAD, End(1, 1))
        self.assertIs(results.STREAM_CUT, command.result)

    def test_a_chunk_received_twice_is_relayed_once(self):
        subject = exchange()
        chunk = Chunk(1, 0, 2, b"tokens")
        self.assertEqual([], last_commands(subject, Chosen("a"), HEAD, chunk, chunk))
        self.assertEqual(1, subject.duplicates_dropped)

    def test_a_gap_in_the_chunks_moves_the_stream_to_another_endpoint(self):
        subject = exchange()
        commands = last_commands(subject, Chosen("a"), HEAD, Chunk(1, 1, 2, b"later"))
        self.assertEqual(CancelAt("a"), commands[0])
        self.assertEqual(Choose(None, frozenset({"a"}), True), commands[1])

    def test_a_sent_order_is_never_retried(self):
        subject = exchange(repeatable=False, home="a", stream=False)
        (command,) = last_commands(subject, Chosen("a"), Lost(written=True))
        self.assertIs(results.ENDPOINT_LOST, command.result)

    def test_an_unsent_order_is_not_reported_as_not_run(self):
        subject = exchange(repeatable=False, home="a", stream=False)
        (command,) = last_commands(subject, Chosen("a"), Lost(written=False))
        self.assertIs(results.TICKET_HOME_NOT_ASKED, command.result)

    def test_a_refusal_after_the_answer_began_does_not_mean_not_run(self):
        subject = exchange(repeatable=False, home="a", stream=False)
        (command,) = last_commands(
            subject, Chosen("a"), HEAD, refuse(results.ENDPOINT_FULL)
        )
        self.assertIs(results.ENDPOINT_LOST, command.result)

    def test_a_late_choice_of_the_home_leaves_the_outcome_unknown(self):
        subject = exchange(repeatable=False, home="a", stream=False)
        (command,) = last_commands(subject, Chosen("a"), now_ms=1000.0)
        self.assertIs(results.TICKET_HOME_NOT_ASKED, command.result)

    def test_an_unsent_idempotent_request_was_not_run(self):
        subject = exchange(attempt_limit=1)
        (command,) = last_commands(subject, Chosen("a"), Lost(written=False))
        self.assertIs(results.ENDPOINT_UNREACHABLE, command.result)

    def test_an_unreachable_home_leaves_the_outcome_unknown(self):
        subject = exchange(repeatable=False, home="a", stream=False)
        (command,) = last_commands(subject, Chosen(None, 700.0))
        self.assertEqual(GiveUp(results.TICKET_HOME_UNREACHABLE, 700.0), command)

    def test_a_request_refused_as_not_run_is_retried_elsewhere(self):
        subject = exchange()
        commands = last_commands(subject, Chosen("a"), refuse(results.ENDPOINT_LEAVING))
        self.assertEqual([Choose(None, frozenset({"a"}), True)], commands)

    def test_an_attempt_that_may_have_run_is_never_reported_as_not_run(self):
        subject = exchange()
        commands = last_commands(
            subject, Chosen("a"), Lost(written=True), Chosen(None, 700.0)
        )
        self.assertEqual([GiveUp(results.ENDPOINT_LOST, 700.0)], commands)

    def test_a_cancel_at_the_deadline_can_confirm_that_nothing_ran(self):
        subject = exchange()
        last_commands(subject, Chosen("a"))
        commands = exchanges.decide(1000.0, subject, Tick())
        self.assertEqual([CancelAt("a")], commands)
        proof = refuse(results.DEADLINE_BEFORE_START)
        (command,) = exchanges.decide(1001.0, subject, proof)
        self.assertIs(results.DEADLINE_BEFORE_START, command.result)

    def test_an_unanswered_cancel_leaves_the_outcome_unknown(self):
        subject = exchange()
        last_commands(subject, Chosen("a"))
        exchanges.decide(1000.0, subject, Tick())
        wake_ms = exchanges.next_wake_ms(subject)
        self.assertEqual([], exchanges.decide(wake_ms - 1, subject, Tick()))
        (command,) = exchanges.decide(wake_ms, subject, Tick())
        self.assertIs(results.DEADLINE_AFTER_START, command.result)

    def test_a_request_is_cancelled_when_its_caller_disconnects(self):
        subject = exchange()
        commands = last_commands(subject, Chosen("a"), HEAD, CallerGone())
        self.assertEqual([CancelAt("a")], commands)
        self.assertEqual([], exchanges.decide(0, subject, End(1, 0)))

    def test_the_stop_bound_ends_a_request_without_a_retry(self):
        subject = exchange()
        commands = last_commands(subject, Chosen("a"), HEAD, exchanges.StopBound())
        self.assertEqual(CancelAt("a"), commands[0])
        self.assertIs(results.STOP_BOUND, commands[1].result)
        self.assertEqual(2, len(commands))

    def test_a_choice_other_than_the_home_violates_an_invariant(self):
        subject = exchange(home="a")
        self.assertRaises(
            exchanges.InvariantError, exchanges.decide, 0, subject, Chosen("b")
        )


REACH = collections.Counter()
TOKENS = 12


class ExchangeMachine(RuleBasedStateMachine):
    """Endpoints that run, refuse, die, repeat and reorder, seen from one exchange.

    The model knows what truly ran; the caller's view must never contradict it.
    """

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.subject = None

    @precondition(lambda self: self.is_idle)
    @rule(repeatable=st.booleans(), resumable=st.booleans(), stream=st.booleans())
    def begin(self, repeatable, resumable, stream):
        home = None if repeatable else "a"
        stream = stream and repeatable
        self.subject = exchange(
            repeatable=repeatable,
            resumable=resumable,
            home=home,
            stream=stream,
            deadline_at_ms=self.now_ms + 500,
        )
        self.ran = 0
        self.started_here = False
        self.caller = b""
        self.sent_tokens = 0
        self.sequence = 0
        self.head_sent = False
        self.final = None
        self.pending = list(exchanges.start(self.subject))

    def feed(self, event):
        self.take(exchanges.decide(self.now_ms, self.subject, event))

    def take(self, commands):
        for command in commands:
            assert self.final is None or isinstance(command, CancelAt)
            match command:
                case Send(_, resume_from):
                    REACH["sent"] += 1
                    assert not (self.ran and not self.subject.repeatable)
                    assert resume_from == self.caller.count(b".")
                    self.started_here = False
                    self.sent_tokens = resume_from
                    self.sequence = 0
                    self.head_sent = False
                case RelayData(data):
                    self.caller += data
                case Complete(_, body):
                    self.final = "done"
                    whole = self.caller if self.subject.stream else body
                    assert whole == self.text(0, TOKENS), whole
                    REACH["whole"] += 1
                    REACH["resumed"] += self.subject.attempts > 1
                case GiveUp(result):
                    self.final = result
                    REACH[result.outcome.value] += 1
                    if result.outcome is Outcome.NOT_RUN:
                        assert not self.ran, result
                case Choose():
                    self.pending = [command]

    @staticmethod
    def text(start, end):
        return b"".join(b"%d." % number for number in range(start, end))

    @property
    def is_idle(self):
        return self.subject is None or self.subject.phase is Phase.OVER

    @property
    def is_choosing(self):
        return self.subject is not None and self.subject.phase is Phase.CHOOSING

    @property
    def is_sent(self):
        live = (Phase.SENT, Phase.RELAYING, Phase.CANCELLING)
        return self.subject is not None and self.subject.phase in live

    @precondition(lambda self: self.is_choosing)
    @rule(host=st.sampled_from(["a", "b", "c", None]))
    def choose(self, host):
        home = self.subject.home
        if host is not None and home is not None:
            host = home
        self.feed(Chosen(host))

    @precondition(lambda self: self.is_sent and not self.started_here)
    @rule()
    def endpoint_starts(self):
        if self.is_sent and not self.started_here:
            self.started_here = True
            self.ran += 1
            assert self.subject.repeatable or self.ran == 1

    @precondition(
        lambda self: self.is_sent and self.started_here and not self.head_sent
    )
    @rule()
    def endpoint_answers(self):
        if self.is_sent and self.started_here and not self.head_sent:
            self.head_sent = True
            self.feed(HEAD)

    @precondition(lambda self: self.is_sent and self.head_sent)
    @rule(count=st.integers(1, 12), twice=st.booleans(), skip=st.booleans())
    def endpoint_sends(self, count, twice, skip):
        if not (self.is_sent and self.head_sent):
            return
        end = min(TOKENS, self.sent_tokens + count)
        data = self.text(self.sent_tokens, end)
        chunk = Chunk(1, self.sequence + skip, end - self.sent_tokens, data)
        self.feed(chunk)
        if not skip and self.is_sent:
            if twice:
                self.feed(chunk)
            self.sent_tokens = end
            self.sequence += 1

    @precondition(lambda self: self.is_sent and self.head_sent)
    @rule()
    def endpoint_ends(self):
        if self.is_sent and self.head_sent and self.sent_tokens == TOKENS:
            self.feed(End(1, self.sequence))

    @precondition(lambda self: self.is_sent)
    @rule()
    def endpoint_finishes(self):
        self.endpoint_starts()
        self.endpoint_answers()
        self.endpoint_sends(TOKENS, twice=False, skip=False)
        self.endpoint_ends()

    @precondition(lambda self: self.is_sent and self.head_sent)
    @rule()
    def endpoint_truncates(self):
        if self.is_sent and self.head_sent:
            self.feed(End(1, self.sequence + 1))

    @precondition(lambda self: self.is_sent and not self.started_here)
    @rule(
        result=st.sampled_from(
            [
                results.ENDPOINT_LEAVING,
                results.ENDPOINT_FULL,
                results.TICKET_EXPIRED,
                results.DEADLINE_BEFORE_START,
            ]
        )
    )
    def endpoint_refuses(self, result):
        if self.is_sent and not self.started_here:
            self.feed(refuse(result))

    @precondition(lambda self: self.is_sent)
    @rule(written=st.booleans())
    def stream_to_endpoint_breaks(self, written):
        if self.is_sent and (written or not self.started_here):
            self.feed(Lost(written))

    @precondition(lambda self: not self.is_idle)
    @rule(elapsed_ms=st.integers(1, 200))
    def wait(self, elapsed_ms):
        self.now_ms += elapsed_ms
        self.feed(Tick())

    @precondition(lambda self: self.is_sent and self.subject.attempts > 1)
    @rule()
    def caller_hangs_up(self):
        self.feed(CallerGone())

    @invariant()
    def what_the_caller_holds_is_a_prefix_of_its_own_answer(self):
        if self.subject is not None:
            assert self.text(0, TOKENS).startswith(self.caller)


class ExchangeMachineTests(testtools.TestCase):
    def test_no_answer_contradicts_what_ran(self):
        REACH.clear()
        run_state_machine_as_test(
            ExchangeMachine,
            settings=settings(max_examples=400, stateful_step_count=60),
        )
        for reached in ("sent", "whole", "resumed", "not-run", "outcome-unknown"):
            self.assertGreater(REACH[reached], 20, REACH)
