"""The choice of the map that an engine without a map installs."""

import typing as t

from ..errors import InvariantError
from .ballots import Change, EncodedMap
from .messages import EngineView, InstallOrder


def choose_install(
    views: t.Sequence[EngineView], initial: bytes | None
) -> InstallOrder | None:
    """Return the order that installs a map in an engine without one.

    The order installs the oldest map in use, since the group may not have finished
    the last step with it, and the change that follows: a change that any engine has
    committed or begun, or a change that every engine with a map has staged. A change
    that all have staged may have been decided by an engine that no longer exists; a
    change that only some have staged can't have been decided.

    :param views: the states of all other engines.
    :param initial: the group's first map; ``None`` if this agent may not install it.
    :return: ``None`` if no other engine has a map and ``initial`` is ``None``.
    :raises InvariantError: if the maps in use contradict each other.
    """
    views_with_map = [view for view in views if view.map is not None]
    if not views_with_map:
        return None if initial is None else InstallOrder(EncodedMap(0, initial))
    oldest, newest = _maps_in_use(views_with_map)
    decided = _decided_change(views_with_map, oldest, newest)
    if decided is not None:
        return InstallOrder(oldest, decided, True)
    return InstallOrder(oldest, _staged_by_all(views_with_map), False)


def _maps_in_use(
    views_with_map: t.Sequence[EngineView],
) -> tuple[EncodedMap, EncodedMap]:
    by_version: dict[int, EncodedMap] = {}
    for view in views_with_map:
        expert_map = t.cast(EncodedMap, view.map)
        if by_version.setdefault(expert_map.version, expert_map) != expert_map:
            raise InvariantError(f"two maps have version {expert_map.version}")
    oldest, newest = min(by_version), max(by_version)
    if newest > oldest + 1:
        raise InvariantError(f"maps {oldest} and {newest} are in use at the same time")
    return by_version[oldest], by_version[newest]


def _decided_change(
    views_with_map: t.Sequence[EngineView], oldest: EncodedMap, newest: EncodedMap
) -> Change | None:
    for view in views_with_map:
        if view.committed is not None and view.committed.map.version > oldest.version:
            return view.committed
    for view in views_with_map:
        if view.staged is not None and view.staged.map == newest:
            return view.staged
    return None


def _staged_by_all(views_with_map: t.Sequence[EngineView]) -> Change | None:
    change = views_with_map[0].staged
    if all(view.staged == change for view in views_with_map):
        return change
    return None
