"""Functions by which the benchmark's loop executes commands of the members' part.

There is one for each type of command that the decision functions return.
"""

import typing as t

from ..daemons import datagrams
from ..members import messages as mm, revision_messages as rm, revisions

if t.TYPE_CHECKING:
    from .loop import Loop, Process


DATAGRAM_KEY = b"a secret of the loop"


def _seal(datagram: datagrams.Datagram) -> bytes:
    return datagrams.seal(datagram, DATAGRAM_KEY)


def _send_heartbeat(loop: "Loop", source: "Process", command: mm.SendHeartbeat) -> None:
    datagram = _seal(command.heartbeat)
    for host in command.hosts:
        loop.send(source, host, datagram)


def _send_probe(loop: "Loop", source: "Process", command: mm.SendProbe) -> None:
    datagram = _seal(datagrams.Probe(source.peer.host, command.nonce))
    loop.send(source, command.host, datagram)


def _request_status(loop: "Loop", source: "Process", command: mm.RequestStatus) -> None:
    datagram = _seal(
        datagrams.StatusRequest(source.peer.host, command.subject, command.nonce)
    )
    loop.send(source, command.host, datagram)


def _send_notice(loop: "Loop", source: "Process", command: mm.SendNotice) -> None:
    datagram = _seal(command.notice)
    for host in command.hosts:
        loop.send(source, host, datagram)


def _reply_to_sender(
    loop: "Loop", source: "Process", command: mm.ReplyToSender
) -> None:
    if loop.sender is not None:
        loop.send_to(source, loop.sender, _seal(command.notice))


def _send_digest(loop: "Loop", source: "Process", command: mm.SendDigest) -> None:
    datagram = _seal(command.digest)
    for host in command.hosts:
        loop.send(source, host, datagram)


def _introduce(loop: "Loop", source: "Process", command: mm.Introduce) -> None:
    datagram = _seal(datagrams.Introduction(command.peer, command.incarnation))
    for host in command.hosts:
        loop.send(source, host, datagram)


def _request_introduction(
    loop: "Loop", source: "Process", command: mm.RequestIntroduction
) -> None:
    datagram = _seal(datagrams.IntroductionRequest(source.peer.host))
    loop.send(source, command.host, datagram)


def _member_changed(loop: "Loop", source: "Process", command: mm.MemberChanged) -> None:
    loop.changes.append((loop.now_ms, source.peer.host, command))
    loop.notify_listeners(source, command)


def _peers_known(loop: "Loop", source: "Process", command: mm.PeersKnown) -> None:
    event = rm.PeersChanged(command.domain, command.remote_peers)
    for document in source.revisions:
        loop.handle_document_event(source, document, event)


def _supersede(loop: "Loop", source: "Process", command: mm.Supersede) -> None:
    loop.notify_listeners(source, command)


def _report(loop: "Loop", source: "Process", command: t.Any) -> None:
    loop.reports[command.event.name] += 1
    loop.notify_listeners(source, command)


def _request_offers(loop: "Loop", source: "Process", command: rm.RequestOffers) -> None:
    datagram = _seal(datagrams.OfferRequest(source.peer.host, command.document))
    for host in command.hosts:
        loop.send(source, host, datagram)


def _send_offer(loop: "Loop", source: "Process", command: rm.SendOffer) -> None:
    datagram = _seal(datagrams.OfferMessage(source.peer.host, command.offer))
    for host in command.hosts:
        loop.send(source, host, datagram)


def _deliver_to_peer(
    loop: "Loop", source: "Process", host: str, document: rm.Document, event: t.Any
) -> None:
    target = loop.processes.get(host)
    if target is not None and loop.reaches(source.peer.host, host):
        loop.after(1, lambda: loop.deliver(target, document, event))


def _request_text(loop: "Loop", source: "Process", command: rm.RequestText) -> None:
    event = rm.TextRequested(source.peer.host, command.revision)
    _deliver_to_peer(loop, source, command.host, command.document, event)


def _decline(loop: "Loop", source: "Process", command: rm.Decline) -> None:
    event = rm.PeerDeclined(source.peer.host)
    _deliver_to_peer(loop, source, command.host, command.document, event)


def _adopt(loop: "Loop", source: "Process", command: rm.Adopt) -> None:
    loop.adoptions.append((loop.now_ms, source.peer.host, command))
    loop.notify_listeners(source, command)
    offers = tuple(revisions.current_offer(s) for s in source.revisions.values())
    loop.handle_event(source, mm.OffersChanged(offers))


MEMBER_EXECUTORS: dict[type, t.Callable[..., None]] = {
    mm.SendHeartbeat: _send_heartbeat,
    mm.SendProbe: _send_probe,
    mm.RequestStatus: _request_status,
    mm.SendNotice: _send_notice,
    mm.ReplyToSender: _reply_to_sender,
    mm.SendDigest: _send_digest,
    mm.Introduce: _introduce,
    mm.RequestIntroduction: _request_introduction,
    mm.MemberChanged: _member_changed,
    mm.PeersKnown: _peers_known,
    mm.Supersede: _supersede,
    mm.Report: _report,
}
DOCUMENT_EXECUTORS: dict[type, t.Callable[..., None]] = {
    rm.ReadPlatform: lambda loop, source, command: loop.read(source, command),
    rm.RequestOffers: _request_offers,
    rm.SendOffer: _send_offer,
    rm.RequestText: _request_text,
    rm.SendText: lambda loop, source, command: loop.transfer_text(source, command),
    rm.Decline: _decline,
    rm.Adopt: _adopt,
    rm.Report: _report,
}
