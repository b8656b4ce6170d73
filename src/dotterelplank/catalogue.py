"""Generation of the tables of result codes and log events in the docs."""

import logging
import pathlib
import typing as t

from . import events, results


def result_table() -> str:
    """Return the table of ``docs/RESULT-CODES.md``."""
    rows = [
        (
            str(item.number),
            f"`{item.name}`",
            item.outcome.value,
            str(item.http_status),
            item.meaning,
        )
        for item in results.all_results()
    ]
    return _table(("Code", "Name", "Outcome", "HTTP", "Meaning"), rows)


def event_table() -> str:
    """Return the table of ``docs/EVENTS.md``."""
    rows = [
        (
            str(item.number),
            f"`{item.name}`",
            logging.getLevelName(item.level),
            item.meaning,
        )
        for item in events.all_events()
    ]
    return _table(("Event", "Name", "Level", "Meaning"), rows)


def _table(head: t.Sequence[str], rows: t.Iterable[t.Sequence[str]]) -> str:
    lines = [_row(head), _row(["---"] * len(head))]
    lines.extend(_row(row) for row in rows)
    return "\n".join(lines) + "\n"


def _row(cells: t.Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def update_tables(folder: pathlib.Path) -> None:
    """Replace the tables in the two pages in ``folder`` by current ones."""
    for name, table in (
        ("RESULT-CODES.md", result_table()),
        ("EVENTS.md", event_table()),
    ):
        path = folder / name
        prose, _, _ = path.read_text(encoding="utf-8").partition("\n| ")
        path.write_text(f"{prose}\n{table}", encoding="utf-8")


if __name__ == "__main__":
    update_tables(pathlib.Path("docs"))
