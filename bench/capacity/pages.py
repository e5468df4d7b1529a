"""The page's tables and plots, drawn from recorded slopes."""

import dataclasses
import re

from bench.capacity import plots
from bench.capacity import sections
from bench.capacity import target

Slopes = target.Slopes

BEGIN = "<!-- table {name} -->"
END = "<!-- end -->"
TABLE = re.compile(r"<!-- table (\w+) -->\n(.*?)<!-- end -->", re.DOTALL)


@dataclasses.dataclass
class Tables:
    """The tables of the page.

    Attributes:
        parts: Their text by name.
        over: What is over its budget.
    """

    parts: dict[str, str]
    over: list[str]


def build_tables(known: Slopes, earlier: Slopes) -> Tables:
    """Return all tables, worked out from the slopes.

    Args:
        known: The slopes of what runs now.
        earlier: Slopes of what ran before the costs were cut.

    Raises:
        KeyError: A slope was never measured.
    """
    over: list[str] = []
    parts = {
        "slopes": sections.draw_slopes(known),
        "layout": sections.draw_layout(known),
        "roles": sections.draw_roles(known),
        "control": sections.draw_control(known, over),
        "memory": sections.draw_memory(known, over),
        "store": sections.draw_store(known, over),
        "connections": sections.draw_connections(known, over),
        "days": sections.draw_days(known),
        "removed": sections.draw_removed(known, earlier),
        "plots": plots.format_links(known),
    }
    return Tables(parts, over)


def fill(page: str, tables: Tables) -> str:
    """Return the page with its tables replaced."""

    def replace(match: re.Match) -> str:
        name = match[1]
        text = tables.parts.get(name, match[2].rstrip())
        return f"{BEGIN.format(name=name)}\n{text}\n{END}"

    return TABLE.sub(replace, page)


def list_differences(page: str, tables: Tables) -> list[str]:
    """Return what in the page's tables is not what the slopes give."""
    found = {match[1]: match[2].rstrip() for match in TABLE.finditer(page)}
    faults_found = [
        f"the page has no table {name}"
        for name in tables.parts
        if name not in found
    ]
    for name, text in found.items():
        wanted = tables.parts.get(name, "").splitlines()
        told = text.splitlines()
        faults_found += [
            f"table {name}: {line}" for line in told if line not in wanted
        ]
        faults_found += [
            f"table {name} lacks: {line}" for line in wanted if line not in told
        ]
    return faults_found
