"""Mutations of the code that guarantees the outcomes reported for requests.

``breaks.py`` runs them.
"""

LONG_RUNS = (
    "tests/test_order_machine.py::SoakTests::"
    "test_long_runs_violate_no_invariant_of_requests"
)
LEDGER = "tests/test_ledger.py::LedgerTests"
JOBS = "tests/test_jobs.py::JobTests"
EXCHANGES = "tests/test_exchanges.py::ExchangeTests"
HANDSHAKES = "tests/test_handshakes.py::HandshakeTests"
PATH = "tests/test_path.py::PathTests"
LINKS = "tests/test_links.py::StopTests"
ROLLING = "tests/test_processes_faults.py::RollingTests"
STOP_BOUND = "tests/test_processes_faults.py::StopBoundTests"
CROWD = "tests/test_processes_faults.py::CrowdTests"
PLATFORM = "tests/test_processes.py::PlatformTests"
DATAGRAMS = "tests/test_messages.py::DatagramTests"
TICKETS = "tests/test_tickets.py::TicketTests"


def table(make):
    """Return the mutations, each created by ``make``."""
    return (
        make(
            "a start is not remembered",
            "daemons/ledger",
            "records[ticket.nonce] = "
            "Record(ticket.team, request_digest, State.RUNNING)",
            "pass",
            LONG_RUNS,
        ),
        make(
            "a ticket of an earlier incarnation runs",
            "daemons/ledger",
            "if ticket.incarnation != ledger.incarnation:",
            "if False:",
            LONG_RUNS,
        ),
        make(
            "an expired ticket runs",
            "daemons/ledger",
            "if ticket.epoch <= ledger.epoch - policy.epochs_accepted:",
            "if False:",
            f"{LEDGER}::"
            "test_an_unused_ticket_of_a_retained_epoch_is_reported_as_expired",
        ),
        make(
            "what is older than the memory counts as never met",
            "daemons/ledger",
            "return Refused(results.TICKET_FORGOTTEN)",
            "return Refused(results.TICKET_EXPIRED)",
            LONG_RUNS,
        ),
        make(
            "a withdrawn ticket may run later",
            "daemons/ledger",
            "record.state = State.CANCELLED",
            "del ledger.records_by_epoch[ticket.epoch][ticket.nonce]",
            LONG_RUNS,
        ),
        make(
            "a lost call may run again",
            "daemons/ledger",
            "record.state = State.UNKNOWN",
            "del ledger.records_by_epoch[ticket.epoch][ticket.nonce]",
            LONG_RUNS,
        ),
        make(
            "a cancel is not remembered",
            "daemons/ledger",
            'records[ticket.nonce] = Record(ticket.team, b"", State.CANCELLED)',
            "pass",
            LONG_RUNS,
        ),
        make(
            "the memory has no bound",
            "daemons/ledger",
            "if epoch > ledger.epoch - policy.epochs_remembered:",
            "if True:",
            LONG_RUNS,
        ),
        make(
            "the kept answers have no bound",
            "daemons/ledger",
            "_drop_answers(ledger, policy)",
            "pass",
            LONG_RUNS,
        ),
        make(
            "another request gets the ticket's answer",
            "daemons/ledger",
            "if record.request_digest != request_digest:",
            "if False:",
            LONG_RUNS,
        ),
        make(
            "a ticket turned away stays open",
            "daemons/jobs",
            "ledgers.cancel(now_ms, state.ledger, ticket, state.ledger_policy)",
            "pass",
            LONG_RUNS,
        ),
        make(
            "a cancelled request goes to the endpoint",
            "daemons/jobs",
            "if progress.cancelled:",
            "if False:",
            f"{JOBS}::test_a_request_cancelled_before_the_start_is_not_sent",
        ),
        make(
            "a cancel after the start proves something",
            "daemons/jobs",
            "progress.sent = True",
            "pass",
            f"{JOBS}::test_a_request_cancelled_after_the_start_may_have_been_sent",
        ),
        make(
            "a lost call counts as not run",
            "daemons/jobs",
            "ledgers.mark_unknown(now_ms, ledger, ticket, policy)",
            "ledgers.mark_not_run(now_ms, ledger, ticket, policy)",
            LONG_RUNS,
        ),
        make(
            "a leaving agent refuses before it looks",
            "daemons/jobs",
            "if known is not None:",
            "if known is not None and not state.is_leaving:",
            LONG_RUNS,
        ),
        make(
            "any team may use a ticket",
            "daemons/jobs",
            "if ticket.team != submit.team:",
            "if False:",
            f"{JOBS}::test_a_ticket_of_another_secret_or_team_is_not_run",
        ),
        make(
            "any service takes a ticket",
            "daemons/jobs",
            "if ticket.target != submit.target:",
            "if False:",
            f"{JOBS}::test_a_ticket_of_another_service_is_not_run",
        ),
        make(
            "a sent order is tried again",
            "daemons/exchanges",
            "if exchange.repeatable and can_continue and _may_retry(exchange):",
            "if can_continue:",
            f"{EXCHANGES}::test_a_sent_order_is_never_retried",
        ),
        make(
            "not run is trusted after an attempt that may have run",
            "daemons/exchanges",
            "if exchange.may_have_run and result.outcome is results.Outcome.NOT_RUN:",
            "if False:",
            f"{EXCHANGES}::"
            "test_an_attempt_that_may_have_run_is_never_reported_as_not_run",
        ),
        make(
            "an entry that sent nothing says not run",
            "daemons/exchanges",
            "result = results.TICKET_HOME_NOT_ASKED",
            "pass",
            LONG_RUNS,
        ),
        make(
            "a truncated answer counts as whole",
            "daemons/exchanges",
            "if exchange.head is None or event.chunks != exchange.chunks_received:",
            "if exchange.head is None:",
            f"{EXCHANGES}::test_an_end_with_a_missing_chunk_is_not_a_complete_answer",
        ),
        make(
            "a chunk met twice is relayed twice",
            "daemons/exchanges",
            "if event.sequence < exchange.chunks_received:",
            "if False:",
            f"{EXCHANGES}::test_a_chunk_received_twice_is_relayed_once",
        ),
        make(
            "a gap in the chunks is passed over",
            "daemons/exchanges",
            "if event.sequence > exchange.chunks_received:",
            "if False:",
            f"{EXCHANGES}::"
            "test_a_gap_in_the_chunks_moves_the_stream_to_another_endpoint",
        ),
        make(
            "not run is trusted after an answer began",
            "daemons/exchanges",
            "has_begun = exchange.head is not None",
            "has_begun = False",
            f"{EXCHANGES}::test_a_refusal_after_the_answer_began_does_not_mean_not_run",
        ),
        make(
            "a full entry says not run of a ticket",
            "daemons/calls",
            "if error.result in _TICKET_RESULTS or not is_not_run "
            "or not tickets.is_ticket(key):",
            "if True:",
            LONG_RUNS,
        ),
        make(
            "a ticket's code is not checked",
            "daemons/tickets",
            "if not hmac.compare_digest(mac, _mac(body, secret)):",
            "if False:",
            f"{TICKETS}::test_a_ticket_of_another_secret_is_not_read",
        ),
        make(
            "a peer's proof is not checked",
            "links/handshakes",
            "if not hmac.compare_digest(proof.mac, expected_mac):",
            "if False:",
            f"{HANDSHAKES}::test_a_peer_without_the_secret_is_refused",
        ),
        make(
            "a proof holds in both directions",
            "links/handshakes",
            "side.value,",
            '"",',
            f"{HANDSHAKES}::test_a_reflected_hello_and_proof_are_refused",
        ),
        make(
            "a datagram's code is not checked",
            "daemons/datagrams",
            "if not hmac.compare_digest(data[:MAC_SIZE_BYTES], _mac(body, secret)):",
            "if False:",
            f"{DATAGRAMS}::test_another_systems_datagram_is_refused",
        ),
        make(
            "a stream that ended early counts as whole",
            "daemons/answers",
            "if completed.is_last:",
            "if True:",
            f"{PATH}::test_a_streamed_draft_is_complete",
        ),
        make(
            "a stop drops what was not taken",
            "links/link_server",
            "while self._has_unsent() and monotonic_ms() < end_ms:",
            "while False:",
            f"{LINKS}::test_a_stop_sends_all_queued_data_to_a_slow_peer",
        ),
        make(
            "a stopping agent goes at once",
            "daemons/agent",
            "time.sleep(self._settings.leave_notice_ms / 1000)",
            "pass",
            f"{ROLLING}::"
            "test_a_ticket_issued_just_before_its_home_leaves_is_not_run",
        ),
        make(
            "an entry's stop bound tells nobody",
            "daemons/entry",
            "self._post_to_all(StopBound())",
            "pass",
            f"{STOP_BOUND}::test_the_stop_bound_of_an_entry_is_reported_to_the_caller",
        ),
        make(
            "slow callers are never cut off",
            "daemons/http_server",
            "if server.requests.idle == 0:",
            "if False:",
            f"{CROWD}::test_incomplete_requests_do_not_block_other_callers",
        ),
        make(
            "a start trusts a read before it asked its peers",
            "daemons/coordination",
            "if self._board.hosts.version or self._knows_peers:",
            "if True:",
            f"{PLATFORM}::"
            "test_a_restarted_entry_does_not_fall_back_to_a_stale_revision",
        ),
    )
