import dataclasses

import testtools

from dotterelplank.errors import PeerRefusedError, ProtocolError
from dotterelplank.links import handshakes
from dotterelplank.links.handshakes import Handshake, Side
from dotterelplank.links.messages import PROTOCOL_VERSION, Credit, Hello, Proof

SECRET = b"a secret of sixteen bytes or more"


def hello(host, nonce):
    return Hello(PROTOCOL_VERSION, host, "entry", "fd-1", 1, nonce * 16, 0)


def pair(secret=SECRET):
    connector = Handshake(Side.CONNECTOR, hello("entry-1", b"c"), SECRET)
    acceptor = Handshake(Side.ACCEPTOR, hello("agent-1", b"a"), secret)
    return connector, acceptor


def run(connector, acceptor):
    to_acceptor = handshakes.first_messages(connector)
    while to_acceptor:
        to_connector = []
        for message in to_acceptor:
            to_connector += handshakes.advance(acceptor, message)
        to_acceptor = []
        for message in to_connector:
            to_acceptor += handshakes.advance(connector, message)


class HandshakeTests(testtools.TestCase):
    def test_peers_with_the_same_secret_complete_the_handshake(self):
        connector, acceptor = pair()
        run(connector, acceptor)
        self.assertTrue(connector.ready and acceptor.ready)
        self.assertEqual("entry-1", acceptor.peer.host)

    def test_a_peer_without_the_secret_is_refused(self):
        connector, acceptor = pair(secret=b"another secret of theirs")
        self.assertRaises(PeerRefusedError, run, connector, acceptor)
        self.assertFalse(connector.ready or acceptor.ready)

    def test_a_proof_cannot_be_reflected_to_its_sender(self):
        _, acceptor = pair()
        replies = handshakes.advance(acceptor, hello("entry-1", b"c"))
        proof = [message for message in replies if isinstance(message, Proof)]
        self.assertRaises(PeerRefusedError, handshakes.advance, acceptor, proof[0])

    def test_a_reflected_hello_and_proof_are_refused(self):
        connector, _ = pair()
        (own,) = handshakes.first_messages(connector)
        (proof,) = handshakes.advance(connector, own)
        self.assertRaises(PeerRefusedError, handshakes.advance, connector, proof)

    def test_another_protocol_version_is_refused(self):
        _, acceptor = pair()
        other = dataclasses.replace(hello("entry-1", b"c"), version=99)
        error = self.assertRaises(PeerRefusedError, handshakes.advance, acceptor, other)
        self.assertIn("got protocol version 99", str(error))

    def test_other_messages_are_refused_during_the_handshake(self):
        _, acceptor = pair()
        self.assertRaises(ProtocolError, handshakes.advance, acceptor, Credit(1, 1))
