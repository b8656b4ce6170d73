"""The HTTP interface of a stand-in group of ranks, one port a rank."""

import contextlib
import dataclasses
import typing as t

import pydantic

from .. import events
from ..errors import StandinRefusalError
from . import http as shell
from .popularity import Popularity
from .rank import RankFaults, RankMaps, RankOrder, RankReport, StageOrder, VersionedMap
from .ranks import GroupReport, GroupSettings, RankGroup
from .steps import Stepping, driven


@dataclasses.dataclass(frozen=True)
class Staged:
    """The answer to a stage order."""

    staged: bool = True


@dataclasses.dataclass(frozen=True)
class Executed:
    """The answer to any other order."""

    executed: bool = True


class Ranks:
    """A group behind a lock; the object that an embedder works with."""

    def __init__(self, settings: GroupSettings | None = None) -> None:
        self.group = RankGroup(settings)
        self.stepping = Stepping(self.group.advance, self.group.next_due_ms)

    def report(self, number: int) -> RankReport:
        """Return the state of a rank, once it isn't frozen."""
        with self._thawed(number) as now_ms:
            return self.group.report(number, now_ms)

    def current_map(self, number: int) -> VersionedMap:
        """Return the map that a rank uses; a rank without a map refuses."""
        with self._thawed(number):
            current = self.group.rank(number).current
        if current is None:
            message = "the rank has no map yet"
            raise StandinRefusalError(404, shell.Code.NO_MAP, message, reason="no_map")
        return current

    def maps(self, number: int) -> RankMaps:
        """Return the maps that a rank holds, once it isn't frozen."""
        with self._thawed(number) as now_ms:
            self.group.report(number, now_ms)
            return self.group.rank(number).maps()

    def group_report(self) -> GroupReport:
        """Return the state of the group."""
        with self._acting() as now_ms:
            return self.group.group_report(now_ms)

    def order(self, request: shell.Request, number: int, order: RankOrder) -> None:
        """Hand an order to a rank and wait until it was executed.

        The connection is torn down when the rank is replaced meanwhile.
        """
        with self._thawed(number) as now_ms:
            rank = self.group.rank(number)
            ticket = self.group.order(number, order, now_ms)
            self.stepping.changed.notify_all()
            self.stepping.wait_while(
                lambda: not ticket.done and self.group.rank(number) is rank
            )
            if not ticket.done:
                request.tear()
            ticket.check()

    def change_rank(self, number: int, changes: RankFaults) -> RankFaults:
        """Change the faults of a rank that ``changes`` sets."""
        with self._acting() as now_ms:
            faults = self.group.change_rank(number, changes, now_ms)
        events.emit(shell.logger, events.STANDIN_FAULTS_SET, rank=number, faults=faults)
        return faults

    def replace_rank(self, number: int) -> RankReport:
        """Replace a rank by one without any state."""
        with self._acting() as now_ms:
            return self.group.replace_rank(number, now_ms)

    def set_popularity(self, popularity: Popularity) -> None:
        """Set how the tokens of a step are split among the experts."""
        with self._acting() as now_ms:
            self.group.set_popularity(popularity, now_ms)

    def close(self) -> None:
        """Stop the steps and let every waiting call end."""
        self.stepping.close()

    def _thawed(self, number: int) -> t.ContextManager[float]:
        return self.stepping.acting(lambda: self.group.rank(number).faults.freeze)

    def _acting(self) -> t.ContextManager[float]:
        return self.stepping.acting(lambda: False)


@contextlib.contextmanager
def running(settings: GroupSettings | None = None) -> t.Iterator[Ranks]:
    """Yield a group that takes its steps on a thread of its own."""
    ranks = Ranks(settings)
    with driven(ranks.stepping):
        yield ranks


def routes(ranks: Ranks, number: int) -> t.Sequence[shell.Route]:
    """Return the HTTP interface of one rank; each serves the control calls too."""
    rank_order = pydantic.TypeAdapter(RankOrder)

    def report(_request: shell.Request) -> shell.Response:
        return shell.reply(ranks.report(number))

    def current_map(_request: shell.Request) -> shell.Response:
        return shell.reply(ranks.current_map(number))

    def maps(_request: shell.Request) -> shell.Response:
        return shell.reply(ranks.maps(number))

    def order(request: shell.Request) -> shell.Response:
        checked = request.read_as(rank_order)
        ranks.order(request, number, checked)
        done = Staged() if isinstance(checked, StageOrder) else Executed()
        return shell.reply(done)

    def group_report(_request: shell.Request) -> shell.Response:
        return shell.reply(ranks.group_report())

    def change_rank(request: shell.Request) -> shell.Response:
        changes = request.read(RankFaults)
        return shell.reply(ranks.change_rank(_number(request), changes))

    def replace_rank(request: shell.Request) -> shell.Response:
        return shell.reply(ranks.replace_rank(_number(request)))

    def set_popularity(request: shell.Request) -> shell.Response:
        popularity = request.read(Popularity)
        ranks.set_popularity(popularity)
        return shell.reply(popularity)

    return [
        shell.Route("GET", "/v1/rank", report),
        shell.Route("GET", "/v1/rank/map", current_map),
        shell.Route("GET", "/v1/rank/maps", maps),
        shell.Route("POST", "/v1/orders", order),
        shell.Route("GET", "/control/group", group_report),
        shell.Route("POST", "/control/ranks/{rank}/faults", change_rank),
        shell.Route("POST", "/control/ranks/{rank}/replace", replace_rank),
        shell.Route("POST", "/control/popularity", set_popularity),
    ]


def _number(request: shell.Request) -> int:
    text = request.params["rank"]
    if not text.isdecimal() or len(text) > 9:
        raise shell.malformed(f"rank: met {text!r}, expected a whole number")
    return int(text)
