"""The encoding of maps and of the protocol's orders in a rank's HTTP interface."""

import dataclasses
import functools
import hashlib
import json
import typing as t

import pydantic

from .. import defaults
from ..errors import UpstreamError
from ..links.endpoint_calls import Call, EndpointClient
from ..links.messages import Header
from . import messages as mapmessages
from .ballots import Ballot, Change, EncodedMap
from .messages import (
    Action,
    EngineView,
    InstallOrder,
    Order,
    Refusal,
    ResolveOrder,
    StageOrder,
)

_REFUSAL_BY_REASON = {
    "passed": Refusal.PASSED,
    "staged": Refusal.STAGED,
    "fence": Refusal.FENCE,
    "unknown": Refusal.UNKNOWN,
    "resolved": Refusal.UNKNOWN,
    "has_map": Refusal.MAP,
    "no_map": Refusal.MAP,
}
DIGEST_DIGITS: t.Final = 16
_JSON = (Header("Content-Type", "application/json"),)


class _MapModel(pydantic.BaseModel):
    map_version: int
    map: dict[str, t.Any]


class _ChangeModel(_MapModel):
    ballot: tuple[int, str, int]
    hold_step: int


class _ViewModel(pydantic.BaseModel):
    step: int
    map: _MapModel | None
    staged: _ChangeModel | None
    committed: _ChangeModel | None
    highest_fence: int


class _RefusalModel(pydantic.BaseModel):
    reason: str


def payload_of(value: t.Mapping[str, t.Any]) -> bytes:
    """Return a map in its encoding; equal maps have equal encodings."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


@dataclasses.dataclass(frozen=True)
class PublishedMap:
    """A decoded map with the configuration revision that it belongs to.

    :param revision: revision of the configuration that was current when the map was
        published or planned; 0 for a map that the engine had at its start.
    :param planned_from: digest of the published map that agents planned this map
        from; empty for a map that operators published.
    :param value: the map.
    """

    revision: int
    planned_from: str
    value: t.Mapping[str, t.Any]

    @property
    def origin(self) -> str:
        """Return the digest of the published map.

        That is this map itself, or the map that this one was planned from.
        """
        return self.planned_from or digest_of(self.value)


@functools.lru_cache(maxsize=4)
def published_map(payload: bytes) -> PublishedMap:
    """Return the decoded ``payload``; the last few results are cached."""
    value = json.loads(payload)
    revision = value.pop("revision", 0)
    planned_from = value.pop("planned_from", "")
    return PublishedMap(revision, planned_from, value)


def digest_of(value: t.Mapping[str, t.Any]) -> str:
    """Return the digest of a published map, which maps planned from it carry."""
    return hashlib.sha256(payload_of(value)).hexdigest()[:DIGEST_DIGITS]


def planned_payload(
    value: t.Mapping[str, t.Any], revision: int, planned_from: str
) -> bytes:
    """Return the encoding of a map that agents planned.

    :param revision: revision of the configuration that the map was planned under.
    :param planned_from: digest of the published map that it was planned from.
    """
    return payload_of({**value, "revision": revision, "planned_from": planned_from})


def read(client: EndpointClient) -> EngineView:
    """Return the state of its maps that the rank reports.

    :raises UpstreamError: if the rank can't be reached or its answer is invalid.
    """
    call = Call("GET", "/v1/rank/maps", (), b"", defaults.MAP_CALL_TIMEOUT_MS, True)
    with client.open_response(call) as response:
        data = response.read()
        if response.status != 200:
            raise UpstreamError(f"the rank answered {response.status}", sent=True)
    try:
        model = _ViewModel.model_validate_json(data)
    except pydantic.ValidationError as error:
        raise UpstreamError(str(error), sent=True) from error
    return EngineView(
        model.step,
        None if model.map is None else _map(model.map),
        None if model.staged is None else _change(model.staged),
        None if model.committed is None else _change(model.committed),
        model.highest_fence,
    )


def _map(model: _MapModel) -> EncodedMap:
    return EncodedMap(model.map_version, payload_of(model.map))


def _change(model: _ChangeModel) -> Change:
    return Change(Ballot(*model.ballot), _map(model), model.hold_step)


def send_order(client: EndpointClient, order: Order) -> Refusal | None:
    """Send the rank an order.

    :return: the reason if the rank refused the order; ``None`` if it accepted it.
    :raises UpstreamError: if no valid answer was received; the order may still take
        effect.
    """
    body = json.dumps({"fence": order.fence, **_action_fields(order.action)}).encode()
    # A call that is not repeatable gets a new connection: urllib3 must not send an
    # order twice.
    timeout_ms = defaults.MAP_CALL_TIMEOUT_MS
    call = Call("POST", "/v1/orders", _JSON, body, timeout_ms, False)
    with client.open_response(call) as response:
        data = response.read()
        status = response.status
    if status == 200:
        return None
    try:
        return _REFUSAL_BY_REASON[_RefusalModel.model_validate_json(data).reason]
    except (pydantic.ValidationError, KeyError) as error:
        raise UpstreamError(f"the rank answered {status}", sent=True) from error


def _action_fields(action: Action) -> dict[str, t.Any]:
    match action:
        case StageOrder(change):
            return {"kind": "map_stage", **_change_fields(change)}
        case ResolveOrder(ballot, commit):
            return {
                "kind": "map_resolve",
                "ballot": _ballot_fields(ballot),
                "commit": commit,
            }
        case InstallOrder(expert_map, change, committed):
            fields = {"kind": "map_install", **_map_fields(expert_map)}
            if change is not None:
                fields["change"] = _change_fields(change)
                fields["committed"] = committed
            return fields
    raise TypeError(f"unknown order: {action!r}")


def _map_fields(expert_map: EncodedMap) -> dict[str, t.Any]:
    return {
        "map_version": expert_map.version,
        "map": json.loads(expert_map.payload),
    }


def _change_fields(change: Change) -> dict[str, t.Any]:
    return {
        "ballot": _ballot_fields(change.ballot),
        "hold_step": change.hold_step,
        **_map_fields(change.map),
    }


def _ballot_fields(ballot: Ballot) -> list[t.Any]:
    return [ballot.round, ballot.host, ballot.incarnation]


MESSAGE_KINDS = t.get_args(mapmessages.Message)
