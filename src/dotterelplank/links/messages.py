"""Typed messages between the system's own processes, and their msgpack frames.

A frame is one msgpack array: the number of the message's kind, then its fields in
order. Frames follow each other on a stream; a size bound holds for each.
"""

import dataclasses
import typing as t

import msgpack

from .. import defaults
from ..errors import ProtocolError
from ..members.revision_messages import Document
from .codec import Codec

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
    :param priority: the engine's; a lower number goes first.
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
class TextAsk:
    """Asks a peer for the text of a revision."""

    document: Document
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class TextAnswer:
    """Answers :class:`TextAsk` with the compressed text of a revision."""

    document: Document
    revision: int
    compressed: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TextDecline:
    """Answers :class:`TextAsk` when another peer must be asked, or later again."""

    document: Document


@dataclasses.dataclass(frozen=True, slots=True)
class MapFrame:
    """Carries a message about the expert map between agents of a group.

    :param incarnation: the sender's, as the map change protocol counts it.
    :param body: the packed message.
    """

    incarnation: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertLoad:
    """The tokens that a rank ran for one expert.

    :param expert: its number over all layers.
    """

    expert: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RankSample:
    """Tells the agent that plans the expert map what a rank has done under a map.

    :param since_step: the step after which the totals begin.
    :param step: the last step that they hold.
    :param busy_ms: the rank's own time for these steps.
    :param loads: tokens of each expert that had any.
    """

    map_version: int
    since_step: int
    step: int
    busy_ms: float
    loads: tuple[ExpertLoad, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SampleTaken:
    """Answers :class:`RankSample`, so that its sender knows who can plan.

    :param can_plan: whether samples of the whole group reach the one who answers.
    """

    step: int
    can_plan: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LoadExperts:
    """Asks an agent to load experts for its rank from the weight store.

    :param plan: number of the plan, counted by the agent that asks.
    :param experts: their numbers over all layers.
    :param bound_ms: time after which the plan is given up.
    """

    plan: int
    experts: tuple[int, ...]
    bound_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertsLoaded:
    """Answers :class:`LoadExperts` when the load has ended.

    :param is_whole: whether all experts came.
    """

    plan: int
    is_whole: bool


GroupMessage = RankSample | SampleTaken | LoadExperts | ExpertsLoaded

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
    TextAsk,
    TextAnswer,
    TextDecline,
    MapFrame,
    RankSample,
    SampleTaken,
    LoadExperts,
    ExpertsLoaded,
)
_CODEC = Codec(_KINDS)

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
    | TextAsk
    | TextAnswer
    | TextDecline
    | MapFrame
    | RankSample
    | SampleTaken
    | LoadExperts
    | ExpertsLoaded
)


def encode(message: Message) -> bytes:
    """Return the frame of ``message``.

    :raises ProtocolError: if the frame is over ``defaults.MAX_FRAME_BYTES``.
    """
    frame = _CODEC.pack(message)
    if len(frame) > defaults.MAX_FRAME_BYTES:
        raise ProtocolError(
            f"frame of {len(frame)} bytes, expected at most "
            f"{defaults.MAX_FRAME_BYTES}"
        )
    return frame


class FrameReader:
    """Splits a byte stream into messages; holds what has not arrived whole yet."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            raw=False,
            max_buffer_size=defaults.MAX_FRAME_BYTES,
            strict_map_key=True,
        )

    def feed(self, data: bytes) -> t.Iterator[Message]:
        """Yield each message that ``data`` completes.

        :raises ProtocolError: if the bytes are no msgpack, or over the bound.
        """
        try:
            self._unpacker.feed(data)
            for value in self._unpacker:
                yield _CODEC.read(value)
        except (ValueError, msgpack.UnpackException) as error:
            raise ProtocolError(f"met bytes that are no frame: {error!r}") from error
