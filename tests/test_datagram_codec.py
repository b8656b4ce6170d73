import dataclasses
import zlib

import msgpack
import pydantic
import testtools

from dotterelplank.datagram_codec import MAX_INFLATED_BYTES, MAX_PLAIN_BYTES, Codec
from dotterelplank.errors import ProtocolError


@pydantic.dataclasses.dataclass(frozen=True, slots=True)
class Numbers:
    values: list[int]


FORMAT = "numbers/1"
CODEC = Codec(FORMAT, Numbers)


class CodecTests(testtools.TestCase):
    def test_short_and_long_messages_are_decoded(self):
        for count in (0, 1, MAX_PLAIN_BYTES, 5_000):
            message = Numbers(list(range(count)))
            self.assertEqual(message, CODEC.decode(CODEC.encode(message)))

    def test_long_messages_are_compressed(self):
        self.assertLess(len(CODEC.encode(Numbers([7] * 5_000))), 100)

    def test_invalid_messages_are_refused(self):
        long = CODEC.encode(dataclasses.replace(Numbers([]), values=[7] * 5_000))
        huge = zlib.compress(msgpack.packb([FORMAT, 0, [0] * (2 * MAX_INFLATED_BYTES)]))
        for data in (b"", b"\x78", b"\x78abc", long[:-5], huge, b"\x93\x01\x02"):
            self.assertRaises(ProtocolError, CODEC.decode, data)

    def test_messages_of_another_format_are_refused(self):
        other = Codec("numbers/2", Numbers)
        without_format = msgpack.packb([0, [1, 2]])
        for data in (other.encode(Numbers([1, 2])), without_format):
            self.assertRaises(ProtocolError, CODEC.decode, data)
