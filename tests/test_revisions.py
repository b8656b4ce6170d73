"""Tests of single decisions on revisions that the stateful test rarely reaches."""

from fleet import validate

from dotterelplank.benches import loop as bench_loop
from dotterelplank.members import membership, revision_messages as rm, revisions
from dotterelplank.members.peers import Peer, Role

CONFIGURATION = rm.Document.CONFIGURATION
POLICY = revisions.RevisionPolicy(validate=validate)
OWN = Peer("en-0", "d0", Role.ENTRY)
OTHERS = (Peer("en-1", "d0", Role.ENTRY), Peer("en-2", "d0", Role.ENTRY))


def kinds(commands):
    return [type(command) for command in commands]


def joining_state():
    state = revisions.start(0, CONFIGURATION, OWN, 1, POLICY)
    revisions.decide(0, state, rm.PeersChanged(OTHERS, ()), POLICY)
    return state


def offer(revision):
    return rm.Offer(CONFIGURATION, revision, b"12345678")


def test_new_process_requests_offers_before_it_reads_the_platform():
    state = joining_state()
    commands = revisions.decide(50, state, rm.Tick(), POLICY)
    assert commands == [rm.RequestOffers(CONFIGURATION, ("en-1", "en-2"))]
    commands = revisions.decide(100, state, rm.Tick(), POLICY)
    assert rm.ReadPlatform not in kinds(commands)


def test_stale_read_below_an_offer_is_not_adopted_after_a_restart():
    state = joining_state()
    revisions.decide(60, state, rm.OfferReceived("en-1", offer(9)), POLICY)
    revisions.decide(70, state, rm.OfferReceived("en-2", offer(3)), POLICY)
    commands = revisions.decide(100, state, rm.Tick(), POLICY)
    assert rm.RequestText(CONFIGURATION, "en-1", 9) in commands
    read = next(c for c in commands if isinstance(c, rm.ReadPlatform))
    answer = rm.ReadAnswered(read.read_id, 7, "good 7")
    commands = revisions.decide(110, state, answer, POLICY)
    assert rm.Adopt not in kinds(commands)
    assert revisions.adopted_revision(state) == 0


def test_pause_while_joining_extends_the_time_for_answers():
    state = joining_state()
    revisions.decide(50, state, rm.Tick(), POLICY)
    commands = revisions.decide(9_000, state, rm.Tick(), POLICY)
    assert rm.ReadPlatform not in kinds(commands)
    assert not state.joined


def test_peer_declines_requests_beyond_the_limit_of_concurrent_sends():
    state = joining_state()
    state.adopted = revisions.AdoptedRevision(4, b"12345678", b"packed", None)
    requests = [
        rm.TextRequested(f"ep-{n}", 4) for n in range(POLICY.max_concurrent_sends + 1)
    ]
    answers = [revisions.decide(10, state, event, POLICY)[0] for event in requests]
    assert kinds(answers) == [rm.SendText] * POLICY.max_concurrent_sends + [rm.Decline]
    revisions.decide(20, state, rm.TextSent("ep-0"), POLICY)
    again = revisions.decide(20, state, requests[-1], POLICY)
    assert kinds(again) == [rm.SendText]


def test_invalid_text_is_dropped_and_requested_from_another_peer():
    state = joining_state()
    for peer in OTHERS:
        revisions.decide(60, state, rm.OfferReceived(peer.host, offer(9)), POLICY)
    revisions.decide(100, state, rm.Tick(), POLICY)
    first = state.pull.host
    text = rm.TextReceived(first, 9, b"no such text")
    revisions.decide(110, state, text, POLICY)
    commands = revisions.decide(150, state, rm.Tick(), POLICY)
    pulls = [c for c in commands if isinstance(c, rm.RequestText)]
    assert pulls and pulls[0].host != first


def test_new_readers_are_chosen_when_all_readers_of_an_isolated_domain_die():
    policies = {document: POLICY for document in bench_loop.DOCUMENTS}
    loop = bench_loop.Loop(
        bench_loop.make_peers(7, 3, 2),
        seed=3,
        conditions=bench_loop.Conditions(),
        member_policy=membership.MembershipPolicy(),
        policies=policies,
    )
    for host in loop.peers:
        loop.boot(host)
    loop.run(8_000)
    loop.domain_cuts.add(frozenset(("d0", "d1")))
    readers = [
        host
        for host, process in loop.processes.items()
        if process.peer.domain == "d0" and process.revisions[CONFIGURATION].reader
    ]
    assert len(readers) == POLICY.readers_per_domain
    for host in readers:
        loop.kill(host)
    loop.publish(CONFIGURATION, 5, "good 5")
    loop.run(3_000)
    live = [p for p in loop.processes.values() if p.alive]
    adopted = {revisions.adopted_revision(p.revisions[CONFIGURATION]) for p in live}
    assert adopted == {5}


def test_process_without_peers_reads_the_host_list_only_for_seed_peers():
    state = revisions.start(0, rm.Document.HOST_LIST, OWN, 1, POLICY)
    read = revisions.decide(50, state, rm.Tick(), POLICY)[0]
    assert isinstance(read, rm.ReadPlatform)
    answer = rm.ReadAnswered(read.read_id, 3, "good 3")
    commands = revisions.decide(60, state, answer, POLICY)
    assert commands == [rm.SeedPeers("good 3")]
    revisions.decide(70, state, rm.PeersChanged(OTHERS, ()), POLICY)
    commands = revisions.decide(100, state, rm.Tick(), POLICY)
    assert kinds(commands) == [rm.RequestOffers]
