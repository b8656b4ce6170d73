"""The demo: sends drafts, lookups and orders through a fleet; one engine dies."""

import dataclasses
import json
import pathlib
import typing as t

import urllib3

from ..daemons import platform_client, sse
from ..standins.engine import EngineFaults, EngineSettings
from ..standins.tokens import expected_tokens
from . import fleet as fleets
from .fleet import Fleet, Plan

EXAMPLES = pathlib.Path("examples")
_TOKENS = 12
_TOKENS_BEFORE_DEATH = 3
_MODEL = "drafting"
_SERVICE = "crew-operations"


@dataclasses.dataclass(frozen=True)
class Row:
    """The result of one request of the demo.

    :param what: description of the request.
    """

    what: str
    expected: str
    actual: str

    @property
    def is_as_expected(self) -> bool:
        """Whether the actual result equals the expected one."""
        return self.expected == self.actual


def run(echo: t.Callable[[str], None], examples: pathlib.Path = EXAMPLES) -> bool:
    """Run the demo, print its table and return whether all results are as expected."""
    with fleets.running(plan(examples)) as fleet:
        rows = list(_rows(fleet))
    _print(echo, rows)
    matching = sum(row.is_as_expected for row in rows)
    echo(f"demo: {matching} of {len(rows)} as expected")
    return matching == len(rows)


def plan(examples: pathlib.Path) -> Plan:
    """Return the plan of the fleet in the folder ``kaplan`` of the examples."""
    folder = examples / "kaplan"
    hosts = platform_client.parse_host_list((folder / "hosts.json").read_text("utf-8"))
    return Plan(
        configuration_text=(folder / "configuration.json").read_text("utf-8"),
        hosts=tuple(hosts.values()),
        model_label="drafting",
        engine=EngineSettings(base_step_ms=5.0),
    )


def _rows(fleet: Fleet) -> t.Iterator[Row]:
    pool = urllib3.PoolManager(retries=False, timeout=20.0)
    entries = list(fleet.entries)
    for number, team in enumerate(("crew-north", "compliance", "audit")):
        yield _draft(pool, fleet.caller_url(entries[number]), team, stream=False)
        yield _draft(pool, fleet.caller_url(entries[number]), team, stream=True)
    yield _draft_with_engine_death(pool, fleet, fleet.caller_url(entries[0]))
    yield _lookup(pool, fleet.caller_url(entries[1]))
    yield from _order(pool, fleet, entries)
    yield _unknown_team(pool, fleet.caller_url(entries[2]))


def _messages(text: str) -> list[dict[str, str]]:
    return [{"role": "user", "content": text}]


def _draft(pool: urllib3.PoolManager, url: str, team: str, stream: bool) -> Row:
    kind = "stream" if stream else "unary"
    text = _draft_text(pool, url, team, f"wet-grip run of {team}", stream)
    return Row(
        f"draft for {team}, {kind}", expected_draft(f"wet-grip run of {team}"), text
    )


def expected_draft(prompt: str) -> str:
    """Return the draft that the stand-in engine writes for ``prompt``."""
    return "".join(expected_tokens(_MODEL, _messages(prompt), _TOKENS))


def chat_body(prompt: str, stream: bool) -> dict[str, t.Any]:
    """Return the body of a chat completion request for a draft."""
    return {
        "model": _MODEL,
        "messages": _messages(prompt),
        "max_tokens": _TOKENS,
        "stream": stream,
    }


def _draft_text(
    pool: urllib3.PoolManager, url: str, team: str, prompt: str, stream: bool
) -> str:
    response = pool.request(
        "POST",
        f"{url}/v1/chat/completions",
        json=chat_body(prompt, stream),
        headers={"Dotterelplank-Team": team},
    )
    if response.status != 200:
        return f"{response.status} {response.data.decode()}"
    if not stream:
        return response.json()["choices"][0]["message"]["content"]
    return stream_text(response.data)


def stream_text(data: bytes) -> str:
    """Return the text of a complete token stream.

    For a stream that ends early, return a description that names the error, if any.
    """
    text = ""
    for payload in sse.events(data):
        if payload == b"[DONE]":
            return text
        value = json.loads(payload)
        if "error" in value:
            return f"cut after {text!r}: {value['error']['type']}"
        text += value["choices"][0]["delta"].get("content", "")
    return f"cut after {text!r}"


def _draft_with_engine_death(pool: urllib3.PoolManager, fleet: Fleet, url: str) -> Row:
    """Request a stream whose engine dies after some tokens; another continues it."""
    prompt = "a draft whose engine dies"
    _set_engine_deaths(fleet, _TOKENS_BEFORE_DEATH)
    response = pool.request(
        "POST",
        f"{url}/v1/chat/completions",
        json=chat_body(prompt, stream=True),
        headers={"Dotterelplank-Team": "crew-south"},
        preload_content=False,
    )
    data = b""
    for part in response.stream():
        data += part
        _set_engine_deaths(fleet, None)
    return Row(
        "draft whose engine dies midway", expected_draft(prompt), stream_text(data)
    )


def _set_engine_deaths(fleet: Fleet, after_tokens: int | None) -> None:
    for engine in fleet.engines.values():
        engine.change_faults(EngineFaults(die_after_tokens=after_tokens))


def _lookup(pool: urllib3.PoolManager, url: str) -> Row:
    response = pool.request(
        "GET",
        f"{url}/services/{_SERVICE}/surveys/a7",
        headers={"Dotterelplank-Team": "planning"},
    )
    return Row("lookup of a survey record", "200", str(response.status))


def _order(
    pool: urllib3.PoolManager, fleet: Fleet, entries: list[str]
) -> t.Iterator[Row]:
    path = f"/services/{_SERVICE}/closures"
    headers = {"Dotterelplank-Team": "crew-north"}
    order = {"lane": 2, "from": "22:00"}

    def book(entry: str, key: str) -> urllib3.BaseHTTPResponse:
        sent = {**headers, "Idempotency-Key": key} if key else headers
        url = fleet.caller_url(entry) + path
        return pool.request("POST", url, json=order, headers=sent)

    first = book(entries[0], "")
    yield Row("lane closure without a ticket", "205 not-run", _result(first))
    key = first.headers.get("Idempotency-Key", "")
    second = book(entries[0], key)
    yield Row("the same with the ticket", "100 done", _result(second))
    third = book(entries[5], key)
    yield Row("repeated through another entry", "100 done", _result(third))
    same = "the same answer" if second.data == third.data else "another answer"
    yield Row("both answers", "the same answer", same)
    count = sum(service.report().total for service in fleet.services.values())
    yield Row("lane closures booked", "1", str(count))


def _result(response: urllib3.BaseHTTPResponse) -> str:
    number = response.headers.get("Dotterelplank-Result", "none").split()[0]
    return f"{number} {response.headers.get('Dotterelplank-Outcome')}"


def _unknown_team(pool: urllib3.PoolManager, url: str) -> Row:
    response = pool.request(
        "GET",
        f"{url}/services/{_SERVICE}/surveys/a7",
        headers={"Dotterelplank-Team": "nobody"},
    )
    return Row("lookup of an unknown team", "202 not-run", _result(response))


def _print(echo: t.Callable[[str], None], rows: t.Sequence[Row]) -> None:
    width = max(len(row.what) for row in rows)
    for row in rows:
        mark = "as expected" if row.is_as_expected else f"expected {row.expected!r}"
        actual = row.actual if len(row.actual) <= 40 else row.actual[:37] + "..."
        echo(f"{row.what:<{width}}  {actual:<40}  {mark}")
