"""Loading of the experts that a rank gains from the rate-limited weight store."""

import logging
import time
import typing as t

from .. import defaults, events
from ..clocks import monotonic_ms
from ..config.planned_maps import Planning
from ..errors import UpstreamError
from ..links.endpoint_calls import Call, EndpointClient

log = logging.getLogger(__name__)

TOO_MANY_REQUESTS: t.Final = 429


class WeightStore:
    """The client of one agent for the weight store.

    Each agent loads one expert at a time, so the number of concurrent fetches at the
    store is at most the number of ranks that gain experts.

    :param model: name of the model in the weight store.
    """

    def __init__(self, model: str, planning: Planning) -> None:
        self._model = model
        self._planning = planning
        self._client = EndpointClient(planning.store_url, 1)

    def is_available(self) -> bool:
        """Return whether the store answers a fetch of zero bytes with success."""
        try:
            return self._fetch(0, 0, defaults.PLATFORM_TIMEOUT_MS) is None
        except UpstreamError as error:
            events.emit(log, events.STORE_UNREAD, reason=str(error))
            return False

    def load(
        self,
        experts: t.Sequence[int],
        timeout_ms: float,
        is_wanted: t.Callable[[], bool],
    ) -> bool:
        """Load ``experts``, one after the other.

        A fetch that the store rejects because of its rate limit is retried after the
        time in the response's ``Retry-After``, any other failed fetch after
        ``defaults.RETRY_AFTER_MS``.

        :param experts: expert numbers over all layers.
        :param is_wanted: called before each attempt; the load is aborted if it returns
            false.
        :return: whether all experts were loaded within ``timeout_ms``.
        """
        deadline_ms = monotonic_ms() + timeout_ms
        return all(
            self._load_one(expert_number, deadline_ms, is_wanted)
            for expert_number in experts
        )

    def _load_one(
        self, expert_number: int, deadline_ms: float, is_wanted: t.Callable[[], bool]
    ) -> bool:
        size_bytes = self._planning.expert_bytes
        while is_wanted():
            remaining_ms = deadline_ms - monotonic_ms()
            if remaining_ms <= 0:
                return False
            try:
                wait_ms = self._fetch(expert_number, size_bytes, remaining_ms)
            except UpstreamError as error:
                events.emit(log, events.STORE_UNREAD, reason=str(error))
                wait_ms = defaults.RETRY_AFTER_MS
            if wait_ms is None:
                return True
            if wait_ms >= deadline_ms - monotonic_ms():
                return False
            time.sleep(wait_ms / 1000)
        return False

    def _fetch(
        self, expert_number: int, size_bytes: int, timeout_ms: float
    ) -> float | None:
        """Fetch the weights of one expert.

        :return: ``None`` if the expert was loaded, or the time in milliseconds to wait
            before a retry if the store's rate limit was exceeded.
        :raises UpstreamError: if the store can't be reached or answers with an error.
        """
        layer, expert = divmod(expert_number, self._planning.experts)
        path = f"/v1/weights/{self._model}/{layer}/{expert}?bytes={size_bytes}"
        call = Call("GET", path, (), b"", timeout_ms, True)
        with self._client.open_response(call) as response:
            response.read()
            if response.status == TOO_MANY_REQUESTS:
                return _retry_after_ms(response.headers.get("Retry-After", ""))
            if response.status != 200:
                raise UpstreamError(f"the store answered {response.status}", sent=True)
        return None


def _retry_after_ms(text: str) -> float:
    if text.isascii() and text.isdecimal():
        return int(text) * 1000.0
    return defaults.RETRY_AFTER_MS
