"""Says, for a request, what each rule makes of it and which endpoints remain."""

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
    """What a rule makes of the request."""

    rule: str
    matched: bool
    reason: str


@dataclasses.dataclass(frozen=True)
class EndpointExplained:
    """Whether an endpoint remains for the request, and if not, why."""

    host: str
    remains: bool
    reason: str


@dataclasses.dataclass(frozen=True)
class Explanation:
    """The whole of it.

    :param endpoints: empty where no rule takes the request or no hosts were given.
    """

    work: RequestAttributes
    taken_by: str | None
    rules: tuple[RuleExplained, ...]
    endpoints: tuple[EndpointExplained, ...]


def explain(
    configuration: Configuration, hosts: t.Iterable[Host], work: RequestAttributes
) -> Explanation:
    """Explain ``work`` by the code that routes.

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
    """Return ``explanation`` for people."""
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
