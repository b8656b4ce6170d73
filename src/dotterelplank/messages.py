"""Typed messages between the system's own processes, and their msgpack frames.

A frame is one msgpack array: the number of the message's kind, then its fields in
order. Frames follow each other on a stream; a size bound holds for each.
"""

import dataclasses
import typing as t

import msgpack
import pydantic

from . import defaults
from .errors import ProtocolError

PROTOCOL_VERSION = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Opens a stream from either side, before anything else.

    :param epoch: ticket epoch of an agent; 0 from an entry.
    """

    version: int
    host: str
    role: str
    domain: str
    incarnation: int
    nonce: bytes
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """Answers the other side's nonce with a message authentication code."""

    mac: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header field."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """Hands a request to an agent.

    :param request_id: correlation id, never used twice on a stream.
    :param ticket: the ticket's bytes, or empty for idempotent work.
    :param deadline_ms: time left when it was sent.
    :param resume_from: tokens that the caller holds already.
    """

    request_id: int
    target: str
    team: str
    ticket: bytes
    deadline_ms: float
    priority: int
    traceparent: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    stream: bool
    resume_from: int


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Carries the status and headers of an answer."""

    request_id: int
    http_status: int
    headers: tuple[Header, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """Carries a part of an answer's body.

    :param sequence: 0 for the first chunk after :class:`Begin`, then one more each.
    :param tokens: whole tokens in ``data``; 0 where the body isn't a token stream.
    """

    request_id: int
    sequence: int
    tokens: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """Closes a whole answer; without it the answer is not whole.

    :param chunks: number of chunks that made up the answer.
    """

    request_id: int
    chunks: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Says that a request ended without a whole answer.

    :param result: number of the result code, which tells whether it may have run.
    """

    request_id: int
    result: int
    retry_after_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Asks the agent to stop a request, or never to start it."""

    request_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Credit:
    """Lets the agent send ``size_bytes`` more of an answer."""

    request_id: int
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Tells entries about an agent and the endpoint beside it.

    :param leaving: no new work is taken from now on.
    :param epoch: ticket epoch to mint with.
    """

    sequence: int
    leaving: bool
    epoch: int
    running: int
    waiting: int
    kv_used_share: float
    step_ms: float
    measured_ms_ago: float


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionOffer:
    """Names the highest configuration revision that the sender has accepted."""

    revision: int
    digest: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionAsk:
    """Asks a peer for the text of a configuration revision."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionText:
    """Answers :class:`RevisionAsk` with the text of a revision."""

    revision: int
    text: str


_KINDS: tuple[type, ...] = (
    Hello,
    Proof,
    Submit,
    Begin,
    Chunk,
    End,
    Refuse,
    Cancel,
    Credit,
    Report,
    RevisionOffer,
    RevisionAsk,
    RevisionText,
)
_NUMBER_BY_KIND = {kind: number for number, kind in enumerate(_KINDS, start=1)}
_FIELDS_BY_KIND = {
    kind: tuple(field.name for field in dataclasses.fields(kind)) for kind in _KINDS
}


def _adapter(kind: type) -> pydantic.TypeAdapter:
    hints = t.get_type_hints(kind)
    return pydantic.TypeAdapter(
        tuple[tuple(hints[name] for name in _FIELDS_BY_KIND[kind])]
    )


_ADAPTER_BY_NUMBER = {
    number: _adapter(kind) for kind, number in _NUMBER_BY_KIND.items()
}

Message = (
    Hello
    | Proof
    | Submit
    | Begin
    | Chunk
    | End
    | Refuse
    | Cancel
    | Credit
    | Report
    | RevisionOffer
    | RevisionAsk
    | RevisionText
)


def encode(message: Message) -> bytes:
    """Return the frame of ``message``.

    :raises ProtocolError: if the frame is over ``defaults.FRAME_BOUND_BYTES``.
    """
    kind = type(message)
    values: list[t.Any] = [_NUMBER_BY_KIND[kind]]
    values.extend(_plain(getattr(message, name)) for name in _FIELDS_BY_KIND[kind])
    frame = msgpack.packb(values, use_bin_type=True)
    if len(frame) > defaults.FRAME_BOUND_BYTES:
        raise ProtocolError(
            f"frame of {len(frame)} bytes, expected at most "
            f"{defaults.FRAME_BOUND_BYTES}"
        )
    return frame


def _plain(value: t.Any) -> t.Any:
    if isinstance(value, tuple):
        return [_plain(item) for item in value]
    if isinstance(value, Header):
        return [value.name, value.value]
    return value


def decode(value: t.Any) -> Message:
    """Return the message that an unpacked frame holds.

    :raises ProtocolError: if it is no array, of an unknown kind or ill typed.
    """
    if not isinstance(value, list) or not value:
        raise ProtocolError(f"met a {type(value).__name__}, expected a frame array")
    number = value[0]
    adapter = _ADAPTER_BY_NUMBER.get(number) if type(number) is int else None
    if adapter is None:
        raise ProtocolError(f"met message kind {number!r}, expected 1 to {len(_KINDS)}")
    fields = value[1:]
    if number in _NUMBERS_WITH_HEADERS:
        fields = [_headers(field) for field in fields]
    kind = _KINDS[number - 1]
    try:
        return kind(*adapter.validate_python(tuple(fields), strict=True))
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        raise ProtocolError(f"{kind.__name__} field {place}: {first['msg']}") from error


_NUMBERS_WITH_HEADERS = {_NUMBER_BY_KIND[Submit], _NUMBER_BY_KIND[Begin]}


def _headers(field: t.Any) -> t.Any:
    if not isinstance(field, list):
        return field
    pairs = [pair for pair in field if isinstance(pair, list) and len(pair) == 2]
    if len(pairs) != len(field) or not all(
        isinstance(name, str) and isinstance(value, str) for name, value in pairs
    ):
        raise ProtocolError("met a malformed header list, expected name and value")
    return tuple(Header(name, value) for name, value in pairs)


class FrameReader:
    """Splits a byte stream into messages; holds what has not arrived whole yet."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            raw=False,
            max_buffer_size=defaults.FRAME_BOUND_BYTES,
            strict_map_key=True,
        )

    def feed(self, data: bytes) -> t.Iterator[Message]:
        """Yield each message that ``data`` completes.

        :raises ProtocolError: if the bytes are no msgpack, or over the bound.
        """
        try:
            self._unpacker.feed(data)
            for value in self._unpacker:
                yield decode(value)
        except (ValueError, msgpack.UnpackException) as error:
            raise ProtocolError(f"met bytes that are no frame: {error!r}") from error
