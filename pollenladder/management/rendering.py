"""Render the output of the commands as text."""

from collections.abc import Iterable
import json
import math
from typing import Any

from pollenladder.audit import differences
from pollenladder.audit import records
from pollenladder.audit import spread


def render_json(value: Any) -> str:
    """Return a JSON value as indented text."""
    return json.dumps(value, indent=2, ensure_ascii=False, sort_keys=True)


def render_changes(changes: Iterable[differences.Change]) -> list[str]:
    """Return one line for each change."""
    return [_render_change(change) for change in changes]


def render_record(record: records.Record, with_changes: bool) -> list[str]:
    """Return a line for a record, and optionally one for each change."""
    head = (
        f"version {record.version}  {record.applied_at}  {record.operator}"
        f"  {record.change_id}  {record.summary}"
    )
    changes = render_changes(record.changes) if with_changes else []
    return [head, *(f"  {line}" for line in changes)]


def render_lagging(lagging: Iterable[spread.Lagging]) -> list[str]:
    """Return one line for each daemon or data centre that lags behind."""
    return [_render_lagging(item) for item in lagging]


def render_table(name: str, columns: list[str], rows: list[dict]) -> list[str]:
    """Return a title, a header and one line for each row, in aligned columns.

    Args:
        name: Title; the number of rows is added.
        columns: Keys of the columns to show.
        rows: Values of each row by column key.
    """
    cells = [[_render_cell(row.get(c)) for c in columns] for row in rows]
    lines = [columns, *cells]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    texts = [
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    ]
    return [f"{name} ({len(rows)})", *(f"  {text}" for text in texts), ""]


def _render_change(change: differences.Change) -> str:
    before, after = _render_value(change.before), _render_value(change.after)
    if change.before is None:
        return f"+ {change.path}: {after}"
    if change.after is None:
        return f"- {change.path}: {before}"
    return f"~ {change.path}: {before} -> {after}"


def _render_value(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False, sort_keys=True)


def _render_cell(value: Any) -> str:
    if isinstance(value, str):
        return value
    return "-" if value is None else json.dumps(value, ensure_ascii=False)


def _render_lagging(item: spread.Lagging) -> str:
    if not item.daemon:
        return f"{item.data_centre}: can't be reached"
    last_seen = f"last seen {item.last_heard_s:.1f} s ago"
    if math.isinf(item.last_heard_s):
        last_seen = "never seen"
    return (
        f"{item.data_centre}: {item.daemon} has version {item.version},"
        f" {last_seen}"
    )
