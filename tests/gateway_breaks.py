"""Mutations of the gateway's decisions on prompts, notices, limits, and odd answers.

``breaks.py`` runs them.
"""

VERDICTS = "tests/test_gateway_suspects.py::VerdictTests"
SHARED = "tests/test_gateway_suspects.py::ShareTests"
SHARES = "tests/test_gateway_limits.py::ShareTests"
LIMITS = "tests/test_gateway_limits.py::KnowledgeTests"
CHOICE = "tests/test_gateway_limits.py::ChooseTests"
STRAY = "tests/test_gateway_stray_answers.py::RepeatedRefusalTests"
STREAMS = "tests/test_gateway_broken_streams.py::BrokenStreamTests"
REPEATS = "tests/test_gateway_suspects.py::RepeatTests"
LEAVING = "tests/test_gateway_notices.py::DirectoryTests"
PAUSES = "tests/test_gateway_notices.py::PauseTests"
CRASHES = "tests/test_gateway_crashes.py::CrashTests"
INTAKE = "tests/test_gateway_intake.py::IntakeTests"
DIRECTORY = "tests/test_gateway_decisions.py::DirectoryTests"


def table(make):
    """Return the mutations, each created by ``make``."""
    return (
        make(
            "endpoints that crash together count each",
            "gateway/crashes",
            "if crash.sent_ms >= last_ms:",
            "if True:",
            f"{VERDICTS}::test_endpoints_that_crash_together_count_once",
        ),
        make(
            "a part that a peer has served stays suspect",
            "gateway/crash_reports",
            "suspects.note_served(part, Served(now_ms - age_ms, events))",
            "pass",
            f"{SHARED}::test_a_peer_that_has_served_a_part_clears_it",
        ),
        make(
            "a call with one of several suspect parts is rejected",
            "gateway/suspects",
            "if suspect_parts.issubset(shared_parts):",
            "if True:",
            f"{VERDICTS}::test_only_calls_with_all_parts_in_question_are_rejected",
        ),
        make(
            "an early head counts as an answer",
            "gateway/suspects",
            "was_answering=is_between and self.head_gaps.are_short(endpoint.service),",
            "was_answering=is_between,",
            f"{VERDICTS}::"
            "test_a_head_shows_nothing_if_heads_come_long_before_events",
        ),
        make(
            "calls with parts that are likely to crash endpoints are sent",
            "gateway/suspects",
            "if (retry_ms := _trial_due_ms(crashes) - now_ms) > 0:",
            "if (retry_ms := 0.0):",
            f"{CRASHES}::test_calls_with_a_deadly_part_stop_crashing_servers",
        ),
        make(
            "a first event clears a part",
            "gateway/crashes",
            "return 2 * self.events + 3",
            "return 1",
            f"{VERDICTS}::"
            "test_a_part_that_crashes_servers_after_some_events_is_found",
        ),
        make(
            "repeats of a prompt are no evidence",
            "gateway/suspects",
            "return own_part is not None and not self._was_cleared(own_part, crash)",
            "return False",
            f"{REPEATS}::"
            "test_repeats_are_refused_after_two_crashes_and_no_other_call_is",
        ),
        make(
            "a call without a prompt is no evidence",
            "gateway/call_context",
            "return dataclasses.replace(prompt, own=_digest(self.route, self.call))",
            "return prompt",
            f"{CRASHES}::"
            "test_repeats_of_a_deadly_call_without_a_prompt_stop_crashing_servers",
        ),
        make(
            "an answer whose end isn't marked clears its parts",
            "gateway/quarantine",
            "is_whole = attempt_result.is_end_marked",
            "is_whole = True",
            f"{CRASHES}::" "test_they_stop_too_if_the_end_of_the_answer_isn_t_marked",
        ),
        make(
            "a stream without a length and without events is complete",
            "gateway/sender",
            "if not connection.has_marked_end and not _has_event(context):",
            "if False:",
            f"{STREAMS}::"
            "test_a_stream_without_a_length_and_without_events_has_broken_off",
        ),
        make(
            "a record of an unknown service takes an address",
            "gateway/directory",
            "return self.services is None or service in self.services",
            "return True",
            f"{DIRECTORY}::"
            "test_a_record_of_an_unknown_service_takes_no_servers_address",
        ),
        make(
            "a call that may run once is taken in a stop that it may outlast",
            "gateway/intake",
            "if not route.is_idempotent:",
            "if False:",
            f"{INTAKE}::"
            "test_a_call_that_may_run_once_is_refused_if_it_may_outlast_a_stop",
        ),
        make(
            "a server that leaves gets calls while its record comes again",
            "gateway/directory",
            "return not endpoint.is_draining and "
            "endpoint.incarnation not in self.leaving",
            "return not endpoint.is_draining",
            f"{LEAVING}::"
            "test_a_server_that_leaves_stays_so_when_its_record_comes_again",
        ),
        make(
            "a shorter pause ends a longer one",
            "gateway/pauses",
            "if now_ms + pause_ms <= self.until_ms.get(incarnation, now_ms):",
            "if False:",
            f"{PAUSES}::test_a_pause_counts_down_and_a_shorter_one_doesn_t_end_it",
        ),
        make(
            "each entry keeps the whole limit",
            "gateway/limit_shares",
            "return per_s / holders if own_name in ranked[:holders] else 0.0",
            "return per_s",
            f"{SHARES}::test_all_entries_together_keep_the_limit",
        ),
        make(
            "an entry that takes over sends at once",
            "gateway/limit_shares",
            "last_ms = self.last_ms.setdefault(incarnation, now_ms)",
            "last_ms = self.last_ms.setdefault(incarnation, 0.0)",
            f"{SHARES}::test_every_entry_takes_a_share_if_the_holders_send_nothing",
        ),
        make(
            "an older answer ends a limit",
            "gateway/server_limits",
            "if known is not None and known.answered_ms >= answered_ms:",
            "if False:",
            f"{LIMITS}::test_an_older_answer_does_not_end_a_limit",
        ),
        make(
            "an endpoint gets calls before its limit allows them",
            "gateway/admission",
            "and endpoint.id not in limit_waits_ms",
            "and True",
            f"{CHOICE}::test_calls_go_elsewhere_while_it_is_not_an_entrys_turn",
        ),
        make(
            "an answer without an id counts as the call's own",
            "gateway/sender",
            "if metadata.id is None and connection.requests_sent > 1:",
            "if False:",
            f"{STRAY}::"
            "test_a_refusal_without_an_id_is_no_proof_on_a_kept_connection",
        ),
        make(
            "a stream goes on at any event",
            "gateway/streams",
            "if step <= 0 or is_gap:",
            "if False:",
            f"{STREAMS}::test_nothing_but_events_follows_a_stream_that_broke_off",
        ),
    )
