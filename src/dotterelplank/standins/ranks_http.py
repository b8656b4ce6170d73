"""The HTTP interface of a stand-in group of ranks; each rank has a port of its own."""

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
    """The response to a stage order that was executed."""

    staged: bool = True


@dataclasses.dataclass(frozen=True)
class Executed:
    """The response to any other order that was executed."""

    executed: bool = True


class Ranks:
    """A thread-safe group, for use inside a process and by the HTTP interface.

    Calls to a rank wait while the rank is frozen; control calls don't.
    """

    def __init__(self, settings: GroupSettings | None = None) -> None:
        self.group = RankGroup(settings)
        self.step_loop = StepLoop(self.group.advance, self.group.next_due_ms)

    def report(self, number: int) -> RankReport:
        """Return the state of a rank."""
        with self._locked_unfrozen(number) as now_ms:
            return self.group.report(number, now_ms)

    def current_map(self, number: int) -> VersionedMap:
        """Return the map that a rank uses.

        :raises StandinRefusalError: when the rank has no map.
        """
        with self._locked_unfrozen(number):
            current = self.group.rank(number).current
        if current is None:
            message = "the rank has no map yet"
            raise StandinRefusalError(
                404, standin_http.Code.NO_MAP, message, reason="no_map"
            )
        return current

    def maps(self, number: int) -> RankMaps:
        """Return the maps that a rank stores."""
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
        """Send an order to a rank and wait until it has been executed.

        The connection is aborted when the rank is replaced meanwhile.

        :param request: the HTTP request with the order.
        :raises StandinRefusalError: when the order is refused.
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
        """Change the faults of a rank that ``changes`` sets, and return all faults."""
        with self._locked() as now_ms:
            faults = self.group.change_rank(number, changes, now_ms)
        events.emit(
            standin_http.logger, events.STANDIN_FAULTS_SET, rank=number, faults=faults
        )
        return faults

    def replace_rank(self, number: int) -> RankReport:
        """Replace a rank by one without map, orders and faults; return its state."""
        with self._locked() as now_ms:
            return self.group.replace_rank(number, now_ms)

    def set_popularity(self, popularity: Popularity) -> None:
        """Set how the tokens of a step are distributed to the experts."""
        with self._locked() as now_ms:
            self.group.set_popularity(popularity, now_ms)

    def close(self) -> None:
        """Stop the group and end every waiting call."""
        self.step_loop.close()

    def _locked_unfrozen(self, number: int) -> t.ContextManager[float]:
        return self.step_loop.locked(lambda: self.group.rank(number).faults.freeze)

    def _locked(self) -> t.ContextManager[float]:
        return self.step_loop.locked(lambda: False)


@contextlib.contextmanager
def running(settings: GroupSettings | None = None) -> t.Iterator[Ranks]:
    """Yield a group whose steps are executed by a thread of its own."""
    ranks = Ranks(settings)
    with run_in_thread(ranks.step_loop):
        yield ranks


def routes(ranks: Ranks, number: int) -> t.Sequence[standin_http.Route]:
    """Return the HTTP interface of one rank.

    The control calls of the whole group are part of each rank's interface.
    """
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
