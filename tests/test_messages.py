import msgpack
import testtools
from hypothesis import given, strategies as st

from dotterelplank import defaults
from dotterelplank.daemons import datagrams
from dotterelplank.errors import PeerRefusedError, ProtocolError
from dotterelplank.links import messages
from dotterelplank.links.messages import Chunk, FrameReader, Header, Submit
from dotterelplank.members.messages import Heartbeat, Intent, Load
from dotterelplank.members.revision_messages import Document, Offer

SECRET = b"a secret of sixteen bytes or more"
SUBMIT = Submit(
    7,
    "drafting",
    "crew",
    b"",
    1000.0,
    0,
    "",
    "POST",
    "/v1",
    (Header("A", "b"),),
    b"x",
    True,
    0,
)
HEARTBEAT = Heartbeat(
    "drafting-1",
    5,
    9,
    1234,
    Intent.LEAVING,
    True,
    Load(1, 2, 3),
    Offer(Document.HOST_LIST, 4, b"12345678"),
)


class FrameTests(testtools.TestCase):
    @given(st.lists(st.integers(1, 40), max_size=30))
    def test_frames_are_decoded_however_the_bytes_are_split(self, sizes):
        sent = [SUBMIT, Chunk(1, 0, 1, b"abc"), SUBMIT]
        data = b"".join(messages.encode(message) for message in sent)
        reader = FrameReader()
        received = []
        for size in sizes:
            received += reader.feed(data[:size])
            data = data[size:]
        received += reader.feed(data)
        self.assertEqual(sent, received)

    @given(st.binary(max_size=200))
    def test_any_bytes_give_messages_or_a_protocol_error(self, data):
        try:
            list(FrameReader().feed(data))
        except ProtocolError as error:
            self.assertTrue(str(error))

    def test_the_error_names_a_field_of_the_wrong_type(self):
        frame = msgpack.packb([5, 1, "x", 1, b""])
        error = self.assertRaises(ProtocolError, list, FrameReader().feed(frame))
        self.assertIn("Chunk.sequence: got 'x', expected int", str(error))

    def test_a_frame_over_the_size_limit_is_refused_by_both_sides(self):
        size_bytes = defaults.MAX_FRAME_BYTES
        chunk = Chunk(1, 0, 0, b"x" * size_bytes)
        self.assertRaises(ProtocolError, messages.encode, chunk)
        frame = msgpack.packb([5, 1, 0, 0, chunk.data])
        self.assertRaises(ProtocolError, list, FrameReader().feed(frame))


class DatagramTests(testtools.TestCase):
    def test_a_sealed_datagram_is_unsealed_unchanged(self):
        data = datagrams.seal(HEARTBEAT, SECRET)
        self.assertEqual(HEARTBEAT, datagrams.unseal(data, SECRET))

    def test_another_systems_datagram_is_refused(self):
        data = datagrams.seal(HEARTBEAT, SECRET)
        self.assertRaises(
            PeerRefusedError, datagrams.unseal, data, b"another secret of theirs"
        )

    @given(st.integers(0, 200), st.integers(1, 255))
    def test_a_datagram_with_a_changed_byte_is_refused(self, index, change):
        data = bytearray(datagrams.seal(HEARTBEAT, SECRET))
        data[index % len(data)] ^= change
        self.assertRaises(PeerRefusedError, datagrams.unseal, bytes(data), SECRET)

    def test_a_sealed_datagram_of_an_unknown_kind_is_refused(self):
        body = msgpack.packb([99])
        data = datagrams._mac(body, SECRET) + body
        self.assertRaises(ProtocolError, datagrams.unseal, data, SECRET)
