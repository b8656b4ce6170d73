"""Tests of single membership decisions and of the encoding of messages."""

import hypothesis
import msgpack
import pytest
from hypothesis import strategies as st

from dotterelplank import errors
from dotterelplank.daemons import datagrams
from dotterelplank.members import membership, messages as mm
from dotterelplank.members.peers import Peer, Role
from dotterelplank.members.revision_messages import Document, Offer

SECRET = b"a secret of the tests"
POLICY = membership.MembershipPolicy()
OWN = Peer("en-0", "d0", Role.ENTRY)
AGENT = Peer("ep-0", "d0", Role.AGENT)
OTHER = Peer("en-1", "d0", Role.ENTRY)


def heartbeat_event(sequence, sent_ms, **fields):
    fields = {"incarnation": 5, "intent": mm.Intent.SERVING, "watch": True} | fields
    return mm.HeartbeatReceived(
        mm.Heartbeat(AGENT.host, sequence=sequence, sent_ms=sent_ms, **fields)
    )


def entry_state(listed=(AGENT, OTHER)):
    state = membership.start(0, OWN, 1, seed=1)
    hosts = tuple(mm.ListedHost(peer, False) for peer in listed)
    decide(0, state, mm.HostListAdopted(1, hosts))
    decide(0, state, mm.Tick())
    return state


def decide(now_ms, state, event):
    return membership.decide(now_ms, state, event, POLICY)


def usable(now_ms, state):
    return membership.is_usable(now_ms, state.members[AGENT.host], POLICY)


def status(state):
    return state.members[AGENT.host].status


def run_ticks(state, first_ms, last_ms):
    commands = []
    for now_ms in range(first_ms, last_ms + 1, POLICY.tick_ms):
        commands += decide(now_ms, state, mm.Tick())
    return commands


def test_silent_endpoint_is_probed_and_then_suspected():
    state = entry_state()
    decide(50, state, heartbeat_event(1, 1_050))
    commands = run_ticks(state, 100, 900)
    assert any(isinstance(command, mm.SendProbe) for command in commands)
    assert status(state) is mm.MemberStatus.SUSPECT


def test_second_suspicion_makes_a_member_dead_and_notifies_the_domain():
    state = entry_state()
    decide(50, state, heartbeat_event(1, 1_050))
    run_ticks(state, 100, 900)
    suspected = mm.Notice("en-1", AGENT.host, 5, mm.MemberStatus.SUSPECT, 800)
    commands = decide(910, state, mm.NoticeReceived(suspected))
    assert status(state) is mm.MemberStatus.DEAD
    commands += run_ticks(state, 950, 1_100)
    statuses = [c.notice.status for c in commands if isinstance(c, mm.SendNotice)]
    assert statuses.count(mm.MemberStatus.DEAD) == POLICY.death_notices


def test_own_pause_does_not_count_as_silence_of_others():
    state = entry_state()
    decide(50, state, heartbeat_event(1, 1_050))
    run_ticks(state, 100, 300)
    run_ticks(state, 9_000, 9_200)
    assert status(state) is mm.MemberStatus.ALIVE
    assert not usable(9_200, state)


def test_heartbeat_received_after_a_pause_counts_from_its_sending_time():
    state = entry_state()
    decide(50, state, heartbeat_event(1, 1_050))
    decide(9_000, state, heartbeat_event(2, 1_100))
    assert not usable(9_000, state)
    decide(9_001, state, heartbeat_event(3, 10_000))
    assert usable(9_001, state)


def test_silent_endpoint_gets_no_work_after_its_lease():
    state = entry_state()
    decide(50, state, heartbeat_event(1, 1_050))
    assert usable(50 + POLICY.lease_ms, state)
    assert not usable(51 + POLICY.lease_ms, state)


def test_announced_leave_overrides_the_host_list():
    state = entry_state()
    decide(50, state, heartbeat_event(1, 1_050, intent=mm.Intent.LEAVING))
    assert not usable(60, state)
    hosts = tuple(mm.ListedHost(peer, False) for peer in (AGENT, OTHER))
    decide(70, state, mm.HostListAdopted(2, hosts))
    decide(80, state, heartbeat_event(2, 1_080, intent=mm.Intent.LEAVING))
    assert status(state) is mm.MemberStatus.LEAVING


def test_unlisted_endpoint_is_usable_after_its_introduction():
    state = entry_state(listed=(OTHER,))
    commands = decide(50, state, heartbeat_event(1, 1_050))
    assert mm.RequestIntroduction(AGENT.host) in commands
    decide(60, state, mm.PeerIntroduced(AGENT, 5))
    decide(70, state, heartbeat_event(2, 1_070))
    assert usable(70, state)


def test_endpoint_removed_from_the_list_leaves_until_a_new_process_starts():
    state = entry_state()
    decide(50, state, heartbeat_event(1, 1_050))
    decide(60, state, mm.HostListAdopted(2, (mm.ListedHost(OTHER, False),)))
    decide(70, state, heartbeat_event(2, 1_070))
    assert status(state) is mm.MemberStatus.LEAVING
    decide(80, state, heartbeat_event(1, 80, incarnation=6))
    assert usable(80, state)


def test_late_heartbeat_of_a_superseded_process_is_ignored_and_answered():
    state = entry_state()
    decide(50, state, heartbeat_event(1, 50, incarnation=6))
    commands = decide(60, state, heartbeat_event(9, 9_000, incarnation=5))
    assert isinstance(commands[0], mm.ReplyToSender)
    assert state.members[AGENT.host].incarnation == 6


def test_only_an_announced_leave_is_reported_to_peers():
    state = entry_state()
    decide(50, state, heartbeat_event(1, 1_050))
    listed = (mm.ListedHost(AGENT, True), mm.ListedHost(OTHER, False))
    decide(60, state, mm.HostListAdopted(2, listed))
    request = mm.StatusRequested("en-1", AGENT.host, 9)
    answer = decide(70, state, request)[0]
    assert answer.notice.status is mm.MemberStatus.ALIVE
    decide(80, state, heartbeat_event(2, 1_080, intent=mm.Intent.LEAVING))
    answer = decide(90, state, request)[0]
    assert answer.notice.status is mm.MemberStatus.LEAVING


def test_new_member_does_not_delay_heartbeats_to_others():
    state = entry_state(
        listed=tuple(Peer(f"en-{n}", "d0", Role.ENTRY) for n in range(1, 9))
    )
    state.rotation_index = 5
    upcoming = state.rotation[5:]
    decide(10, state, mm.PeerIntroduced(Peer("en-9", "d0", Role.ENTRY), 1))
    decide(50, state, mm.Tick())
    rest = [host for host in state.rotation[state.rotation_index :] if host != "en-9"]
    assert rest == list(upcoming)


def test_death_notice_ends_use_even_after_a_slightly_later_heartbeat():
    state = entry_state()
    run_ticks(state, 50, 950)
    decide(1_000, state, heartbeat_event(1, 2_000, watch=False))
    run_ticks(state, 1_000, 1_650)
    dead = mm.Notice("en-1", AGENT.host, 5, mm.MemberStatus.DEAD, 900)
    commands = decide(1_700, state, mm.NoticeReceived(dead))
    assert not usable(1_700, state)
    probed = next(c for c in commands if isinstance(c, mm.SendProbe))
    answer = heartbeat_event(2, 2_701, watch=False, echo=probed.nonce)
    decide(1_702, state, answer)
    assert usable(1_702, state)


def test_seeds_are_peers_until_a_host_list_is_in_force():
    state = membership.start(0, OWN, 1, seed=1)
    decide(0, state, mm.PeersSeeded((AGENT, OTHER, OWN)))
    assert mm.PeersKnown((AGENT, OTHER), ()) in decide(0, state, mm.Tick())
    decide(10, state, mm.HostListAdopted(2, (mm.ListedHost(OTHER, False),)))
    assert mm.PeersKnown((OTHER,), ()) in decide(50, state, mm.Tick())


def test_messages_are_unchanged_after_encoding_and_decoding():
    full = mm.Heartbeat(
        "ep-0",
        incarnation=7,
        sequence=3,
        sent_ms=90,
        intent=mm.Intent.LEAVING,
        watch=True,
        load=mm.Load(3, 1, 400),
        offer=Offer(Document.HOST_LIST, 4, b"12345678", 5),
        echo=11,
    )
    notice = mm.Notice("en-0", "ep-0", 7, mm.MemberStatus.DEAD, 900, 3)
    digest = mm.DomainDigest("en-0", "d0", 20, 3, 1, 9, 0, ("ep-0",))
    for message in (full, notice, digest):
        sealed = datagrams.seal(message, SECRET)
        assert datagrams.unseal(sealed, SECRET) == message


MALFORMED = (b"", b"\xc1", b"\x90", b"\x91\x63", b"\x93\x00", b"\x93\x01\x05\x05")


@pytest.mark.parametrize("datagram", MALFORMED)
def test_malformed_datagram_is_a_protocol_error(datagram):
    sealed = datagrams._mac(datagram, SECRET) + datagram
    with pytest.raises(errors.ProtocolError):
        datagrams.unseal(sealed, SECRET)


ITEMS = st.recursive(
    st.none()
    | st.integers(-(2**63), 2**63)
    | st.text(max_size=4)
    | st.binary(max_size=4),
    lambda inner: st.lists(inner, max_size=4),
    max_leaves=8,
)


@hypothesis.given(st.integers(0, 9), st.text(max_size=3), st.lists(ITEMS, max_size=8))
def test_any_array_is_an_event_or_a_protocol_error(kind, host, items):
    body = msgpack.packb([kind, host, *items])
    try:
        datagram = datagrams.unseal(datagrams._mac(body, SECRET) + body, SECRET)
    except errors.ProtocolError:
        return
    assert isinstance(datagrams.sender_of(datagram), str)
