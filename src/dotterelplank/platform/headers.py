"""The platform's own headers of calls and responses."""

import dataclasses
import hashlib
import math
import typing as t

from ..errors import RequestError
from ..gateway.crashes import Prompt
from ..http1.messages import Headers, header, is_number, without

_ID = b"x-request-id"
_API_KEY = b"x-api-key"
_TEAM = b"x-tenant"
_DEADLINE = b"x-deadline-ms"
_EXPECTED_ENDPOINT = b"x-expect-instance"
_PRIORITY = b"x-request-priority"
_SIGNATURE = b"x-server-signature"
_NOT_RUN = b"x-not-executed"
_RESUME_AFTER = b"last-event-id"
_TOKENS = b"x-token-count"
_LENGTH_HINT = b"x-length-hint"
_PREFIX = b"x-prefix-hash"
_FAULTY_ENDPOINT = b"at-server"
_LIMIT = b"server-limit"
_LEAVING = b"server-leaving"
_LEAVING_VALUE = b"1"
_RETRY_AFTER = b"retry-after"

_SET_BY_ENTRY: t.Final = (
    _API_KEY,
    _TEAM,
    _DEADLINE,
    _EXPECTED_ENDPOINT,
    _PRIORITY,
    _RESUME_AFTER,
)
_MISDIRECTED_STATUS: t.Final = 421
_UNAVAILABLE_STATUS: t.Final = 503
MAX_PART_BYTES: t.Final = 64
"""Longest id of a part that is kept as it is; of longer ones, a digest is kept."""
NOT_RUN_STATUSES: t.Final = frozenset({408, _MISDIRECTED_STATUS, 429, 503})
"""Statuses that tell a caller that its call has not run and will not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallHeaders:
    """The decoded headers of a caller's call.

    :param id: id of the call.
    :param key: the caller's API key; None if there is none.
    :param deadline_ms: time from now that the caller waits; None if not given.
    :param resume_after: id of the last stream event that the caller received; None if
        not given.
    :param prompt_tokens: number of tokens in the prompt; 0 if not given.
    :param answer_tokens: maximum number of tokens in the answer; 0 if not given.
    :param prompt: the parts of the prompt.
    """

    id: bytes
    key: str | None
    deadline_ms: float | None
    resume_after: int | None
    prompt_tokens: int
    answer_tokens: int
    prompt: Prompt = Prompt()


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHeaders:
    """The decoded headers of an endpoint's response.

    :param id: id of the call that the response belongs to; None if not given.
    :param has_proof: whether the response carries the endpoint's signature.
    :param not_run: whether the call has not run there and will not run.
    :param faulty_endpoint: id of the endpoint that kept this one from running the call;
        None if there is none.
    :param limit_per_s: requests a second that the endpoint takes from all entries
        together; None if it names no limit.
    :param is_leaving: whether the endpoint is about to leave.
    :param pause_ms: time for which the endpoint wants no calls from this entry; None if
        it names none.
    """

    id: bytes | None
    has_proof: bool
    not_run: bool
    faulty_endpoint: str | None
    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_ms: float | None = None


def read_call(headers: Headers) -> CallHeaders:
    """Decode the headers of a call.

    :raises RequestError: if the id is missing, or a header is repeated or malformed.
    """
    call_id = _single(headers, _ID)
    if not call_id:
        raise RequestError("X-Request-Id", "nothing", "an id")
    key = _single(headers, _API_KEY)
    tokens = _single(headers, _TOKENS) or b"0,0"
    prompt, _, answer = tokens.partition(b",")
    resume_after = _single(headers, _RESUME_AFTER)
    *shared_parts, own_part = _parts(_single(headers, _PREFIX) or b"")
    return CallHeaders(
        id=call_id,
        key=None if key is None else key.decode("latin-1"),
        deadline_ms=_milliseconds(_DEADLINE, _single(headers, _DEADLINE)),
        resume_after=_integer(resume_after),
        prompt_tokens=_integer(prompt.strip()) or 0,
        answer_tokens=_integer(answer.strip()) or 0,
        prompt=Prompt(tuple(part for part in shared_parts if part), own_part or None),
    )


def forwarded_headers(
    headers: Headers,
    *,
    remaining_ms: float,
    endpoint_id: str,
    team: str | None,
    resume_after: int | None,
) -> Headers:
    """Return the headers with which a call is forwarded to an endpoint.

    :param headers: end-to-end headers of the caller's call.
    :param remaining_ms: time left until the deadline.
    :param team: the caller's team; None if it has none.
    :param resume_after: id of the last stream event that the caller received; None to
        start at the beginning.
    """
    kept = without(headers, _SET_BY_ENTRY)
    kept.append((_DEADLINE, str(max(1, int(remaining_ms))).encode()))
    kept.append((_EXPECTED_ENDPOINT, endpoint_id.encode()))
    if team is not None:
        kept.append((_TEAM, team.encode()))
    if resume_after is not None:
        kept.append((_RESUME_AFTER, str(resume_after).encode()))
    return kept


def read_response(status: int, headers: Headers) -> ResponseHeaders:
    """Decode the headers of an endpoint's response."""
    faulty_endpoint = header(headers, _FAULTY_ENDPOINT)
    # Another server at the address of the expected one answers with 421.
    is_expected = status != _MISDIRECTED_STATUS
    pause_s = None
    if status == _UNAVAILABLE_STATUS:
        pause_s = _non_negative(header(headers, _RETRY_AFTER))
    return ResponseHeaders(
        id=header(headers, _ID),
        has_proof=bool(header(headers, _SIGNATURE)),
        not_run=status == _MISDIRECTED_STATUS or header(headers, _NOT_RUN) is not None,
        faulty_endpoint=(
            None if faulty_endpoint is None else faulty_endpoint.decode("latin-1")
        ),
        limit_per_s=_non_negative(header(headers, _LIMIT)),
        is_leaving=is_expected and header(headers, _LEAVING) == _LEAVING_VALUE,
        pause_ms=None if pause_s is None else pause_s * 1000,
    )


def local_response_headers(call_id: bytes, retry_after_s: float | None) -> Headers:
    """Return the headers of a response that the entry creates itself.

    :param retry_after_s: value of the ``Retry-After`` header; None to omit it.
    """
    found = [(_ID, call_id)]
    if retry_after_s is not None:
        found.append((_RETRY_AFTER, f"{retry_after_s:.3f}".encode()))
    return found


def _single(headers: Headers, name: bytes) -> bytes | None:
    values = [value for found, value in headers if found == name]
    if len(values) > 1:
        raise RequestError(name.decode(), "several values", "one")
    return values[0] if values else None


def _parts(text: bytes) -> list[str]:
    """Return the ids of the parts of a prompt; an empty text has one empty id.

    Their number is bounded by the size of the header.
    """
    ids = [entry.partition(b":")[0].strip().lower() for entry in text.split(b",")]
    return [_short_id(part) for part in ids]


def _short_id(part: bytes) -> str:
    if len(part) <= MAX_PART_BYTES:
        return part.decode("latin-1")
    return hashlib.blake2b(part, digest_size=MAX_PART_BYTES // 4).hexdigest()


def _milliseconds(name: bytes, text: bytes | None) -> float | None:
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or value < 0:
        raise RequestError(name.decode(), repr(text)[:40], "milliseconds")
    return value


def _non_negative(text: bytes | None) -> float | None:
    """Return a number that isn't negative; a malformed one counts as none."""
    try:
        value = math.nan if text is None else float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None


def _integer(text: bytes | None) -> int | None:
    return int(text) if text and is_number(text) else None
