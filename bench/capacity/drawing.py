"""Tables in Markdown."""

from collections.abc import Iterable
from collections.abc import Sequence


def format_number(value: float) -> str:
    """Return a number to three digits, in full."""
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{round(value):,}"
    return f"{value:.3g}"


def draw_table(columns: Sequence[str], rows: Iterable[Sequence]) -> str:
    """Return a table in Markdown; numbers to three digits."""
    lines = ["| " + " | ".join(columns) + " |", "|" + "---|" * len(columns)]
    for row in rows:
        cells = [
            cell if isinstance(cell, str) else format_number(cell)
            for cell in row
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def mark(name: str, value: float, limit: float, over: list[str]) -> str:
    """Return whether a value is within its limit; note it if it is over."""
    if value <= limit:
        return "within"
    over.append(name)
    return f"**OVER** by {value / limit:.3g} times"
