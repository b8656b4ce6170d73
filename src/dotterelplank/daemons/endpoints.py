"""Selection of the endpoints for a request by rules, groups and current state."""

import typing as t

from .. import defaults
from ..config import selectors
from ..config.configuration import Configuration, Group
from ..config.selectors import RequestAttributes, Rule
from ..members import peers
from ..routing.endpoint_view import EndpointView, Liveness
from .blackboard import Blackboard, Host


def matching_rule(configuration: Configuration, work: RequestAttributes) -> Rule | None:
    """Return the first rule that matches ``work``, or ``None``."""
    return selectors.first_match(configuration.rules, work)


def selected(
    hosts: t.Iterable[Host], group: Group, rule: Rule
) -> t.Iterator[tuple[Host, str | None]]:
    """Yield each endpoint host with the reason why it isn't selected, or ``None``."""
    for host in hosts:
        if host.role != "agent":
            continue
        reason = selectors.selector_mismatch(group.servers, host.labels)
        if reason is not None:
            yield host, f"not of group {group.name}: {reason}"
            continue
        yield host, selectors.selector_mismatch(rule.servers, host.labels)


def usable_views(
    board: Blackboard, group: Group, rule: Rule, excluded: t.Collection[str]
) -> list[EndpointView]:
    """Return the views of the selected endpoints that may get new requests."""
    views = []
    for host, reason in selected(board.hosts.hosts.values(), group, rule):
        if reason is not None or host.host in excluded:
            continue
        view = board.endpoints.get(host.host)
        if view is None or host.host not in board.peers:
            continue
        if host.is_leaving or board.peers[host.host].is_leaving:
            continue
        if view.liveness is not Liveness.LEAVING:
            views.append(view)
    return views


def hosts_to_follow(board: Blackboard, domain: str, seed: str) -> tuple[str, ...]:
    """Return the endpoints of other domains to which the entry keeps links.

    For each rule with few usable endpoints in the own domain, some endpoints are chosen
    by rendezvous hashing, so that the entries of a domain spread over them. Endpoints
    for the rules with the fewest usable endpoints come first.

    :param domain: the domain of the entry.
    :param seed: the host of the entry.
    """
    configuration = board.configuration.configuration
    if configuration is None:
        return ()
    needs = []
    for rule in configuration.rules:
        for group in _groups_of(configuration, rule):
            hosts = [
                host
                for host, reason in selected(board.hosts.hosts.values(), group, rule)
                if reason is None and not host.is_leaving
            ]
            usable = _usable_count(board, hosts, domain)
            if usable < defaults.MIN_USABLE_ENDPOINTS:
                remote_hosts = [host.host for host in hosts if host.domain != domain]
                key = f"follow:{group.name}:{rule.name}:{seed}"
                chosen = peers.rendezvous_hosts(
                    key, remote_hosts, defaults.FOLLOWED_PER_RULE
                )
                needs.append((usable, chosen))
    needs.sort(key=lambda need: need[0])
    return tuple(dict.fromkeys(host for _, chosen in needs for host in chosen))


def _usable_count(board: Blackboard, hosts: t.Iterable[Host], domain: str) -> int:
    own = [host.host for host in hosts if host.domain == domain]
    parts = [board.members[host] for host in own if host in board.members]
    return sum(part.is_usable for part in parts)


def _groups_of(configuration: Configuration, rule: Rule) -> t.Iterator[Group]:
    targets = rule.condition.targets or configuration.groups.keys()
    for name in sorted(targets):
        yield configuration.groups[name]
