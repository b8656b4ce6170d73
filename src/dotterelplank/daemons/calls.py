"""Parsing of callers' HTTP requests; a malformed one is refused with a result."""

import dataclasses
import hashlib
import json
import typing as t
import urllib.parse

from .. import defaults, results
from ..config.configuration import Configuration, Group
from ..config.selectors import RequestAttributes
from ..errors import DotterelplankError
from ..links.messages import Header
from ..routing import prefixes
from . import tickets

SERVICES_PREFIX = "/services/"
TEAM_HEADER = "HTTP_DOTTERELPLANK_TEAM"
DEADLINE_HEADER = "HTTP_DOTTERELPLANK_DEADLINE_MS"
PRIORITY_HEADER = "HTTP_DOTTERELPLANK_PRIORITY"
_EXPECTED_TOKENS = 256
_MAX_PRIORITY = 9
_OWN_HEADERS = frozenset({"authorization", "idempotency-key", "traceparent"})


class CallRefusedError(DotterelplankError):
    """A caller's request was refused before it was sent to an endpoint.

    :param retry_after_ms: time after which the caller may retry, or ``None`` if a
        retry won't help.
    :param ticket: a new ticket with which to send the request again, or empty.
    """

    def __init__(
        self,
        result: results.Result,
        detail: str = "",
        retry_after_ms: float | None = None,
        ticket: str = "",
    ) -> None:
        super().__init__(f"{result.name}: {detail or result.meaning}")
        self.result = result
        self.detail = detail or result.meaning
        self.retry_after_ms = retry_after_ms
        self.ticket = ticket


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A parsed request of a caller.

    :param ticket: the text of the ticket, or empty.
    :param idempotency_key: the caller's own key if it is not a ticket, or empty.
    :param blocks: the hash chain of the prompt, by which prefixes are compared.
    :param expected_tokens: number of tokens that the request will likely generate.
    """

    group: Group
    work: RequestAttributes
    path: str
    headers: tuple[Header, ...]
    body: bytes
    stream: bool
    deadline_ms: float
    traceparent: str
    ticket: str
    idempotency_key: str
    blocks: tuple[int, ...]
    expected_tokens: int

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.group.is_model or (
            self.work.method in self.group.repeatable_methods
        )


def read(environ: dict[str, t.Any], configuration: Configuration) -> CallerRequest:
    """Return the request in the WSGI environment ``environ``.

    :raises CallRefusedError: if it is malformed or its team or target is unknown.
    """
    path = environ["PATH_INFO"]
    team = _team(environ, configuration)
    if path == defaults.CHAT_PATH:
        return _read_chat(environ, configuration, team)
    if path.startswith(SERVICES_PREFIX):
        return _read_service_call(environ, configuration, team)
    expected = f"{defaults.CHAT_PATH} or {SERVICES_PREFIX}NAME/..."
    raise CallRefusedError(
        results.UNKNOWN_TARGET, f"met path {path}, expected {expected}"
    )


def _team(environ: dict[str, t.Any], configuration: Configuration) -> str:
    scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    by_key = configuration.team_by_key_sha256.get(digest)
    if scheme.lower() == "bearer" and by_key is not None:
        return by_key
    team = environ.get(TEAM_HEADER, "")
    if team not in configuration.share_by_team:
        detail = f"met team {team!r}, expected a team of the configuration"
        raise CallRefusedError(results.UNKNOWN_TEAM, detail)
    if team in configuration.teams_with_keys:
        detail = f"team {team} must send one of its keys"
        raise CallRefusedError(results.UNKNOWN_TEAM, detail)
    return team


def _read_chat(
    environ: dict[str, t.Any], configuration: Configuration, team: str
) -> CallerRequest:
    method = environ["REQUEST_METHOD"]
    if method != "POST":
        raise CallRefusedError(
            results.MALFORMED_REQUEST, f"met method {method}, expected POST"
        )
    body = _body(environ, configuration)
    value = _chat_value(body)
    model = value.get("model")
    group = configuration.groups.get(model) if isinstance(model, str) else None
    if group is None or not group.is_model:
        raise CallRefusedError(results.UNKNOWN_TARGET, f"met model {model!r}")
    text = json.dumps(value["messages"], separators=(",", ":")).encode()
    expected_tokens = _non_negative_int(value, "max_tokens", _EXPECTED_TOKENS)
    priority = _priority(environ)
    return CallerRequest(
        group=group,
        work=RequestAttributes(group.name, team, priority, method),
        path=defaults.CHAT_PATH,
        headers=(Header("Content-Type", "application/json"),),
        body=body,
        stream=value.get("stream") is True,
        deadline_ms=_deadline_ms(environ, configuration),
        traceparent=environ.get("HTTP_TRACEPARENT", ""),
        ticket="",
        idempotency_key="",
        blocks=prefixes.chain(text),
        expected_tokens=expected_tokens,
    )


def _chat_value(body: bytes) -> dict[str, t.Any]:
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise CallRefusedError(results.MALFORMED_REQUEST, f"body: {error}") from error
    if not isinstance(value, dict):
        raise CallRefusedError(
            results.MALFORMED_REQUEST, "body: met no object, expected a JSON object"
        )
    if not isinstance(value.get("messages"), list):
        raise CallRefusedError(
            results.MALFORMED_REQUEST, "messages: met no list, expected a list"
        )
    if not isinstance(value.get("stream", False), bool):
        raise CallRefusedError(
            results.MALFORMED_REQUEST, "stream: expected true or false"
        )
    return value


def _non_negative_int(value: dict[str, t.Any], name: str, default: int) -> int:
    number = value.get(name, default)
    if type(number) is not int or number < 0:
        raise CallRefusedError(
            results.MALFORMED_REQUEST,
            f"{name}: met {number!r}, expected a whole number of at least 0",
        )
    return number


def _read_service_call(
    environ: dict[str, t.Any], configuration: Configuration, team: str
) -> CallerRequest:
    name, _, rest = environ["PATH_INFO"][len(SERVICES_PREFIX) :].partition("/")
    group = configuration.groups.get(name)
    if group is None or group.is_model:
        raise CallRefusedError(results.UNKNOWN_TARGET, f"met service {name!r}")
    method = environ["REQUEST_METHOD"].upper()
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    is_ticket = tickets.is_ticket(key)
    path = urllib.parse.quote("/" + rest, safe="/:@!$&'()*+,;=~-._")
    query = environ.get("QUERY_STRING", "")
    return CallerRequest(
        group=group,
        work=RequestAttributes(group.name, team, _priority(environ), method),
        path=f"{path}?{query}" if query else path,
        headers=_headers(environ),
        body=_body(environ, configuration),
        stream=False,
        deadline_ms=_deadline_ms(environ, configuration),
        traceparent=environ.get("HTTP_TRACEPARENT", ""),
        ticket=key if is_ticket else "",
        idempotency_key="" if is_ticket else key,
        blocks=(),
        expected_tokens=0,
    )


def _headers(environ: dict[str, t.Any]) -> tuple[Header, ...]:
    found = []
    if environ.get("CONTENT_TYPE"):
        found.append(Header("Content-Type", environ["CONTENT_TYPE"]))
    for key, value in environ.items():
        if not key.startswith("HTTP_"):
            continue
        name = key[len("HTTP_") :].replace("_", "-").title()
        is_own = name.lower() in _OWN_HEADERS or name.startswith("Dotterelplank-")
        if not is_own:
            found.append(Header(name, value))
    return tuple(found)


def _body(environ: dict[str, t.Any], configuration: Configuration) -> bytes:
    bound_bytes = configuration.limits.body_size_bytes
    stream = environ["wsgi.input"]
    if environ.get("wsgi.input_terminated"):
        body = stream.read(bound_bytes + 1)
    else:
        length = environ.get("CONTENT_LENGTH") or "0"
        if not length.isdecimal():
            raise CallRefusedError(
                results.MALFORMED_REQUEST, f"Content-Length: met {length!r}"
            )
        if int(length) > bound_bytes:
            raise _too_large(int(length), bound_bytes)
        body = stream.read(int(length))
        if len(body) < int(length):
            raise CallRefusedError(
                results.MALFORMED_REQUEST, "the body ended before its length"
            )
    if len(body) > bound_bytes:
        raise _too_large(len(body), bound_bytes)
    return body


def _too_large(size_bytes: int, bound_bytes: int) -> CallRefusedError:
    detail = f"met a body of {size_bytes} bytes, expected at most {bound_bytes}"
    return CallRefusedError(results.BODY_TOO_LARGE, detail)


def _deadline_ms(environ: dict[str, t.Any], configuration: Configuration) -> float:
    text = environ.get(DEADLINE_HEADER)
    if text is None:
        return configuration.limits.deadline_ms
    if not text.isdecimal() or not 0 < int(text) <= defaults.MAX_DEADLINE_MS:
        raise CallRefusedError(
            results.MALFORMED_REQUEST,
            f"Dotterelplank-Deadline-Ms: met {text!r}, expected milliseconds, "
            f"1 to {defaults.MAX_DEADLINE_MS:.0f}",
        )
    return float(text)


def _priority(environ: dict[str, t.Any]) -> int:
    text = environ.get(PRIORITY_HEADER, "0")
    if not text.isdecimal() or int(text) > _MAX_PRIORITY:
        raise CallRefusedError(
            results.MALFORMED_REQUEST,
            f"Dotterelplank-Priority: met {text!r}, expected 0 to {_MAX_PRIORITY}",
        )
    return int(text)


_TICKET_RESULTS = (
    results.TICKET_OTHER_TEAM,
    results.TICKET_OTHER_REQUEST,
    results.TICKET_REQUIRED,
)


def ticket_of(environ: dict[str, t.Any]) -> str:
    """Return the ticket of a service call, or an empty string if there is none."""
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    is_service_call = environ["PATH_INFO"].startswith(SERVICES_PREFIX)
    return key if is_service_call and tickets.is_ticket(key) else ""


def adjust_for_ticket(key: str, error: CallRefusedError) -> CallRefusedError:
    """Return ``error``, or its replacement if ``key`` is a ticket.

    An entry that refuses a request doesn't know whether an earlier request under the
    same ticket ran; only the ticket's home knows. So an entry must not report "not
    run" for a ticket, except in refusals of the ticket itself.
    """
    is_not_run = error.result.outcome is results.Outcome.NOT_RUN
    if error.result in _TICKET_RESULTS or not is_not_run or not tickets.is_ticket(key):
        return error
    detail = f"{error.result.name}: {error.detail}"
    result = results.TICKET_HOME_NOT_ASKED
    return CallRefusedError(result, detail, error.retry_after_ms)
