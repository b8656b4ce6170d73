"""The account of where a bench's day lost worth, from its report and the entries' logs.

Run ``python -m dotterelplank.platform.losses REPORT [--log LOG]``: REPORT is the file
that the bench wrote with ``--report``, LOG its output with ``--log edge``. The losses
add up to what is missing from a worth of 1.
"""

import collections
import dataclasses
import json
import pathlib
import re
import typing as t

import pydantic
import typer

WINDOW_S: t.Final = 2.0
"""The length of the windows of a report."""
MIN_LOSS: t.Final = 0.002
"""Windows that lost less of the day's worth are left out of the table."""
MAX_CAUSES: t.Final = 3
REQUEST_ENDED: t.Final = "request-ended"
DONE: t.Final = "done"
UNREADABLE: t.Final = "unreadable line"
"""The cause that is counted for a line that the bench has cut."""

_LOG_LINE: t.Final = re.compile(r"\s*(-?[\d.]+) \S+ (\{.*\})\s*$")
_ADDRESS: t.Final = re.compile(r"\d+\.\d+\.\d+\.\d+:\d+")


class _Window(pydantic.BaseModel):
    # Start of the window in seconds.
    name: str
    # Number of requests that arrived in the window.
    n: int
    late: int
    refused: int
    failed: int
    # The part of what they could earn that they earned.
    worth: float


class Report(pydantic.BaseModel):
    """The fields of a bench's report that the account uses.

    :param G: the worth of the day.
    :param parts: for each part of the worth, its name, weight and value.
    :param prices: for each price, its name, amount and what it took off the worth.
    """

    G: float
    parts: list[tuple[str, float, float]]
    prices: list[tuple[str, float, float]]
    windows: list[_Window]


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A part of the worth that was lost, and why."""

    name: str
    loss: float


@dataclasses.dataclass(frozen=True, slots=True)
class WindowLoss:
    """What the requests of a window lost of the whole day's earnings, by outcome."""

    start_s: float
    requests: int
    late: float
    refused: float
    failed: float

    @property
    def total(self) -> float:
        """The loss by all outcomes."""
        return self.late + self.refused + self.failed


def losses(report: Report) -> list[Loss]:
    """Return the losses of a day, which add up to 1 minus its worth."""
    parts = [
        Loss(f"{name} (weight {weight})", weight * (1 - value))
        for name, weight, value in report.parts
    ]
    prices = [Loss(f"price: {name}", price) for name, _, price in report.prices]
    return sorted(parts + prices, key=lambda one: -one.loss)


def window_losses(report: Report) -> list[WindowLoss]:
    """Return each window's share of what the day's requests lost.

    Requests count alike, though larger ones earn more. What refused and failed requests
    don't explain was lost by late ones.
    """
    requests = max(1, sum(window.n for window in report.windows))
    return [_window_loss(window, requests) for window in report.windows]


def _window_loss(window: _Window, requests: int) -> WindowLoss:
    lost = window.n * (1 - window.worth)
    unserved = window.refused + window.failed
    lost_unserved = min(lost, unserved)
    per_unserved = lost_unserved / max(1, unserved)
    return WindowLoss(
        float(window.name),
        window.n,
        late=(lost - lost_unserved) / requests,
        refused=window.refused * per_unserved / requests,
        failed=window.failed * per_unserved / requests,
    )


def causes(lines: t.Iterable[str]) -> dict[float, collections.Counter[str]]:
    """Return, for each window, how often calls ended otherwise than done, by cause.

    :param lines: lines of the bench's output, each with the time and a process's line.
    """
    found: dict[float, collections.Counter[str]] = {}
    for line in lines:
        match = _LOG_LINE.match(line)
        if match is None or REQUEST_ENDED not in line:
            continue
        cause = _cause(match[2])
        if cause is not None:
            window_s = float(match[1]) // WINDOW_S * WINDOW_S
            found.setdefault(window_s, collections.Counter())[cause] += 1
    return found


def _cause(line: str) -> str | None:
    """Return why a call ended otherwise than done; ``None`` for any other line."""
    try:
        fields = json.loads(line)
    except ValueError:
        return UNREADABLE
    if fields.get("name") != REQUEST_ENDED or fields.get("outcome") == DONE:
        return None
    outcome = fields.get("outcome") or f"result {fields.get('result')}"
    why = _ADDRESS.sub("", str(fields.get("why") or "")).strip(" :,")
    return f"{outcome} ({why})" if why else outcome


def render(
    report: Report, causes_by_window: t.Mapping[float, collections.Counter[str]]
) -> str:
    """Return the account as text: the losses, then the windows that lost most."""
    lines = [f"worth {report.G:.3f}, lost {1 - report.G:.3f}:"]
    lines += [
        f"  {one.loss:.3f}  {one.name}"
        for one in losses(report)
        if one.loss >= MIN_LOSS
    ]
    lines.append("whole day, lost by requests that arrived in each window:")
    lines.append("   from s  requests   late  refused  failed  how calls ended")
    for window in window_losses(report):
        if window.total < MIN_LOSS:
            continue
        ended = causes_by_window.get(window.start_s, collections.Counter())
        top = ", ".join(
            f"{count} {cause}" for cause, count in ended.most_common(MAX_CAUSES)
        )
        lines.append(
            f"  {window.start_s:7.0f} {window.requests:9} {window.late:6.3f}"
            f" {window.refused:8.3f} {window.failed:7.3f}  {top}"
        )
    return "\n".join(lines)


def main(report: pathlib.Path, log: pathlib.Path | None = None) -> None:
    """Print where a day lost worth."""
    parsed = Report.model_validate_json(report.read_bytes())
    lines = log.read_text().splitlines() if log is not None else []
    typer.echo(render(parsed, causes(lines)))


if __name__ == "__main__":
    typer.run(main)
