"""Evidence on prompt parts that crash endpoints, as entries collect and share it."""

import testtools
from test_gateway_decisions import endpoint

from dotterelplank.gateway import crash_reports
from dotterelplank.gateway.crashes import SERVED_VALIDITY_MS, Prompt
from dotterelplank.gateway.head_gaps import MIN_ANSWERS
from dotterelplank.gateway.probes import Probes
from dotterelplank.gateway.suspects import (
    MAX_CRASHES,
    MAX_SERVED_PARTS,
    MAX_SUSPECT_PARTS,
    Suspects,
    Verdict,
)

NOW_MS = 100_000.0


def prompt(parts, own=None):
    return Prompt(tuple(parts), own)


def crashed(
    suspects,
    parts,
    *,
    at_ms=NOW_MS,
    name="e1",
    sent_ms=None,
    has_head=False,
    events=0,
    own=None,
):
    sent_ms = at_ms - 100.0 if sent_ms is None else sent_ms
    return suspects.record_crash(
        at_ms, endpoint(name), sent_ms, prompt(parts, own), has_head, events
    )


class VerdictTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.suspects = Suspects()

    def _verdict(self, *parts, at_ms=NOW_MS + 1.0):
        return self.suspects.judge(at_ms, prompt(parts)).verdict

    def test_a_part_is_suspect_after_one_crash_and_refused_after_the_next(self):
        self.suspects.record_served(NOW_MS - 1.0, prompt(["good"]))
        crashed(self.suspects, ["good", "bad"])
        self.assertIs(Verdict.SUSPECT, self._verdict("other", "bad"))
        self.assertIs(Verdict.CLEAR, self._verdict("good"))
        crashed(self.suspects, ["good", "bad"], at_ms=NOW_MS + 500.0, name="e2")
        self.assertIs(Verdict.LIKELY, self._verdict("other", "bad"))
        self.assertIs(Verdict.CLEAR, self._verdict("good", "other"))

    def test_endpoints_that_crash_together_count_once(self):
        for number in range(5):
            crashed(self.suspects, ["rare"], name=f"e{number}", at_ms=NOW_MS + number)
        self.assertIs(Verdict.SUSPECT, self._verdict("rare"))

    def test_a_part_that_crashes_servers_after_some_events_is_found(self):
        # Review case 2: a first event doesn't show that a part is sound.
        for number in range(2):
            at_ms = NOW_MS + 500.0 * number
            self.suspects.record_served(at_ms - 5.0, prompt(["bad"]), 1)
            crashed(self.suspects, ["bad"], at_ms=at_ms, name=f"e{number}", events=1)
        self.assertIs(Verdict.LIKELY, self._verdict("bad"))

    def test_an_answer_well_past_the_stage_of_a_crash_clears_the_parts(self):
        crashed(self.suspects, ["rare"], events=1)
        self.assertFalse(self.suspects.record_served(NOW_MS + 8.0, prompt(["rare"]), 4))
        self.assertIs(Verdict.SUSPECT, self._verdict("rare"))
        self.assertTrue(self.suspects.record_served(NOW_MS + 9.0, prompt(["rare"]), 5))
        self.assertIs(Verdict.CLEAR, self._verdict("rare"))

    def test_an_answer_that_got_far_is_no_evidence_alone(self):
        for number, verdict in enumerate(
            (Verdict.CLEAR, Verdict.SUSPECT, Verdict.LIKELY)
        ):
            at_ms = NOW_MS + 500.0 * number
            crashed(self.suspects, ["rare"], at_ms=at_ms, name=f"e{number}", events=9)
            self.assertIs(verdict, self._verdict("rare"))

    def test_a_short_answer_later_doesn_t_hide_that_one_came_to_its_end(self):
        self.suspects.record_served(NOW_MS - 9.0, prompt(["rare"]))
        self.suspects.record_served(NOW_MS - 1.0, prompt(["rare"]), 1)
        self.assertIsNone(crashed(self.suspects, ["rare"], events=9))

    def test_the_end_of_an_answer_clears_the_parts_of_its_call(self):
        crashed(self.suspects, ["rare"])
        self.assertTrue(self.suspects.record_served(NOW_MS + 9.0, prompt(["rare"])))
        self.assertIs(Verdict.CLEAR, self._verdict("rare"))

    def test_a_part_that_was_served_long_ago_is_suspect(self):
        self.suspects.record_served(NOW_MS - SERVED_VALIDITY_MS - 1.0, prompt(["bad"]))
        crashed(self.suspects, ["bad"])
        self.assertIs(Verdict.SUSPECT, self._verdict("bad"))

    def test_only_calls_with_all_parts_in_question_are_rejected(self):
        crashed(self.suspects, ["a", "b"])
        crashed(self.suspects, ["a", "b"], at_ms=NOW_MS + 500.0, name="e2")
        self.assertIs(Verdict.LIKELY, self._verdict("a", "b"))
        self.assertIs(Verdict.SUSPECT, self._verdict("a"))

    def test_a_crash_while_answering_the_call_is_conclusive(self):
        for _ in range(MIN_ANSWERS):
            self.suspects.head_gaps.record("drafts", 100.0, 101.0)
        crashed(self.suspects, ["rare"])
        crashed(self.suspects, ["bad"], has_head=True)
        self.assertIs(Verdict.LIKELY, self._verdict("bad"))
        self.assertIs(Verdict.CLEAR, self._verdict("rare"))

    def test_a_head_shows_nothing_if_heads_come_long_before_events(self):
        for _ in range(MIN_ANSWERS):
            self.suspects.head_gaps.record("drafts", 10.0, 100.0)
        crashed(self.suspects, ["bad"], has_head=True)
        self.assertIs(Verdict.SUSPECT, self._verdict("bad"))

    def test_the_state_is_bounded(self):
        for number in range(MAX_SERVED_PARTS + 5):
            self.suspects.record_served(NOW_MS, prompt([f"served-{number}"]))
        for number in range(MAX_CRASHES + 5):
            crashed(self.suspects, [f"bad-{number}"], name=f"e{number}")
        self.assertEqual(MAX_SERVED_PARTS, len(self.suspects.served))
        self.assertEqual(MAX_CRASHES, len(self.suspects.crashes))

    def test_the_number_of_parts_is_bounded(self):
        for number in range(3):
            parts = [f"{number}-{part}" for part in range(MAX_SUSPECT_PARTS // 2)]
            crashed(self.suspects, parts, name=f"e{number}", at_ms=NOW_MS + number)
        self.assertEqual(2, len(self.suspects.crashes))

    def test_the_evidence_stays_while_calls_come(self):
        crashed(self.suspects, ["bad"])
        for minute in range(1, 60):
            self._verdict("bad", at_ms=NOW_MS + minute * 60_000.0)
            self.suspects.expire(NOW_MS + minute * 60_000.0)
        self.assertIs(Verdict.SUSPECT, self._verdict("bad", at_ms=NOW_MS + 3.7e6))
        self.suspects.expire(NOW_MS + 1e7)
        self.assertEqual({}, self.suspects.crashes)


class TrialTests(testtools.TestCase):
    """A part that is refused is tried again, ever more rarely."""

    def setUp(self):
        super().setUp()
        self.suspects = Suspects()

    def _crash(self, at_ms, *, has_head=False):
        crashed(
            self.suspects, ["bad"], at_ms=at_ms, name=f"e{at_ms}", has_head=has_head
        )

    def _judge(self, at_ms):
        return self.suspects.judge(at_ms, prompt(["bad"]))

    def _tried_at_ms(self, now_ms):
        """Return when a call with the part may be sent again."""
        judgement = self._judge(now_ms)
        self.assertIsNot(Verdict.SUSPECT, judgement.verdict)
        due_ms = now_ms + judgement.retry_ms
        self.assertIs(Verdict.SUSPECT, self._judge(due_ms).verdict)
        return due_ms

    def test_a_sound_part_is_served_again_after_one_trial(self):
        # Two servers crashed with the only calls of a part; both are sound again.
        self._crash(NOW_MS)
        self._crash(NOW_MS + 500.0)
        due_ms = self._tried_at_ms(NOW_MS + 501.0)
        self.assertLessEqual(due_ms - NOW_MS, 11_000.0)
        self.suspects.record_served(due_ms + 50.0, prompt(["bad"]))
        self.assertIs(Verdict.CLEAR, self._judge(due_ms + 51.0).verdict)

    def test_a_part_that_crashes_servers_costs_four_crashes_in_ten_minutes(self):
        for has_head in (False, True):
            self.suspects = Suspects()
            for _ in range(MIN_ANSWERS):
                self.suspects.head_gaps.record("drafts", 100.0, 101.0)
            at_ms, crashes = NOW_MS, 0
            while at_ms < NOW_MS + 600_000.0:
                self._crash(at_ms, has_head=has_head)
                crashes += 1
                if self._judge(at_ms + 1.0).verdict is Verdict.SUSPECT:
                    at_ms += 200.0
                else:
                    at_ms = self._tried_at_ms(at_ms + 1.0)
            self.assertLessEqual(crashes, 4)

    def test_callers_are_told_to_stay_away_only_by_strong_evidence(self):
        for number in range(3):
            self._crash(NOW_MS + 100.0 * number)
            self.assertIsNot(Verdict.PROVEN, self._judge(NOW_MS + 350.0).verdict)
        self._crash(NOW_MS + 400.0)
        self.assertIs(Verdict.PROVEN, self._judge(NOW_MS + 450.0).verdict)


class RepeatTests(testtools.TestCase):
    """A prompt whose shared parts are sound may crash endpoints itself."""

    def setUp(self):
        super().setUp()
        self.suspects = Suspects()
        self.suspects.record_served(NOW_MS - 1.0, prompt(["sound"]))

    def _crash(self, at_ms, **fields):
        name = f"e{at_ms}"
        crashed(self.suspects, ["sound"], own="bad", at_ms=at_ms, name=name, **fields)

    def _verdict(self, own, at_ms):
        return self.suspects.judge(at_ms, prompt(["sound"], own)).verdict

    def test_repeats_are_refused_after_two_crashes_and_no_other_call_is(self):
        self._crash(NOW_MS)
        self.assertIs(Verdict.CLEAR, self._verdict("bad", NOW_MS + 1.0))
        self._crash(NOW_MS + 500.0)
        self.assertIs(Verdict.LIKELY, self._verdict("bad", NOW_MS + 501.0))
        self.assertIs(Verdict.CLEAR, self._verdict("other", NOW_MS + 501.0))
        self.assertIs(Verdict.CLEAR, self._verdict(None, NOW_MS + 501.0))

    def test_one_crash_while_answering_the_prompt_is_enough(self):
        for _ in range(MIN_ANSWERS):
            self.suspects.head_gaps.record("drafts", 100.0, 101.0)
        self._crash(NOW_MS, has_head=True)
        self.assertIs(Verdict.LIKELY, self._verdict("bad", NOW_MS + 1.0))

    def test_a_repeat_that_is_served_clears_the_prompt(self):
        self._crash(NOW_MS)
        self.suspects.record_served(NOW_MS + 100.0, prompt(["sound"], "bad"))
        self._crash(NOW_MS + 500.0)
        self.assertIs(Verdict.CLEAR, self._verdict("bad", NOW_MS + 501.0))

    def test_peers_are_told_of_the_prompt(self):
        there = Suspects()
        there.record_served(NOW_MS - 1.0, prompt(["sound"]))
        for number in range(2):
            at_ms = NOW_MS + 500.0 * number
            self._crash(at_ms)
            reports = crash_reports.make_reports(at_ms + 1.0, self.suspects)
            crash_reports.merge(at_ms + 1.0, there, reports)
        judgement = there.judge(NOW_MS + 502.0, prompt(["sound"], "bad"))
        self.assertIs(Verdict.LIKELY, judgement.verdict)


class ShareTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.here, self.there = Suspects(), Suspects()

    def _report(self, *, from_here, age_ms=5.0):
        giver, taker = self.here, self.there
        if not from_here:
            giver, taker = taker, giver
        now_ms = NOW_MS + age_ms
        reports = crash_reports.make_reports(now_ms, giver)
        return crash_reports.merge(now_ms, taker, reports)

    def test_crashes_of_two_entries_add_up(self):
        crashed(self.here, ["bad"])
        self.assertFalse(self._report(from_here=True))
        crashed(self.there, ["bad"], at_ms=NOW_MS + 500.0, name="e2")
        self.assertIs(
            Verdict.LIKELY, self.there.judge(NOW_MS + 501.0, prompt(["bad"])).verdict
        )

    def test_a_crash_with_many_parts_leaves_room_for_the_others(self):
        many = [str(part) for part in range(crash_reports.MAX_REPORTED_PARTS + 1)]
        crashed(self.here, many, at_ms=NOW_MS + 2.0)
        crashed(self.here, ["bad"], name="e2")
        self._report(from_here=True)
        self.assertIs(
            Verdict.SUSPECT, self.there.judge(NOW_MS + 9.0, prompt(["bad"])).verdict
        )

    def test_a_peer_that_has_served_a_part_clears_it(self):
        self.there.record_served(NOW_MS - 1_000.0, prompt(["rare"]))
        crashed(self.here, ["rare"])
        self.assertTrue(self._report(from_here=True))
        self.assertFalse(self._report(from_here=True))
        self.assertIs(Verdict.CLEAR, self.there.judge(NOW_MS, prompt(["rare"])).verdict)
        self._report(from_here=False)
        self.assertIs(
            Verdict.CLEAR, self.here.judge(NOW_MS + 9.0, prompt(["rare"])).verdict
        )

    def test_one_probe_is_sent_at_a_time_among_all_entries(self):
        probes = Probes()
        probes.on_heartbeat(NOW_MS, "10.0.0.2", True)
        self.assertTrue(probes.is_one_in_progress(NOW_MS + 100.0))
        probes.on_heartbeat(NOW_MS + 200.0, "10.0.0.2", False)
        self.assertFalse(probes.is_one_in_progress(NOW_MS + 200.0))

    def test_a_peer_that_falls_silent_has_no_probe(self):
        probes = Probes()
        probes.on_heartbeat(NOW_MS, "10.0.0.2", True)
        self.assertFalse(probes.is_one_in_progress(NOW_MS + 2_000.0))
