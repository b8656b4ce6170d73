"""Explains which rules match a request and which endpoints are selected for it."""

import dataclasses
import typing as t

from ..config import selectors
from ..config.configuration import Configuration
from ..config.selectors import RequestAttributes
from ..errors import RequestError
from . import endpoints
from .blackboard import Host


@dataclasses.dataclass(frozen=True)
class RuleExplained:
    """Whether a rule matches the request, and why."""

    rule: str
    matched: bool
    reason: str


@dataclasses.dataclass(frozen=True)
class EndpointExplained:
    """Whether an endpoint is selected for the request, and if not, why."""

    host: str
    remains: bool
    reason: str


@dataclasses.dataclass(frozen=True)
class Explanation:
    """The explanation of the routing of one request.

    :param taken_by: the first rule that matches, or ``None``.
    :param endpoints: the endpoints; empty if no rule matches or no hosts were given.
    """

    work: RequestAttributes
    taken_by: str | None
    rules: tuple[RuleExplained, ...]
    endpoints: tuple[EndpointExplained, ...]


def explain(
    configuration: Configuration, hosts: t.Iterable[Host], work: RequestAttributes
) -> Explanation:
    """Explain the routing of ``work``, with the functions that route requests.

    :raises RequestError: if the target or team is unknown.
    """
    group = configuration.groups.get(work.target)
    if group is None:
        wanted = f"one of {sorted(configuration.groups)}"
        raise RequestError("target", work.target, wanted)
    if work.team not in configuration.share_by_team:
        raise RequestError("team", work.team, "a team of the configuration")
    rule_matches = selectors.explain_rules(configuration.rules, work)
    rules = tuple(
        RuleExplained(item.rule.name, item.matched, item.reason)
        for item in rule_matches
    )
    rule = endpoints.matching_rule(configuration, work)
    if rule is None:
        return Explanation(work, None, rules, ())
    found = tuple(
        EndpointExplained(host.host, reason is None, reason or "selected")
        for host, reason in endpoints.selected(hosts, group, rule)
    )
    return Explanation(work, rule.name, rules, found)


def as_text(explanation: Explanation) -> str:
    """Return ``explanation`` as plain text."""
    work = explanation.work
    lines = [
        f"{work.method} {work.target} for team {work.team}, priority {work.priority}"
    ]
    for rule in explanation.rules:
        mark = "takes it" if rule.matched else "passes"
        lines.append(f"  rule {rule.rule}: {mark}: {rule.reason}")
    if explanation.taken_by is None:
        lines.append("no rule takes it: result 204 no-rule-matches")
    for endpoint in explanation.endpoints:
        mark = "remains" if endpoint.remains else "out"
        lines.append(f"  endpoint {endpoint.host}: {mark}: {endpoint.reason}")
    return "\n".join(lines) + "\n"
