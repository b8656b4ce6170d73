"""Typed messages between the system's own processes, and their msgpack frames.

A frame is one msgpack array of the number of the message's kind and its fields in
order. A stream is a sequence of frames, each with a limited size.
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
    """The first message of either side on a stream.

    :param epoch: ticket epoch of an agent, 0 in the hello of an entry.
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
    """Submits a request to an agent.

    :param request_id: correlation id, unique on a stream.
    :param ticket: bytes of the ticket, empty for an idempotent request.
    :param deadline_ms: remaining time in milliseconds at the time of sending.
    :param priority: priority for the engine; a lower number is served first.
    :param resume_from: number of tokens that the caller already has.
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
    """Starts a response with its status and headers."""

    request_id: int
    http_status: int
    headers: tuple[Header, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """Carries a part of the body of a response.

    :param sequence: number of the chunk; the first after :class:`Begin` has 0.
    :param tokens: number of whole tokens in ``data``, 0 if the body isn't a token
        stream.
    """

    request_id: int
    sequence: int
    tokens: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """Ends a complete response; a response without it is incomplete.

    :param chunks: number of chunks in the response.
    """

    request_id: int
    chunks: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Reports that a request ended without a complete response.

    :param result: number of the result code, which says whether the request may have
        run.
    """

    request_id: int
    result: int
    retry_after_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Asks the agent to stop a request or not to start it."""

    request_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Credit:
    """Allows the agent to send ``size_bytes`` more of a response."""

    request_id: int
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Reports the state of an agent and its endpoint to entries.

    :param leaving: whether the agent accepts no new work anymore.
    :param epoch: ticket epoch for which entries issue tickets to this agent.
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
    """Answers :class:`TextAsk` if the peer doesn't send the text.

    The receiver asks another peer, or asks again later.
    """

    document: Document


@dataclasses.dataclass(frozen=True, slots=True)
class MapFrame:
    """Carries a message about the expert map between agents of a group.

    :param incarnation: incarnation of the sender in the map change protocol.
    :param body: the packed message.
    """

    incarnation: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertLoad:
    """The number of tokens that a rank processed for one expert.

    :param expert: number of the expert over all layers.
    """

    expert: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RankSample:
    """Reports the load of a rank to the agent that plans the expert map.

    :param map_version: expert map under which the steps ran.
    :param since_step: last step before the first one in the totals.
    :param step: last step in the totals.
    :param busy_ms: processing time of the rank for these steps.
    :param loads: number of tokens of each expert that had any.
    """

    map_version: int
    since_step: int
    step: int
    busy_ms: float
    loads: tuple[ExpertLoad, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SampleTaken:
    """Answers :class:`RankSample`, so that its sender knows who can plan.

    :param can_plan: whether samples of the whole group reach the answering agent.
    """

    step: int
    can_plan: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LoadExperts:
    """Asks an agent to load experts for its rank from the weight store.

    :param plan: number of the plan, assigned by the asking agent.
    :param experts: numbers of the experts over all layers.
    :param bound_ms: time after which the plan is abandoned.
    """

    plan: int
    experts: tuple[int, ...]
    bound_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertsLoaded:
    """Answers :class:`LoadExperts` when the load has ended.

    :param is_complete: whether all experts were loaded.
    """

    plan: int
    is_complete: bool


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

    :raises ProtocolError: if the frame exceeds ``defaults.MAX_FRAME_BYTES``.
    """
    frame = _CODEC.pack(message)
    if len(frame) > defaults.MAX_FRAME_BYTES:
        raise ProtocolError(
            f"frame of {len(frame)} bytes, expected at most "
            f"{defaults.MAX_FRAME_BYTES}"
        )
    return frame


class FrameReader:
    """Splits a byte stream into messages and buffers an incomplete frame."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            raw=False,
            max_buffer_size=defaults.MAX_FRAME_BYTES,
            strict_map_key=True,
        )

    def feed(self, data: bytes) -> t.Iterator[Message]:
        """Yield each message that ``data`` completes.

        :raises ProtocolError: if the bytes are no valid messages or exceed the size
            limit.
        """
        try:
            self._unpacker.feed(data)
            for value in self._unpacker:
                yield _CODEC.read(value)
        except (ValueError, msgpack.UnpackException) as error:
            raise ProtocolError(f"got bytes that are no frame: {error!r}") from error
