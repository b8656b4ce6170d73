"""State of one document in one process, and the policy of its exchange."""

import dataclasses
import hashlib
import random
import typing as t

from .. import events
from .peers import Peer
from .revision_messages import Command, Document, Offer, Report

DIGEST_BYTES = 8
TEXT_BYTES_MAX = 1 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class AdoptedRevision:
    """A revision in force.

    :param compressed: the text, compressed once by the process that read it from the
        platform and forwarded unchanged.
    :param validated: what the validation returned for the text.
    """

    revision: int
    digest: bytes
    compressed: bytes
    validated: object


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A published revision that the validation refused, as operators see it."""

    revision: int
    digest: bytes
    reason: str


@dataclasses.dataclass(frozen=True)
class RevisionPolicy:
    """Limits and intervals of the exchange of one document.

    :param validate: pure function that returns the parsed text or raises
        :class:`~dotterelplank.errors.ConfigurationError`.
    :param join_wait_ms: how long a new process waits for the offers of its peers.
    :param join_alone_ms: how long a new process waits if it knows no peer.
    """

    validate: t.Callable[[str], object]
    tick_ms: int = 50
    readers_per_domain: int = 3
    read_wait_ms: int = 30_000
    read_grace_ms: int = 5_000
    read_backoff_min_ms: int = 100
    read_backoff_max_ms: int = 1_600
    join_wait_ms: int = 1_000
    join_alone_ms: int = 3_000
    join_retry_ms: int = 200
    pause_ms: int = 250
    offer_fanout: int = 4
    offer_rounds: int = 4
    offer_interval_ms: int = 100
    remote_offer_interval_ms: int = 500
    answer_interval_ms: int = 500
    pull_timeout_ms: int = 800
    pull_retry_ms: int = 50
    max_concurrent_sends: int = 4
    send_timeout_ms: int = 2_000


@dataclasses.dataclass(slots=True)
class Read:
    """A watch on the platform that is in progress."""

    read_id: int
    deadline_ms: int


@dataclasses.dataclass(slots=True)
class Pull:
    """A request to a peer for a text."""

    host: str
    offer: Offer
    deadline_ms: int


@dataclasses.dataclass(slots=True)
class RevisionState:
    """The state of one document in one process; only :func:`decide` changes it.

    Create it with :func:`start`.

    :param last_ms: time of the last event; a long time since then shows a pause.
    :param offers: offers of revisions above the adopted one, by host.
    :param answered: hosts that have sent an offer since the start.
    :param declined: hosts that have declined to send the text; the other hosts are
        asked first.
    :param sends: deadlines of the texts that are being sent, by host.
    :param notified_ms: when the current offer was last sent to a host with an older
        revision, by host.
    """

    document: Document
    own: Peer
    rng: random.Random
    join_deadline_ms: int
    last_ms: int
    joined: bool = False
    adopted: AdoptedRevision | None = None
    refused: Refusal | None = None
    peer_refused_revision: int = 0
    domain: tuple[Peer, ...] = ()
    remote_peers: tuple[tuple[str, ...], ...] = ()
    remote_index: int = 0
    offers: dict[str, Offer] = dataclasses.field(default_factory=dict)
    answered: set[str] = dataclasses.field(default_factory=set)
    next_join_ms: int = 0
    reader: bool = False
    read: Read | None = None
    read_count: int = 0
    next_read_ms: int = 0
    read_backoff_ms: int = 0
    read_error: events.Event | None = None
    pull: Pull | None = None
    next_pull_ms: int = 0
    declined: set[str] = dataclasses.field(default_factory=set)
    offer_rounds_left: int = 0
    next_offer_ms: int = 0
    next_remote_offer_ms: int = 0
    notified_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    sends: dict[str, int] = dataclasses.field(default_factory=dict)
    conflict: tuple[int, bytes] | None = None


def start(
    now_ms: int, document: Document, own: Peer, seed: int, policy: RevisionPolicy
) -> RevisionState:
    """Return the state of a process that has just started and has no revision.

    :param seed: seed of the random choice of peers; it should differ between processes.
    """
    return RevisionState(
        document=document,
        own=own,
        rng=random.Random(seed),
        join_deadline_ms=now_ms + policy.join_alone_ms,
        last_ms=now_ms,
    )


def digest_of(text: str) -> bytes:
    """Return the digest of ``text``, which distinguishes texts of one revision."""
    raw = text.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(raw, digest_size=DIGEST_BYTES).digest()


def adopted_revision(state: RevisionState) -> int:
    """Return the revision in force, 0 when there is none."""
    return state.adopted.revision if state.adopted else 0


def current_offer(state: RevisionState) -> Offer:
    """Return the offer of the revision in force.

    It names a refused revision only if that is newer than the one in force.
    """
    refused = state.refused.revision if state.refused else 0
    if refused <= adopted_revision(state):
        refused = 0
    digest = state.adopted.digest if state.adopted else b""
    return Offer(state.document, adopted_revision(state), digest, refused)


def minimum_revision(state: RevisionState) -> int:
    """Return the lowest revision that may be adopted.

    Without a revision in force this is the highest revision that peers have offered,
    since this process may have adopted that one before a restart.
    """
    if state.adopted is not None:
        return state.adopted.revision + 1
    revisions = (offer.revision for offer in state.offers.values())
    return max(revisions, default=0)


def known_hosts(state: RevisionState) -> t.Iterator[str]:
    """Yield every host that can be asked, those of the own domain first."""
    for peer in state.domain:
        yield peer.host
    for hosts in state.remote_peers:
        yield from hosts


@dataclasses.dataclass(slots=True)
class Context:
    """The input of one call of the decision function and its commands so far."""

    now_ms: int
    state: RevisionState
    policy: RevisionPolicy
    commands: list[Command] = dataclasses.field(default_factory=list)

    def report(self, event: events.Event, revision: int, detail: str = "") -> None:
        """Add a report about ``revision`` of the document."""
        report = Report(event, self.state.document, revision, detail)
        self.commands.append(report)
