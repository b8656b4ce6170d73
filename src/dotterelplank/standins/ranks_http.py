"""The HTTP interface of a stand-in group of ranks, one port a rank."""

import contextlib
import dataclasses
import typing as t

import pydantic

from .. import events
from ..errors import StandinRefusalError
from . import http as standin_http
from .popularity import Popularity
from .rank import RankFaults, RankMaps, RankOrder, RankReport, StageOrder, VersionedMap
from .ranks import GroupReport, GroupSettings, RankGroup
from .steps import StepLoop, run_in_thread


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
        self.step_loop = StepLoop(self.group.advance, self.group.next_due_ms)

    def report(self, number: int) -> RankReport:
        """Return the state of a rank, once it isn't frozen."""
        with self._locked_unfrozen(number) as now_ms:
            return self.group.report(number, now_ms)

    def current_map(self, number: int) -> VersionedMap:
        """Return the map that a rank uses; a rank without a map refuses."""
        with self._locked_unfrozen(number):
            current = self.group.rank(number).current
        if current is None:
            message = "the rank has no map yet"
            raise StandinRefusalError(
                404, standin_http.Code.NO_MAP, message, reason="no_map"
            )
        return current

    def maps(self, number: int) -> RankMaps:
        """Return the maps that a rank holds, once it isn't frozen."""
        with self._locked_unfrozen(number) as now_ms:
            self.group.report(number, now_ms)
            return self.group.rank(number).maps()

    def group_report(self) -> GroupReport:
        """Return the state of the group."""
        with self._locked() as now_ms:
            return self.group.group_report(now_ms)

    def order(
        self, request: standin_http.Request, number: int, order: RankOrder
    ) -> None:
        """Hand an order to a rank and wait until it was executed.

        The connection is torn down when the rank is replaced meanwhile.
        """
        with self._locked_unfrozen(number) as now_ms:
            rank = self.group.rank(number)
            pending = self.group.order(number, order, now_ms)
            self.step_loop.changed.notify_all()
            self.step_loop.wait_while(
                lambda: not pending.done and self.group.rank(number) is rank
            )
            if not pending.done:
                request.abort_connection()
            pending.check()

    def change_rank(self, number: int, changes: RankFaults) -> RankFaults:
        """Change the faults of a rank that ``changes`` sets."""
        with self._locked() as now_ms:
            faults = self.group.change_rank(number, changes, now_ms)
        events.emit(
            standin_http.logger, events.STANDIN_FAULTS_SET, rank=number, faults=faults
        )
        return faults

    def replace_rank(self, number: int) -> RankReport:
        """Replace a rank by one without any state."""
        with self._locked() as now_ms:
            return self.group.replace_rank(number, now_ms)

    def set_popularity(self, popularity: Popularity) -> None:
        """Set how the tokens of a step are split among the experts."""
        with self._locked() as now_ms:
            self.group.set_popularity(popularity, now_ms)

    def close(self) -> None:
        """Stop the steps and let every waiting call end."""
        self.step_loop.close()

    def _locked_unfrozen(self, number: int) -> t.ContextManager[float]:
        return self.step_loop.locked(lambda: self.group.rank(number).faults.freeze)

    def _locked(self) -> t.ContextManager[float]:
        return self.step_loop.locked(lambda: False)


@contextlib.contextmanager
def running(settings: GroupSettings | None = None) -> t.Iterator[Ranks]:
    """Yield a group that takes its steps on a thread of its own."""
    ranks = Ranks(settings)
    with run_in_thread(ranks.step_loop):
        yield ranks


def routes(ranks: Ranks, number: int) -> t.Sequence[standin_http.Route]:
    """Return the HTTP interface of one rank; each serves the control calls too."""
    rank_order = pydantic.TypeAdapter(RankOrder)

    def report(_request: standin_http.Request) -> standin_http.Response:
        return standin_http.json_response(ranks.report(number))

    def current_map(_request: standin_http.Request) -> standin_http.Response:
        return standin_http.json_response(ranks.current_map(number))

    def maps(_request: standin_http.Request) -> standin_http.Response:
        return standin_http.json_response(ranks.maps(number))

    def order(request: standin_http.Request) -> standin_http.Response:
        checked = request.read_as(rank_order)
        ranks.order(request, number, checked)
        done = Staged() if isinstance(checked, StageOrder) else Executed()
        return standin_http.json_response(done)

    def group_report(_request: standin_http.Request) -> standin_http.Response:
        return standin_http.json_response(ranks.group_report())

    def change_rank(request: standin_http.Request) -> standin_http.Response:
        changes = request.read(RankFaults)
        return standin_http.json_response(
            ranks.change_rank(_rank_param(request), changes)
        )

    def replace_rank(request: standin_http.Request) -> standin_http.Response:
        return standin_http.json_response(ranks.replace_rank(_rank_param(request)))

    def set_popularity(request: standin_http.Request) -> standin_http.Response:
        popularity = request.read(Popularity)
        ranks.set_popularity(popularity)
        return standin_http.json_response(popularity)

    return [
        standin_http.Route("GET", "/v1/rank", report),
        standin_http.Route("GET", "/v1/rank/map", current_map),
        standin_http.Route("GET", "/v1/rank/maps", maps),
        standin_http.Route("POST", "/v1/orders", order),
        standin_http.Route("GET", "/control/group", group_report),
        standin_http.Route("POST", "/control/ranks/{rank}/faults", change_rank),
        standin_http.Route("POST", "/control/ranks/{rank}/replace", replace_rank),
        standin_http.Route("POST", "/control/popularity", set_popularity),
    ]


def _rank_param(request: standin_http.Request) -> int:
    text = request.params["rank"]
    if not text.isdecimal() or len(text) > 9:
        raise standin_http.malformed(f"rank: met {text!r}, expected a whole number")
    return int(text)
