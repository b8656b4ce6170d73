"""What an engine without a map installs, from the states of all other engines."""

import typing as t

from ..errors import InvariantError
from .ballots import Change, EncodedMap
from .messages import EngineView, InstallOrder


def choose_install(
    views: t.Sequence[EngineView], initial: bytes | None
) -> InstallOrder | None:
    """Return what a replaced engine installs, none if it must wait.

    It gets the oldest map in use, since the group may not have left the last step
    with it, and what comes next with its first step: a change that any engine has
    committed or begun, or one that every engine with a map has staged. The latter may
    have been decided by an engine that is gone; any other can't have been.

    :param views: the states of all other engines.
    :param initial: the first map, at the one agent that may bring it.
    """
    holders = [view for view in views if view.map is not None]
    if not holders:
        return None if initial is None else InstallOrder(EncodedMap(0, initial))
    oldest, newest = _maps_in_use(holders)
    decided = _decided(holders, oldest, newest)
    if decided is not None:
        return InstallOrder(oldest, decided, True)
    return InstallOrder(oldest, _staged_by_all(holders), False)


def _maps_in_use(holders: t.Sequence[EngineView]) -> tuple[EncodedMap, EncodedMap]:
    by_version: dict[int, EncodedMap] = {}
    for view in holders:
        expert_map = t.cast(EncodedMap, view.map)
        if by_version.setdefault(expert_map.version, expert_map) != expert_map:
            raise InvariantError(f"two maps have the version {expert_map.version}")
    oldest, newest = min(by_version), max(by_version)
    if newest > oldest + 1:
        raise InvariantError(f"maps {oldest} and {newest} are in use at once")
    return by_version[oldest], by_version[newest]


def _decided(
    holders: t.Sequence[EngineView], oldest: EncodedMap, newest: EncodedMap
) -> Change | None:
    for view in holders:
        if view.committed is not None and view.committed.map.version > oldest.version:
            return view.committed
    for view in holders:
        if view.staged is not None and view.staged.map == newest:
            return view.staged
    return None


def _staged_by_all(holders: t.Sequence[EngineView]) -> Change | None:
    change = holders[0].staged
    if all(view.staged == change for view in holders):
        return change
    return None
